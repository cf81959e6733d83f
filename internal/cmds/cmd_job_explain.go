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
		help: "Say why a job waits; ask an entry of the data centre that places it.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			id := clause.Arg("id", "Id of the job.").Required().String()

			return func(context.Context) error {
				var reply sched.ExplainReply

				if err := c.call(fasthttp.MethodGet, "/v1/jobs/"+*id+"/explain", nil, &reply); err != nil {
					return err
				}

				fmt.Printf("%d tasks wait: %s\n", reply.Pending, reply.Verdict)
				fmt.Printf("%d workers: %d too small, %d full, %d with room\n",
					reply.Workers, reply.TooSmall, reply.Full, reply.Fits)

				return nil
			}
		},
	}
}
