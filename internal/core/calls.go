package core

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func (c *Core) register(server *wire.Server) {
	c.host.Register(server)
	wire.HandleStream(server, MethodPassOn, c.passedOn)
	wire.Handle(server, MethodSubmit, c.submit)
	wire.Handle(server, MethodState, c.state)
	wire.Handle(server, MethodCancel, c.cancel)
	wire.Handle(server, MethodPending, c.pending)
	wire.Handle(server, MethodConfigure, c.configure)
	wire.Handle(server, MethodSetup, c.setup)
	wire.Handle(server, MethodWave, c.wave)
	wire.Handle(server, MethodWaveState, c.waveState)
	wire.Handle(server, MethodFollow, c.follow)
	wire.Handle(server, MethodAdvise, NewAdviseHandler(c.config.Advisor))
}

// NewAdviseHandler returns the function that answers MethodAdvise by an advisor.
func NewAdviseHandler(advisor mill.Advisor) func(ctx context.Context, request *AdviseRequest) (*AdviseReply, error) {
	return func(ctx context.Context, request *AdviseRequest) (*AdviseReply, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(request.LimitMilli)*time.Millisecond)
		defer cancel()

		advice, err := advisor.Advise(ctx, request.Step, request.Workers)
		if err != nil {
			return nil, err
		}

		return &AdviseReply{Advice: *advice}, nil
	}
}

// scheduling returns ErrNotPrimary unless this process leads and knows all that is committed.
func (c *Core) scheduling() error {
	if c.runner.Load() == nil {
		return merry.Prepend(mill.ErrNotPrimary, c.config.VM, merry.NoCaptureStack())
	}

	return nil
}

