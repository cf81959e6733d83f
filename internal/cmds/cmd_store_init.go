package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/store"
)

func cmdStoreInit() command {
	return command{
		name: "store init",
		help: "Create the control log on this VM, once for the whole system; the other voters join it.",
		setup: func(clause *kingpin.CmdClause) action {
			path := settingsFlag(clause)

			return func(context.Context) error {
				settings, err := loadSettings(*path)
				if err != nil {
					return err
				}

				s, err := store.New(settings)
				if err != nil {
					return err
				}

				created, err := s.Init()
				if err != nil {
					return err
				}

				if !created {
					return merry.Prepend(errRefused, "the data folder already holds a control log, nothing was changed, run the store")
				}

				fmt.Println("control log created, run the stores now")

				return nil
			}
		},
	}
}
