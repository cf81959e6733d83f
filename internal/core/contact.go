package core

import (
	"context"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/group"
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// announcement is what ends the wait of the processes in contact with this one when it changes.
type announcement struct {
	leader       string
	term         uint64
	scheduling   bool
	setupVersion uint64
}

// announceChange answers the processes in contact with this one if the setup or the leader has changed. It runs on the
// driver's goroutine.
func (c *Core) announceChange(role *group.Role) {
	next := announcement{leader: role.Leader.Address, term: role.Term, scheduling: c.runner.Load() != nil}
	if setup := c.stateMachine.state.Setup(); setup != nil {
		next.setupVersion = setup.Version
	}

	if next == c.announced {
		return
	}

	c.announced = next

	c.mu.Lock()
	defer c.mu.Unlock()

	close(c.contactChanged)
	c.contactChanged = make(chan struct{})
}

func (c *Core) contactChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.contactChanged
}

// contact answers a process that looks for the leader or stays in contact with it.
func (c *Core) contact(ctx context.Context, request *ContactRequest) (*ContactReply, error) {
	c.registerContact(request)

	timer := time.NewTimer(min(time.Duration(request.WaitMilli)*time.Millisecond, watchTimeout))
	defer timer.Stop()

	for {
		changed := c.contactChange()
		reply := c.contactReply()

		if reply.isNews(c.config.Address, request) {
			return reply, nil
		}

		select {
		case <-changed:
		case <-timer.C:
			return c.contactReply(), nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

// isNews reports whether the reply of a process is not to be held back: it says what the sender of the request does not
// know, or which process it should ask instead.
func (r *ContactReply) isNews(self string, request *ContactRequest) bool {
	if r.Leader == self {
		return r.HasSetup && r.SetupVersion > request.Version || request.Term > 0 && r.Term > request.Term
	}

	return request.Term == 0 || r.Leader != "" && r.Term > request.Term
}

// registerContact registers the sender of a request with this process, if it leads.
func (c *Core) registerContact(request *ContactRequest) {
	runner := c.runner.Load()
	if runner == nil || request.Advisor == "" {
		return
	}

	runner.AdvisorReachable(request.Advisor)
	c.clocks.observe(request.Advisor, request.UnixMilli, time.Now())

	if c.relaySender != nil && request.RelayFor != "" {
		c.relaySender.Add(request.Advisor, request.RelayFor, time.Now())
	}
}

func (c *Core) contactReply() *ContactReply {
	role := c.role()
	reply := &ContactReply{Leader: role.Leader.Address, Term: role.Term}

	if role.Leading && c.runner.Load() == nil {
		reply.Leader = ""
	}

	for _, server := range role.Members.Servers {
		reply.Members = append(reply.Members, server.Address)
	}

	c.stateMachine.view(func(state *jobs.State) {
		if setup := state.Setup(); setup != nil {
			reply.HasSetup, reply.SetupVersion, reply.Limits = true, setup.Version, setup.Limits
		}
	})

	return reply
}

// follow answers a process of the earlier build. That build uses no more of the setup than its version and limits.
func (c *Core) follow(ctx context.Context, request *FollowRequest) (*FollowReply, error) {
	contact, err := c.contact(ctx, (*ContactRequest)(request))
	if err != nil {
		return nil, err
	}

	reply := &FollowReply{Leader: contact.Leader, Term: contact.Term, Members: contact.Members}
	if contact.HasSetup && contact.SetupVersion > request.Version {
		reply.Setup = &mill.Setup{Version: contact.SetupVersion, Limits: contact.Limits}
	}

	return reply, nil
}
