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
		help: "Run every role in one process, to try it out; by default at 127.0.0.1:7400 with state under ./data.",
		setup: func(clause *kingpin.CmdClause) action {
			path := clause.Flag("settings", "Settings file of this VM; the default is a single-VM system.").String()

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

	settings := conf.SingleVM()

	return settings, prepareProcess(settings)
}

func runAll(ctx context.Context, settings *conf.Settings) error {
	if err := initSingleVM(settings); err != nil {
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

	// The entry drains before the roles that it depends on are stopped.
	rolesCtx, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()

	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.Run(rolesCtx) })
	group.Go(func() error { return d.Run(rolesCtx) })
	group.Go(func() error {
		defer stopRoles()

		return e.Run(ctx)
	})

	return group.Wait()
}

// initSingleVM creates the control log of a single-VM system, unless it exists.
func initSingleVM(settings *conf.Settings) error {
	if len(settings.ClusterMap().VMs()) > 1 {
		return nil
	}

	s, err := store.New(settings)
	if err != nil {
		return err
	}

	_, err = s.Init()

	return err
}
