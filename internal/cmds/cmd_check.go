package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func cmdCheck() command {
	return command{
		name: "check",
		help: "Check a settings file or a declarations directory without contacting any process.",
		setup: func(clause *kingpin.CmdClause) action {
			settings := clause.Flag("settings", "Settings file to check.").String()
			declarations := clause.Flag("declarations", "Directory of declarations to check.").String()

			return func(context.Context) error {
				return check(*settings, *declarations)
			}
		},
	}
}

func check(settings, declarations string) error {
	if settings == "" && declarations == "" {
		return fmt.Errorf("%w: nothing to check, set --settings or --declarations", mill.ErrInvalid)
	}

	if settings != "" {
		if _, err := conf.Load(settings); err != nil {
			return err
		}
	}

	if declarations != "" {
		if _, err := conf.LoadDeclarations(declarations); err != nil {
			return err
		}
	}

	fmt.Println("ok")

	return nil
}
