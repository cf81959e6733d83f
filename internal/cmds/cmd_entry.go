package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdEntry() command {
	return command{
		name: "entry",
		help: "Run the entry of this VM, which serves callers, upstreams, workers and operators.",
		setup: func(clause *kingpin.CmdClause) action {
			path := settingsFlag(clause)

			return func(ctx context.Context) error {
				settings, err := loadSettings(*path)
				if err != nil {
					return err
				}

				e, err := entry.New(settings)
				if err != nil {
					return err
				}

				return e.Run(ctx)
			}
		},
	}
}
