package core

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Configure stores a setup through the leader.
func (c *Core) Configure(ctx context.Context, setup *mill.Setup) error {
	if err := setup.Validate(); err != nil {
		return err
	}

	data, err := wire.Encode(setup)
	if err != nil {
		return err
	}

	if len(data) >= wire.PackBytes {
		packed, err := wire.Pack(data)
		if err != nil {
			return err
		}

		_, _, err = CallLeader[PackedSetup, ConfigureReply](ctx, c.leaderClient, MethodConfigurePacked,
			func(uint64) *PackedSetup { return &PackedSetup{Packed: packed} })
		if !errors.Is(err, mill.ErrNotFound) {
			return err
		}
	}

	_, _, err = CallLeader[mill.Setup, ConfigureReply](ctx, c.leaderClient, MethodConfigure,
		func(uint64) *mill.Setup { return setup })

	return err
}

func (c *Core) configurePacked(ctx context.Context, request *PackedSetup) (*ConfigureReply, error) {
	setup := &mill.Setup{}
	if err := wire.Unpack(request.Packed, setup); err != nil {
		return nil, err
	}

	return c.configure(ctx, setup)
}

func (c *Core) configure(ctx context.Context, setup *mill.Setup) (*ConfigureReply, error) {
	if err := c.checkLeading(); err != nil {
		return nil, err
	}

	results, err := c.commit(ctx, jobs.Command{Setup: setup})
	if err != nil {
		return nil, err
	}

	log.Info().Uint64("version", setup.Version).Int("queues", len(setup.Queues)).
		Bool("changed", results[0] == jobs.ResultApplied).Msg("setup committed")

	return &ConfigureReply{}, nil
}

// CurrentSetup returns the version, the limits and the document of the newest setup, as read through the leader.
func (c *Core) CurrentSetup(ctx context.Context) (*mill.Setup, error) {
	reply, _, err := CallLeader[SetupRequest, SetupReply](ctx, c.leaderClient, MethodSetup,
		func(uint64) *SetupRequest { return &SetupRequest{Unpacks: true} })
	if err != nil {
		return nil, err
	}

	if len(reply.Packed) > 0 {
		setup := &mill.Setup{}

		return setup, wire.Unpack(reply.Packed, setup)
	}

	if reply.Setup == nil {
		return nil, merry.Prepend(mill.ErrUnavailable, "there is no setup yet", merry.NoCaptureStack())
	}

	return reply.Setup, nil
}

// setup returns the newest setup without its parsed parts, which would double the reply: an operator reads the document.
func (c *Core) setup(ctx context.Context, request *SetupRequest) (*SetupReply, error) {
	if err := c.confirmLeadership(ctx); err != nil {
		return nil, err
	}

	reply := &SetupReply{}
	c.stateMachine.view(func(state *jobs.State) {
		if setup := state.Setup(); setup != nil {
			reply.Setup = &mill.Setup{Version: setup.Version, Limits: setup.Limits, Document: setup.Document}
		}
	})

	if !request.Unpacks || reply.Setup == nil || len(reply.Setup.Document) < wire.PackBytes {
		return reply, nil
	}

	data, err := wire.Encode(reply.Setup)
	if err != nil {
		return nil, err
	}

	packed, err := wire.Pack(data)

	return &SetupReply{Packed: packed}, err
}
