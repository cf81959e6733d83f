package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdJobList() command {
	return command{
		name: "job list",
		help: "List all known jobs.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)

			return func(context.Context) error {
				var jobs []entry.JobReply

				if err := c.call(fasthttp.MethodGet, "/v1/jobs", nil, &jobs); err != nil {
					return err
				}

				for i := range jobs {
					job := &jobs[i]
					fmt.Printf("%s  %s  %s  %d tasks  %s\n", job.ID, job.Spec.Team, job.Spec.Kind, len(job.Tasks), job.State)
				}

				return nil
			}
		},
	}
}
