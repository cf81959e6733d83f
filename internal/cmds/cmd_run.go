package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/entry"
	"github.com/cranberrymill/cranberrymill/internal/sched"
	"github.com/cranberrymill/cranberrymill/internal/store"
)

func cmdRun() command {
	return command{
		name: "run",
		help: "Run every role in one process, for trying it; with no flags at 127.0.0.1:7400 with state under ./data.",
		setup: func(clause *kingpin.CmdClause) action {
			path := clause.Flag("settings", "Settings file of this VM; the default is one VM alone.").String()

			return func(ctx context.Context) error {
				settings, err := runSettings(*path)
				if err != nil {
					return err
				}

				return runAll(ctx, settings)
			}
		},
	}
}

func runSettings(path string) (*conf.Settings, error) {
	if path != "" {
		return loadSettings(path)
	}

	settings := conf.Single()

	return settings, setLogs(settings)
}

func runAll(ctx context.Context, settings *conf.Settings) error {
	if err := initOnce(settings); err != nil {
		return err
	}

	s, err := store.New(settings)
	if err != nil {
		return err
	}

	d, err := sched.New(settings)
	if err != nil {
		return err
	}

	e, err := entry.New(settings)
	if err != nil {
		return err
	}

	// The entry drains before the roles that it needs are stopped.
	behind, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Run(behind) })
	group.Go(func() error { return d.Run(behind) })
	group.Go(func() error {
		defer stop()

		return e.Run(ctx)
	})

	return group.Wait()
}

// initOnce begins the control log of a system that is one VM.
func initOnce(settings *conf.Settings) error {
	if len(settings.Map().VMs()) > 1 {
		return nil
	}

	s, err := store.New(settings)
	if err != nil {
		return err
	}

	_, err = s.Init()

	return err
}
