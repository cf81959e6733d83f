package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

func cmdVersion() command {
	return command{
		name: "version",
		help: "Print the version.",
		setup: func(*kingpin.CmdClause) action {
			return func(context.Context) error {
				fmt.Println(version)

				return nil
			}
		},
	}
}
