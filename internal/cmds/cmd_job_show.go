package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdJobShow() command {
	return command{
		name: "job show",
		help: "Show a job with its tasks.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			id := clause.Arg("id", "Id of the job.").Required().String()

			return func(context.Context) error {
				var job entry.JobReply

				if err := c.call(fasthttp.MethodGet, "/v1/jobs/"+*id, nil, &job); err != nil {
					return err
				}

				return printJSON(job)
			}
		},
	}
}