func (c *Core) submit(ctx context.Context, request *SubmitRequest) (*SubmitReply, error) {
	if err := c.scheduling(); err != nil {
		return nil, err
	}

	if request.Term != c.role().Term {
		return nil, merry.Prepend(mill.ErrNotPrimary, "another term", merry.NoCaptureStack())
	}

	id, queue, known := c.lookUp(request)

	switch {
	case queue == "":
		return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictNoQueue}}, nil
	case known:
		return &SubmitReply{Receipt: mill.Receipt{Verdict: mill.VerdictAccepted}}, nil
	default:
	}

	results, err := c.commit(ctx, jobs.Command{Submit: &jobs.Submit{
		Job:       id,
		Queue:     queue,
		Work:      request.Work,
		UnixMilli: c.clocks.wallMilli(time.Now()),
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

// lookUp returns the id and queue of a submission, "" where no queue takes it, and
// whether the job is known.
func (c *Core) lookUp(request *SubmitRequest) (id, queue string, known bool) {
	c.machine.view(func(state *jobs.State) {
		if state.Setup() == nil {
			return
		}

		found, rest, ok := state.Setup().Find(request.Host, request.Path)
		if !ok || rest == "" || strings.Contains(rest, "/") {
			return
		}

		id, queue = rest, found.Name
		_, known = state.Job(id)
	})

	return id, queue, known
}

// find calls a function with the job of a request, or returns ErrNoQueue or ErrNotFound.
func (c *Core) find(request *JobRequest, read func(job *jobs.Job)) error {
	if err := c.scheduling(); err != nil {
		return err
	}

	var err error

	c.machine.view(func(state *jobs.State) {
		if state.Setup() == nil {
			err = merry.Prepend(mill.ErrUnavailable, "there is no setup yet", merry.NoCaptureStack())

			return
		}

		_, id, ok := state.Setup().Find(request.Host, request.Path)
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

func (c *Core) state(_ context.Context, request *JobRequest) (*StateReply, error) {
	reply := &StateReply{}
	err := c.find(request, func(job *jobs.Job) { reply.State = job.State() })

	return reply, err
}

func (c *Core) cancel(ctx context.Context, request *JobRequest) (*StateReply, error) {
	var id string

	reply := &StateReply{}

	err := c.find(request, func(job *jobs.Job) { id, reply.State = job.ID, job.State() })
	if err != nil || reply.State.Final() {
		return reply, err
	}

	if _, err := c.commit(ctx, jobs.Command{Cancel: &jobs.Cancel{Job: id}}); err != nil {
		return nil, err
	}

	log.Info().Str("job", id).Msg("job canceled")

	return &StateReply{State: mill.JobCanceled}, nil
}

func (c *Core) pending(_ context.Context, request *JobRequest) (*PendingReply, error) {
	if err := c.scheduling(); err != nil {
		return nil, err
	}

	var err error

	reply := &PendingReply{}

	c.machine.view(func(state *jobs.State) {
		if state.Setup() == nil {
			err = merry.Prepend(mill.ErrUnavailable, "there is no setup yet", merry.NoCaptureStack())

			return
		}

		queue, rest, ok := state.Setup().Find(request.Host, request.Path)
		if !ok || rest != "" {
			err = merry.Prepend(mill.ErrNoQueue, request.Path, merry.NoCaptureStack())

			return
		}

		reply.Pending = state.Pending(queue.Name)
	})

	return reply, err
}

func (c *Core) configure(ctx context.Context, setup *mill.Setup) (*ConfigureReply, error) {
	if err := c.scheduling(); err != nil {
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

// confirm commits an empty entry: it shows that no other leader has committed anything
// newer, even after a freeze that no clock of this process has noticed.
func (c *Core) confirm(ctx context.Context) error {
	if err := c.scheduling(); err != nil {
		return err
	}

	_, err := c.commit(ctx)

	return err
}

// setup returns the newest setup.
func (c *Core) setup(ctx context.Context, _ *SetupRequest) (*SetupReply, error) {
	if err := c.confirm(ctx); err != nil {
		return nil, err
	}

	reply := &SetupReply{}
	c.machine.view(func(state *jobs.State) { reply.Setup = state.Setup() })

	return reply, nil
}

func (c *Core) follow(ctx context.Context, request *FollowRequest) (*FollowReply, error) {
	if runner := c.runner.Load(); runner != nil && request.Advisor != "" {
		runner.Caller(request.Advisor)
		c.clocks.observe(request.Advisor, request.UnixMilli, time.Now())
	}

	timer := time.NewTimer(min(time.Duration(request.WaitMilli)*time.Millisecond, followWait))
	defer timer.Stop()

	for {
		changed := c.changes()
		reply := c.followReply(request.Version)

		if reply.Setup != nil || reply.Leader != c.config.Address {
			return reply, nil
		}

		select {
		case <-changed:
		case <-timer.C:
			return c.followReply(request.Version), nil
		case <-ctx.Done():
			return reply, nil
		}
	}
}

func (c *Core) followReply(version uint64) *FollowReply {
	role := c.role()
	reply := &FollowReply{Leader: role.Leader.Address, Term: role.Term}

	if role.Leading && c.runner.Load() == nil {
		reply.Leader = ""
	}

	for _, server := range role.Members.Servers {
		reply.Members = append(reply.Members, server.Address)
	}

	c.machine.view(func(state *jobs.State) {
		if setup := state.Setup(); setup != nil && setup.Version > version {
			reply.Setup = setup
		}
	})

	return reply
}

func (c *Core) passedOn(_ context.Context, batch *drive.Batch[News]) (*drive.Receipt, error) {
	now := time.Now()

	for _, news := range batch.Messages {
		c.noteNews(&news, now)
	}

	return &drive.Receipt{}, nil
}

// noteNews takes note of what a worker has said, and reports whether it was new.
func (c *Core) noteNews(news *News, now time.Time) bool {
	runner := c.runner.Load()

	if news.Status == nil {
		c.table.remove(news.Removed)

		if runner != nil {
			runner.Remove(news.Removed)
		}

		return true
	}

	if !c.table.add(news.Status, now) {
		return false
	}

	if runner != nil {
		runner.Report(news.Status, now)
	}

	return true
}

// others returns the other processes of the core: by the log, or by what the leader
// says as long as this process has no log.
func (c *Core) others() []string {
	var addresses []string

	for _, server := range c.role().Members.Servers {
		addresses = append(addresses, server.Address)
	}

	if len(addresses) == 0 {
		addresses = c.link.addresses()
	}

	return slices.DeleteFunc(addresses, func(address string) bool { return address == c.config.Address })
}

// listeners returns the processes that need news of workers: the leader alone, which has
// in the log what its successor must know, or all as long as none is known.
func (c *Core) listeners() []string {
	switch leader := c.role().Leader.Address; leader {
	case "":
		return c.others()
	case c.config.Address:
		return nil
	default:
		return []string{leader}
	}
}

// tellAll passes all that is known of the workers on to a leader that is new.
func (c *Core) tellAll() {
	for _, known := range c.table.all(time.Now()) {
		c.tell(News{Status: known.status})
	}
}

// tell passes news on to the processes that need it, once the data folder is open.
func (c *Core) tell(news News) {
	c.mu.Lock()
	outbox := c.outbox
	c.mu.Unlock()

	if outbox == nil {
		return
	}

	for _, address := range c.listeners() {
		outbox.Send(address, news)
	}
}

// ReportWorker takes note of a worker's report and passes its status on. Where orders
// are given with the answers, it sends the worker to the leader.
func (c *Core) ReportWorker(_ context.Context, report *mill.WorkerReport) (*mill.ReportReply, error) {
	now := time.Now()

	news := News{Status: report.Status}
	if c.noteNews(&news, now) {
		c.tell(news)
	}

	if c.config.Answers == nil {
		return &mill.ReportReply{}, nil
	}

	reply := &mill.ReportReply{ReportTo: c.role().Leader.Address}
	if c.runner.Load() == nil {
		return reply, nil
	}

	var err error

	if reply.Orders, err = c.config.Answers.Answer(report, now); err != nil {
		return nil, err
	}

	reply.Orders.ReportAfter = plan.ReportInterval(c.table.len())

	return reply, nil
}

// RemoveWorker takes note of a worker's planned end and passes it on.
func (c *Core) RemoveWorker(_ context.Context, id string) error {
	log.Info().Str("worker", id).Msg("worker ends")

	if c.config.Answers != nil {
		c.config.Answers.Forget(id)
	}

	news := News{Removed: id}
	c.noteNews(&news, time.Now())
	c.tell(news)

	return nil
}

// Configure stores a setup by way of the leader.
func (c *Core) Configure(ctx context.Context, setup *mill.Setup) error {
	if err := setup.Validate(); err != nil {
		return err
	}

	_, _, err := CallLeader[mill.Setup, ConfigureReply](ctx, c.link, MethodConfigure,
		func(uint64) *mill.Setup { return setup })

	return err
}

// CurrentSetup returns the newest setup by way of the leader.
func (c *Core) CurrentSetup(ctx context.Context) (*mill.Setup, error) {
	reply, _, err := CallLeader[SetupRequest, SetupReply](ctx, c.link, MethodSetup,
		func(uint64) *SetupRequest { return &SetupRequest{} })
	if err != nil {
		return nil, err
	}

	if reply.Setup == nil {
		return nil, merry.Prepend(mill.ErrUnavailable, "there is no setup yet", merry.NoCaptureStack())
	}

	return reply.Setup, nil
}
