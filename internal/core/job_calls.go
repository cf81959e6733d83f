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

	var found submission

	err := c.lookUp(ctx, func() (err error) {
		found, err = c.resolveSubmission(request)

		return err
	})

	switch {
	case errors.Is(err, mill.ErrNoQueue):
		return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictNoQueue}}, nil
	case err != nil:
		if errors.Is(err, mill.ErrForbidden) {
			c.callMetrics.recordSubmission(found.access.tenant, false)
		}

		return nil, err
	case found.known:
		return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictAccepted}}, nil
	default:
		return c.commitSubmission(ctx, request, &found)
	}
}

// submission is what a SubmitRequest means by the setup in force.
type submission struct {
	id     string
	setup  *mill.Setup
	access access
	// known means that the job was accepted before.
	known bool
}

// resolveSubmission returns what a submission means, or ErrNoQueue, ErrUnauthenticated or ErrForbidden.
func (c *Core) resolveSubmission(request *SubmitRequest) (found submission, err error) {
	c.stateMachine.view(func(state *jobs.State) {
		queue, id, ok := state.SetupIndex().Find(request.Host, request.Path)
		if !ok || id == "" || strings.Contains(id, "/") {
			err = noQueue(request.Path)

			return
		}

		found.id, found.setup = id, state.Setup()

		if found.access, err = authenticate(state.SetupIndex(), queue, request.Key); err != nil {
			return
		}

		var job *jobs.Job
		if job, found.known = state.Job(id); found.known {
			err = found.access.checkJob(job)
		}
	})

	return found, err
}

// commitSubmission commits a new job.
func (c *Core) commitSubmission(ctx context.Context, request *SubmitRequest, found *submission) (*SubmitReply, error) {
	queue, tenant := found.access.queue.Name, found.access.tenant

	admission, refused := c.shares.admit(found, c.runner.Load(), time.Now())
	if refused != nil {
		c.callMetrics.recordSubmission(tenant, false)

		return &SubmitReply{Receipt: *refused}, nil
	}

	results, err := c.commit(ctx, jobs.Command{Submit: &jobs.Submit{
		Job:       found.id,
		Queue:     queue,
		Work:      request.Work,
		UnixMilli: c.clocks.medianUnixMilli(time.Now()),
		Tenant:    tenant,

		BeyondShare: admission.beyondShare,
		Route:       jobs.NewSelectedRoute(found.access.index, found.access.queue),
	}})
	admission.end(err)

	if err != nil {
		return nil, err
	}

	if results[0] == jobs.ResultNoQueue {
		return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictNoQueue}}, nil
	}

	// Another tenant's submission of the same id may have been committed first.
	if err := c.checkOwner(found); err != nil {
		return nil, err
	}

	c.callMetrics.recordSubmission(tenant, true)
	log.Info().Str("job", found.id).Str("queue", queue).Str("tenant", tenant).Int("steps", len(request.Work.Steps)).
		Msg("job accepted")

	return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictAccepted}}, nil
}

// checkOwner returns ErrForbidden if a submission's id is that of a job which its caller may not use.
func (c *Core) checkOwner(found *submission) error {
	var err error

	c.stateMachine.view(func(state *jobs.State) {
		if job, ok := state.Job(found.id); ok {
			err = found.access.checkJob(job)
		}
	})

	return err
}

// withJob calls read with the job of a request, or returns ErrNoQueue, ErrUnauthenticated, ErrNotFound or ErrForbidden.
func (c *Core) withJob(ctx context.Context, request *JobRequest, read func(job *jobs.Job)) error {
	return c.lookUp(ctx, func() error { return c.readJob(request, read) })
}

// lookUp returns the result of looking something up in the state. Only a confirmed leader says that there is no such
// thing, or that a key does not open it: a later leader may have accepted the thing or the key.
func (c *Core) lookUp(ctx context.Context, find func() error) error {
	if err := c.checkLeading(); err != nil {
		return err
	}

	err := find()
	if !needsConfirmation(err) {
		return err
	}

	if unconfirmed := c.confirmLeadership(ctx); unconfirmed != nil {
		return unconfirmed
	}

	return find()
}

// needsConfirmation reports whether an error says what a later leader may know to be wrong.
func needsConfirmation(err error) bool {
	return errors.Is(err, mill.ErrNotFound) || errors.Is(err, mill.ErrNoQueue) ||
		errors.Is(err, mill.ErrUnauthenticated) || errors.Is(err, mill.ErrForbidden)
}

// findQueue returns the queue of a request and the rest of the request's path, by the setup in force; ErrUnavailable before
// there is a setup, or ErrNoQueue.
func findQueue(state *jobs.State, request *JobRequest) (queue *mill.Queue, rest string, err error) {
	if state.Setup() == nil {
		return nil, "", merry.Prepend(mill.ErrUnavailable, "there is no setup yet", merry.NoCaptureStack())
	}

	queue, rest, ok := state.SetupIndex().Find(request.Host, request.Path)
	if !ok {
		return nil, "", noQueue(request.Path)
	}

	return queue, rest, nil
}

func noQueue(path string) error {
	return merry.Prepend(mill.ErrNoQueue, path, merry.NoCaptureStack())
}

// readJob calls a function with the job that a request names, as this process knows it.
func (c *Core) readJob(request *JobRequest, read func(job *jobs.Job)) (err error) {
	c.stateMachine.view(func(state *jobs.State) {
		var (
			queue   *mill.Queue
			id      string
			granted access
		)

		if queue, id, err = findQueue(state, request); err != nil {
			return
		}

		if granted, err = authenticate(state.SetupIndex(), queue, request.Key); err != nil {
			return
		}

		job, ok := state.Job(id)
		if !ok {
			err = merry.Prepend(mill.ErrNotFound, id, merry.NoCaptureStack())

			return
		}

		if err = granted.checkJob(job); err == nil {
			read(job)
		}
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

func (c *Core) countPending(request *JobRequest, reply *PendingReply) (err error) {
	c.stateMachine.view(func(state *jobs.State) {
		var (
			queue *mill.Queue
			rest  string
		)

		if queue, rest, err = findQueue(state, request); err != nil {
			return
		}

		if rest != "" {
			err = noQueue(request.Path)

			return
		}

		if _, err = authenticate(state.SetupIndex(), queue, request.Key); err == nil {
			reply.Pending = state.Pending(queue)
		}
	})

	return err
}
