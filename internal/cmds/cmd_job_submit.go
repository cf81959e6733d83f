package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/entry"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func cmdJobSubmit() command {
	return command{
		name: "job submit",
		help: "Submit a job from a JSON file and print its id.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			key := clause.Flag("key", "Key of the job; retry with the same key after a lost answer.").String()
			path := clause.Arg("file", "JSON file with the job.").Required().String()

			return func(context.Context) error {
				var spec mill.JobSpec

				if err := conf.ReadJSON(*path, &spec); err != nil {
					return err
				}

				if err := spec.Validate(); err != nil {
					return merry.Prependf(err, "%s", *path)
				}

				return submit(c, *key, &spec)
			}
		},
	}
}

func submit(c *client, key string, spec *mill.JobSpec) error {
	c.key = key
	if c.key == "" {
		c.key = newID()
	}

	var accepted entry.AcceptedReply

	if err := c.call(fasthttp.MethodPost, "/v1/jobs", spec, &accepted); err != nil {
		return merry.Prependf(err, "the job may not have been accepted, submit it again with --key %s", c.key)
	}

	fmt.Println(accepted.ID)

	return nil
}
