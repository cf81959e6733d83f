package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cranberrymill/cranberrymill/internal/sched"
)

func cmdSched() command {
	return command{
		name: "sched",
		help: "Run the scheduler of this VM; one scheduler is active in each data centre.",
		setup: func(clause *kingpin.CmdClause) action {
			path := settingsFlag(clause)

			return func(ctx context.Context) error {
				settings, err := loadSettings(*path)
				if err != nil {
					return err
				}

				s, err := sched.New(settings)
				if err != nil {
					return err
				}

				return s.Run(ctx)
			}
		},
	}
}
