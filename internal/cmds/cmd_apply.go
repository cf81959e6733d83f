package cmds

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/entry"
)

func cmdApply() command {
	return command{
		name: "apply",
		help: "Apply a directory of declarations.",
		setup: func(clause *kingpin.CmdClause) action {
			c := newClient(clause)
			change := newChangeFlags(clause)
			folder := clause.Arg("directory", "Directory with declarations in *.json.").Required().String()

			return func(context.Context) error {
				declarations, err := conf.LoadDeclarations(*folder)
				if err != nil {
					return err
				}

				request, err := change.request(c)
				if err != nil {
					return err
				}

				request.Declarations = declarations

				return sendChange(c, "/v1/config", request)
			}
		},
	}
}

// changeFlags holds the flags of every command that makes a change.
type changeFlags struct {
	id   *string
	base *int64
	who  *string
	why  *string
}

// currentBase is the value of --base that stands for the version in force.
const currentBase = -1

func newChangeFlags(clause *kingpin.CmdClause) *changeFlags {
	return &changeFlags{
		id:   clause.Flag("id", "Id of the change; retry with the same id after a lost answer.").String(),
		base: clause.Flag("base", "Version that the change was made from; by default the one in force.").Default("-1").Int64(),
		who:  whoFlag(clause),
		why:  clause.Flag("why", "Why the change is made, for the audit trail.").String(),
	}
}

// request returns a change request. It fills in a random id and the current version where the flags
// leave them out.
func (c *changeFlags) request(source *client) (*entry.ChangeRequest, error) {
	request := &entry.ChangeRequest{ID: *c.id, Who: *c.who, Why: *c.why}

	if request.ID == "" {
		request.ID = newID()
	}

	if *c.base != currentBase {
		request.Base = uint64(max(*c.base, 0))

		return request, nil
	}

	var config entry.ConfigReply

	if err := source.call(fasthttp.MethodGet, "/v1/config", nil, &config); err != nil {
		return nil, err
	}

	request.Base = config.Version

	return request, nil
}

func sendChange(c *client, path string, request *entry.ChangeRequest) error {
	var reply entry.ChangeReply

	if err := c.call(fasthttp.MethodPost, path, request, &reply); err != nil {
		return merry.Prependf(err, "change %s may not have been applied, send it again with --id %s --base %d",
			request.ID, request.ID, request.Base)
	}

	if !reply.Accepted {
		return merry.Prependf(errRefused, "version %d is in force (change %q by %q), review it and apply again: %s",
			reply.Version, reply.Winner, reply.Who, reply.Reason)
	}

	fmt.Printf("version %d is accepted\n", reply.Version)

	return nil
}
