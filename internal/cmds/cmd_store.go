package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cranberrymill/cranberrymill/internal/store"
)

func cmdStore() command {
	return command{
		name: "store run",
		help: "Run the store of this VM, which keeps the control log and the ledger.",
		setup: func(clause *kingpin.CmdClause) action {
			path := settingsFlag(clause)

			return func(ctx context.Context) error {
				settings, err := loadSettings(*path)
				if err != nil {
					return err
				}

				s, err := store.New(settings)
				if err != nil {
					return err
				}

				return s.Run(ctx)
			}
		},
	}
}
