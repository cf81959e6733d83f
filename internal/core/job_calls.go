package core

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func (c *Core) submit(ctx context.Context, request *SubmitRequest) (*SubmitReply, error) {
	if err := c.checkLeading(); err != nil {
		return nil, err
	}

	if request.Term != c.role().Term {
		return nil, merry.Prepend(mill.ErrNotPrimary, "the request is for another term", merry.NoCaptureStack())
	}

	var (
		id, queue string
		known     bool
	)

	err := c.lookUp(ctx, func() error {
		id, queue, known = c.resolveSubmission(request)
		if queue == "" {
			return merry.Prepend(mill.ErrNoQueue, request.Path, merry.NoCaptureStack())
		}

		return nil
	})

	switch {
	case errors.Is(err, mill.ErrNoQueue):
		return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictNoQueue}}, nil
	case err != nil:
		return nil, err
	case known:
		return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictAccepted}}, nil
	default:
	}

	results, err := c.commit(ctx, jobs.Command{Submit: &jobs.Submit{
		Job:       id,
		Queue:     queue,
		Work:      request.Work,
		UnixMilli: c.clocks.medianUnixMilli(time.Now()),
	}})
	if err != nil {
		return nil, err
	}

	verdict := mill.VerdictAccepted
	if results[0] == jobs.ResultNoQueue {
		verdict = mill.VerdictNoQueue
	}

	log.Info().Str("job", id).Str("queue", queue).Int("steps", len(request.Work.Steps)).Msg("job accepted")

	return &SubmitReply{Receipt: mill.Receipt{Verdict: verdict}}, nil
}

// resolveSubmission returns the job id and the queue of a submission, and whether the job
// is already known. The queue is "" if none matches.
func (c *Core) resolveSubmission(request *SubmitRequest) (id, queue string, known bool) {
	c.stateMachine.view(func(state *jobs.State) {
		if state.Setup() == nil {
			return
		}

		found, rest, ok := state.SetupIndex().Find(request.Host, request.Path)
		if !ok || rest == "" || strings.Contains(rest, "/") {
			return
		}

		id, queue = rest, found.Name
		_, known = state.Job(id)
	})

	return id, queue, known
}

// withJob calls read with the job of a request, or returns ErrNoQueue or ErrNotFound.
func (c *Core) withJob(ctx context.Context, request *JobRequest, read func(job *jobs.Job)) error {
	return c.lookUp(ctx, func() error { return c.readJob(request, read) })
}

// lookUp returns the result of looking something up in the state. Only a confirmed leader says that there is no such
// thing: a later one may have accepted it.
func (c *Core) lookUp(ctx context.Context, find func() error) error {
	if err := c.checkLeading(); err != nil {
		return err
	}

	err := find()
	if !errors.Is(err, mill.ErrNotFound) && !errors.Is(err, mill.ErrNoQueue) {
		return err
	}

	if unconfirmed := c.confirmLeadership(ctx); unconfirmed != nil {
		return unconfirmed
	}

	return find()
}

// readJob calls a function with the job that a request names, as this process knows it.
func (c *Core) readJob(request *JobRequest, read func(job *jobs.Job)) error {
	var err error

	c.stateMachine.view(func(state *jobs.State) {
		if state.Setup() == nil {
			err = merry.Prepend(mill.ErrUnavailable, "there is no setup yet", merry.NoCaptureStack())

			return
		}

		_, id, ok := state.SetupIndex().Find(request.Host, request.Path)
		if !ok {
			err = merry.Prepend(mill.ErrNoQueue, request.Path, merry.NoCaptureStack())

			return
		}

		job, ok := state.Job(id)
		if !ok {
			err = merry.Prepend(mill.ErrNotFound, id, merry.NoCaptureStack())

			return
		}

		read(job)
	})

	return err
}

func (c *Core) state(ctx context.Context, request *JobRequest) (*StateReply, error) {
	reply := &StateReply{}
	err := c.withJob(ctx, request, func(job *jobs.Job) { reply.State = job.State() })

	return reply, err
}

func (c *Core) cancel(ctx context.Context, request *JobRequest) (*StateReply, error) {
	var id string

	reply := &StateReply{}

	err := c.withJob(ctx, request, func(job *jobs.Job) { id, reply.State = job.ID, job.State() })
	if err != nil || reply.State.Final() {
		return reply, err
	}

	if _, err := c.commit(ctx, jobs.Command{Cancel: &jobs.Cancel{Job: id}}); err != nil {
		return nil, err
	}

	log.Info().Str("job", id).Msg("job canceled")

	return &StateReply{State: mill.JobCanceled}, nil
}

func (c *Core) pending(ctx context.Context, request *JobRequest) (*PendingReply, error) {
	reply := &PendingReply{}
	err := c.lookUp(ctx, func() error { return c.countPending(request, reply) })

	return reply, err
}

func (c *Core) countPending(request *JobRequest, reply *PendingReply) error {
	var err error

	c.stateMachine.view(func(state *jobs.State) {
		if state.Setup() == nil {
			err = merry.Prepend(mill.ErrUnavailable, "there is no setup yet", merry.NoCaptureStack())

			return
		}

		queue, rest, ok := state.SetupIndex().Find(request.Host, request.Path)
		if !ok || rest != "" {
			err = merry.Prepend(mill.ErrNoQueue, request.Path, merry.NoCaptureStack())

			return
		}

		reply.Pending = state.Pending(queue.Name)
	})

	return err
}
