package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/sched"
)

func cmdWorkers() command {
	return command{
		name: "workers",
		help: "List the workers of the entry's data centre.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)

			return func(context.Context) error {
				var workers []sched.WorkerStatus

				if err := c.call(fasthttp.MethodGet, "/v1/workers", nil, &workers); err != nil {
					return err
				}

				for i := range workers {
					w := &workers[i]
					fmt.Printf("%s  %s  live %t  %d tasks  free %+v of %+v\n", w.ID, w.Rack, w.Live, w.Tasks, w.Free, w.Capacity)
				}

				return nil
			}
		},
	}
}
