package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/sched"
)

func cmdJobExplain() command {
	return command{
		name: "job explain",
		help: "Explain why a job is waiting; --entry must be in the data centre that places it.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			id := clause.Arg("id", "Id of the job.").Required().String()

			return func(context.Context) error {
				var reply sched.ExplainReply

				if err := c.call(fasthttp.MethodGet, "/v1/jobs/"+*id+"/explain", nil, &reply); err != nil {
					return err
				}

				fmt.Printf("%d tasks are waiting: %s\n", reply.Pending, reply.Verdict)
				fmt.Printf("%d workers: %d too small, %d full, %d with free capacity\n",
					reply.Workers, reply.TooSmall, reply.Full, reply.Fits)

				return nil
			}
		},
	}
}
