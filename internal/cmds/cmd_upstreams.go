package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdUpstreams() command {
	return command{
		name: "upstreams",
		help: "List the upstreams that the entry knows.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)

			return func(context.Context) error {
				var statuses []entry.UpstreamStatus

				if err := c.call(fasthttp.MethodGet, "/v1/upstreams", nil, &statuses); err != nil {
					return err
				}

				for i := range statuses {
					s := &statuses[i]
					fmt.Printf("%s  %s  %s  %s  %d slots, %d at this entry  last seen %d ms ago\n",
						s.ID, s.Service, s.Rack, s.Address, s.Slots, s.Share, s.AgeMilli)
				}

				return nil
			}
		},
	}
}
