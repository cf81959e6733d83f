package front

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// freshTime is how long after the leader was heard this process counts as ready:
// four times the wait of a follower, so that one lost answer is no reason to leave.
const freshTime = 2 * time.Second

// Config holds what a front process is told at its start.
type Config struct {
	// VM names the machine.
	VM string
	// Address is where the leader calls this process to ask the advisor.
	Address string
	// Seeds are the addresses of processes of the core.
	Seeds   []string
	Advisor mill.Advisor
	// Scope is where metrics are made; nil for none.
	Scope tally.Scope
}

// Front is one process that faces callers.
type Front struct {
	config   Config
	link     *core.Link
	counters counters
}

var _ mill.JobQueues = (*Front)(nil)

// New returns a process that is not running yet.
func New(config Config) *Front {
	return &Front{
		config:   config,
		link:     core.NewLink(wire.NewClient(), config.Seeds, config.Address),
		counters: newCounters(config.Scope),
	}
}

// Run follows the core and asks the advisor for it until the context ends.
func (f *Front) Run(ctx context.Context, listener net.Listener) error {
	duties, ctx := errgroup.WithContext(ctx)
	server := &wire.Server{}
	wire.Handle(server, core.MethodAdvise, core.NewAdviseHandler(f.config.Advisor))

	duties.Go(func() error { return f.link.Run(ctx) })
	duties.Go(func() error { return server.Serve(ctx, listener) })

	log.Info().Str("vm", f.config.VM).Strs("seeds", f.config.Seeds).Msg("front is running")

	return duties.Wait()
}

// SetSeeds replaces the addresses of processes of the core.
func (f *Front) SetSeeds(seeds []string) {
	f.link.SetSeeds(seeds)
}

// Ready reports whether callers are served here.
func (f *Front) Ready() bool {
	return f.link.Setup() != nil && time.Since(f.link.Heard()) < freshTime
}

// Limits returns the bounds of callers' requests, or false before there is a setup.
func (f *Front) Limits() (mill.CallLimits, bool) {
	setup := f.link.Setup()
	if setup == nil {
		return mill.CallLimits{}, false
	}

	return setup.Limits, true
}

// Submit has the leader accept a job.
func (f *Front) Submit(ctx context.Context, host, path string, work *mill.Workload) (mill.Receipt, error) {
	if err := work.Validate(); err != nil {
		return mill.Receipt{}, err
	}

	if f.link.Setup() == nil {
		return mill.Receipt{Verdict: mill.VerdictRefused, Reason: "there is no setup yet"}, nil
	}

	began := time.Now()

	reply, doubtful, err := core.CallLeader[core.SubmitRequest, core.SubmitReply](ctx, f.link, core.MethodSubmit,
		func(term uint64) *core.SubmitRequest {
			return &core.SubmitRequest{Term: term, Host: host, Path: path, Work: *work}
		})

	receipt := receiptOf(reply, doubtful, err)
	f.counters.answered(receipt.Verdict, time.Since(began))

	log.Info().Str("path", path).Int("verdict", int(receipt.Verdict)).Str("reason", receipt.Reason).
		Bool("doubtful", doubtful).Err(err).Msg("submission answered")

	return receipt, nil
}

// receiptOf tells what is certain: a refusal counts only if no earlier attempt may
// have reached a leader.
func receiptOf(reply *core.SubmitReply, doubtful bool, err error) mill.Receipt {
	switch {
	case err != nil && doubtful:
		return mill.Receipt{Verdict: mill.VerdictUnknown, Reason: err.Error()}
	case err != nil:
		return mill.Receipt{Verdict: mill.VerdictRefused, Reason: err.Error(), RetryAfter: plan.RetryAfterOutage()}
	case doubtful && reply.Receipt.Verdict == mill.VerdictRefused:
		return mill.Receipt{Verdict: mill.VerdictUnknown, Reason: reply.Receipt.Reason}
	default:
		return reply.Receipt
	}
}

// State asks the leader for a job's state.
func (f *Front) State(ctx context.Context, host, path string) (mill.JobState, error) {
	reply, _, err := core.CallLeader[core.JobRequest, core.StateReply](ctx, f.link, core.MethodState,
		jobRequest(host, path))
	if err != nil {
		return "", err
	}

	return reply.State, nil
}

// Cancel has the leader cancel a job.
func (f *Front) Cancel(ctx context.Context, host, path string) error {
	_, _, err := core.CallLeader[core.JobRequest, core.StateReply](ctx, f.link, core.MethodCancel,
		jobRequest(host, path))
	if err != nil && !errors.Is(err, mill.ErrNotFound) {
		log.Warn().Str("path", path).Err(err).Msg("cancellation failed")
	}

	return err
}

// Pending asks the leader for a queue's count.
func (f *Front) Pending(ctx context.Context, host, path string) (int, error) {
	reply, _, err := core.CallLeader[core.JobRequest, core.PendingReply](ctx, f.link, core.MethodPending,
		jobRequest(host, path))
	if err != nil {
		return 0, err
	}

	return reply.Pending, nil
}

func jobRequest(host, path string) func(term uint64) *core.JobRequest {
	return func(uint64) *core.JobRequest { return &core.JobRequest{Host: host, Path: path} }
}
