package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// action runs a subcommand until it is done or the context ends.
type action func(ctx context.Context) error

// command is one subcommand; a name of two words is a subcommand of the first.
type command struct {
	name string
	help string
	// setup declares flags and arguments and returns what runs once they are parsed.
	setup func(clause *kingpin.CmdClause) action
}
