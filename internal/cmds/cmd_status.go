package cmds

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdStatus() command {
	return command{
		name: "status",
		help: "Show the system at a glance, as one entry sees it.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)

			return func(context.Context) error {
				var status entry.StatusReply

				if err := c.call(fasthttp.MethodGet, "/v1/status", nil, &status); err != nil {
					return err
				}

				return show(status)
			}
		},
	}
}
