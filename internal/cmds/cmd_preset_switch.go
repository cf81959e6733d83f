package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

func cmdPresetSwitch() command {
	return command{
		name: "preset switch",
		help: "Switch to another declared preset.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			change := newChangeFlags(clause)
			name := clause.Arg("name", "Name of the preset.").Required().String()

			return func(context.Context) error {
				request, err := change.request(c)
				if err != nil {
					return err
				}

				request.Preset = *name

				return sendChange(c, "/v1/preset", request)
			}
		},
	}
}
