package core

import (
	"context"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func (c *Core) wave(ctx context.Context, wave *mill.Wave) (*WaveReply, error) {
	if err := c.checkLeading(); err != nil {
		return nil, err
	}

	if _, err := c.commit(ctx, jobs.Command{StartWave: wave}); err != nil {
		return nil, err
	}

	log.Info().Int("wave", wave.Number).Int("machines", len(wave.Machines)).Int("atOnce", wave.MaxAtOnce).
		Dur("duration", wave.Duration).Msg("maintenance wave accepted")

	return &WaveReply{}, nil
}

func (c *Core) waveState(ctx context.Context, request *WaveStateRequest) (*WaveStateReply, error) {
	if err := c.confirmLeadership(ctx); err != nil {
		return nil, err
	}

	err := merry.Prepend(mill.ErrNotFound, "wave "+strconv.Itoa(request.Number), merry.NoCaptureStack())
	reply := &WaveStateReply{}

	c.stateMachine.view(func(state *jobs.State) {
		if wave, ok := state.Wave(request.Number); ok {
			reply.Complete = wave.Complete()
			err = nil
		}
	})

	return reply, err
}

// StartWave stores a maintenance wave through the leader.
func (c *Core) StartWave(ctx context.Context, wave *mill.Wave) error {
	if err := wave.Validate(); err != nil {
		return err
	}

	_, _, err := CallLeader[mill.Wave, WaveReply](ctx, c.leaderClient, MethodWave,
		func(uint64) *mill.Wave { return wave })

	return err
}

// WaveComplete reports whether a wave is complete, as read through the leader.
func (c *Core) WaveComplete(ctx context.Context, number int) (bool, error) {
	reply, _, err := CallLeader[WaveStateRequest, WaveStateReply](ctx, c.leaderClient, MethodWaveState,
		func(uint64) *WaveStateRequest { return &WaveStateRequest{Number: number} })
	if err != nil {
		return false, err
	}

	return reply.Complete, nil
}
