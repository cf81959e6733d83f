package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdJobCancel() command {
	return command{
		name: "job cancel",
		help: "Cancel a job: its waiting tasks never run and its running tasks are stopped.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			id := clause.Arg("id", "Id of the job.").Required().String()

			return func(context.Context) error {
				var accepted entry.AcceptedReply

				if err := c.call(fasthttp.MethodDelete, "/v1/jobs/"+*id, nil, &accepted); err != nil {
					return err
				}

				fmt.Println("canceled " + accepted.ID)

				return nil
			}
		},
	}
}
