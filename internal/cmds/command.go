package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

// action runs a subcommand until it is done or the context ends.
type action func(ctx context.Context) error

// command is a subcommand. In a name of two words, the first is the group of the subcommand.
type command struct {
	name string
	help string
	// setup declares the flags and arguments and returns the action to run once they are parsed.
	setup func(clause *kingpin.CmdClause) action
}
