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
	"github.com/cranberrymill/cranberrymill/internal/logs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxContactAge is how long after the leader's last reply this process counts as ready:
// four times the long-poll wait, so that a single lost reply does not make it unready.
const maxContactAge = 2 * time.Second

// denialLogInterval bounds the lines about submissions without the right key.
const denialLogInterval = 10 * time.Second

// Config configures a front process.
type Config struct {
	// VM is the name of the VM.
	VM string
	// Address is the address at which the leader calls this process to ask the advisor.
	Address string
	// Seeds are addresses of core processes.
	Seeds   []string
	Advisor mill.Advisor
	// Client calls the core processes; nil is a client that dials TCP.
	Client *wire.Client
	// Scope creates the metrics; nil disables them.
	Scope tally.Scope
}

// Front is a process that serves callers.
type Front struct {
	config       Config
	leaderClient *core.LeaderClient
	metrics      metrics
	denials      logs.Limiter
}

var _ mill.JobQueues = (*Front)(nil)

// New returns a process that is not running yet.
func New(config Config) *Front {
	if config.Client == nil {
		config.Client = wire.NewClient()
	}

	f := &Front{
		config:       config,
		leaderClient: core.NewLeaderClient(config.Client, config.Seeds, config.Address),
		metrics:      newMetrics(config.Scope),
	}
	f.leaderClient.SetScope(config.Scope)

	return f
}

// Run follows the core, and asks the advisor on its behalf, until the context ends.
func (f *Front) Run(ctx context.Context, listener net.Listener) error {
	tasks, ctx := errgroup.WithContext(ctx)
	server := &wire.Server{}
	wire.Handle(server, core.MethodAdvise, core.NewAdviseHandler(f.config.Advisor))

	tasks.Go(func() error { return f.leaderClient.Run(ctx) })
	tasks.Go(func() error { return server.Serve(ctx, listener) })

	log.Info().Str("vm", f.config.VM).Strs("seeds", f.config.Seeds).Msg("front started")

	return tasks.Wait()
}

// SetSeeds replaces the addresses of core processes.
func (f *Front) SetSeeds(seeds []string) {
	f.leaderClient.SetSeeds(seeds)
}

// Ready reports whether this process can serve callers.
func (f *Front) Ready() bool {
	_, configured := f.leaderClient.Limits()

	return configured && time.Since(f.leaderClient.LastContact()) < maxContactAge
}

// Limits returns the limits of callers' requests, or false while there is no setup.
func (f *Front) Limits() (mill.CallLimits, bool) {
	return f.leaderClient.Limits()
}

// Submit submits a job to the leader.
func (f *Front) Submit(ctx context.Context, target mill.Target, work *mill.Workload) (mill.Receipt, error) {
	if err := work.Validate(); err != nil {
		return mill.Receipt{}, err
	}

	if _, configured := f.leaderClient.Limits(); !configured {
		return mill.Receipt{Verdict: mill.VerdictRefused, Reason: "there is no setup yet"}, nil
	}

	start := time.Now()

	reply, ambiguous, err := core.CallLeader[core.SubmitRequest, core.SubmitReply](ctx, f.leaderClient, core.MethodSubmit,
		func(term uint64) *core.SubmitRequest {
			return &core.SubmitRequest{Term: term, Host: target.Host, Path: target.Path, Key: target.Key, Work: *work}
		})

	receipt := receiptFor(reply, ambiguous, err)
	f.metrics.recordSubmission(receipt.Verdict, time.Since(start))

	f.logSubmission(target.Path, &receipt, ambiguous, err)

	return receipt, nil
}

// logSubmission logs how a submission was answered. Those without the right key may be many, so only some are logged.
func (f *Front) logSubmission(path string, receipt *mill.Receipt, ambiguous bool, err error) {
	skipped := 0

	if receipt.Verdict == mill.VerdictUnauthenticated || receipt.Verdict == mill.VerdictForbidden {
		var ok bool
		if skipped, ok = f.denials.Allow(time.Now(), denialLogInterval); !ok {
			return
		}
	}

	log.Info().Str("path", path).Int("verdict", int(receipt.Verdict)).Str("reason", receipt.Reason).
		Bool("doubtful", ambiguous).Int("skipped", skipped).Err(err).Msg("submission answered")
}

// receiptFor returns the verdict that is certain: a submission counts as refused only if no earlier
// attempt may have reached a leader.
func receiptFor(reply *core.SubmitReply, ambiguous bool, err error) mill.Receipt {
	switch {
	case err != nil && ambiguous:
		return mill.Receipt{Verdict: mill.VerdictUnknown, Reason: err.Error()}
	case errors.Is(err, mill.ErrUnauthenticated):
		return mill.Receipt{Verdict: mill.VerdictUnauthenticated, Reason: err.Error()}
	case errors.Is(err, mill.ErrForbidden):
		return mill.Receipt{Verdict: mill.VerdictForbidden, Reason: err.Error()}
	case err != nil:
		return mill.Receipt{Verdict: mill.VerdictRefused, Reason: err.Error(), RetryAfter: plan.RetryAfterOutage()}
	case ambiguous && reply.Receipt.Verdict != mill.VerdictAccepted:
		return mill.Receipt{Verdict: mill.VerdictUnknown, Reason: reply.Receipt.Reason}
	default:
		return reply.Receipt
	}
}

// State asks the leader for a job's state.
func (f *Front) State(ctx context.Context, target mill.Target) (mill.JobState, error) {
	reply, _, err := core.CallLeader[core.JobRequest, core.StateReply](ctx, f.leaderClient, core.MethodState,
		jobRequest(target))
	if err != nil {
		return "", err
	}

	return reply.State, nil
}

// Cancel cancels a job through the leader.
func (f *Front) Cancel(ctx context.Context, target mill.Target) error {
	_, _, err := core.CallLeader[core.JobRequest, core.StateReply](ctx, f.leaderClient, core.MethodCancel,
		jobRequest(target))
	if err != nil && !errors.Is(err, mill.ErrNotFound) {
		log.Warn().Str("path", target.Path).Err(err).Msg("cancellation failed")
	}

	return err
}

// Pending asks the leader for the number of pending jobs of a queue.
func (f *Front) Pending(ctx context.Context, target mill.Target) (int, error) {
	reply, _, err := core.CallLeader[core.JobRequest, core.PendingReply](ctx, f.leaderClient, core.MethodPending,
		jobRequest(target))
	if err != nil {
		return 0, err
	}

	return reply.Pending, nil
}

func jobRequest(target mill.Target) func(term uint64) *core.JobRequest {
	return func(uint64) *core.JobRequest {
		return &core.JobRequest{Host: target.Host, Path: target.Path, Key: target.Key}
	}
}
