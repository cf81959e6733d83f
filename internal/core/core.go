package core

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/internal/disk"
	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/group"
	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/lead"
	"github.com/cranberrymill/cranberrymill/internal/mail"
	"github.com/cranberrymill/cranberrymill/internal/meter"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/relay"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Config configures a core process.
type Config struct {
	// VM is the name of the VM; each VM has one vote.
	VM string
	// Address is the address at which other processes call this one.
	Address string
	// DataCentre is where the VM is. Orders to its workers are relayed by this process; "" disables that.
	DataCentre string
	// Seeds are addresses of core processes.
	Seeds []string
	// Bootstrap says that the whole system starts for the first time, so that seeds form the group.
	Bootstrap bool
	// Folder is the data folder.
	Folder string
	Bounds lead.Bounds
	// Shares is what tenants may submit beyond their weights.
	Shares plan.ShareAllowance
	Orders mill.WorkerOrders
	// OrderQueue keeps the Orders for the replies to worker reports; nil if orders are sent by calls.
	OrderQueue *mail.OrderQueue
	Advisor    mill.Advisor
	// ReadSetup reads a setup from an operator's document; nil if that is not possible.
	ReadSetup func(document []byte) (*mill.Setup, error)
	// Machines is the machine provider's API; nil if there is none.
	Machines mill.Machines
	// Scope creates the metrics; nil disables them.
	Scope tally.Scope
	// TenantTable shows what the tenants use while this process leads; nil if it is not shown.
	TenantTable *meter.Table
}

// maxConcurrentCalls bounds the orders and advisor requests that are in flight.
const maxConcurrentCalls = 4096

// Core is a core process: a replica of the log, and the scheduler while it leads.
type Core struct {
	config       Config
	client       *wire.Client
	storage      mill.Storage
	host         *group.Host
	stateMachine *stateMachine
	leaderClient *LeaderClient
	workers      workerTable
	clocks       peerClocks
	outbox       *drive.Outbox[WorkerUpdate]
	pool         *ants.Pool
	placer       mill.Placer
	// relaySender and relayServer are nil where orders are not sent by calls.
	relaySender   *relay.Sender
	relayServer   *relay.Server
	runner        atomic.Pointer[lead.Runner]
	commitLatency tally.Histogram
	callMetrics   *callMetrics
	confirmer     confirmer
	shares        shares
	ctx           context.Context
	// leadershipTerm is the term in which this process leads, or 0; stopScheduler stops its scheduler.
	leadershipTerm uint64
	stopScheduler  context.CancelFunc
	// notifiedTerm is the latest term whose leader was sent all recent worker statuses.
	notifiedTerm uint64

	// announced is what the processes in contact with this one were told last.
	announced announcement

	mu sync.Mutex
	// contactChanged is closed and replaced when the setup or the leader changes.
	contactChanged chan struct{}
	// seeds are the addresses that were set last.
	seeds []string
}

var _ mill.Control = (*Core)(nil)

// bootstrapIdentity is the identity of a seed from its first start on. It is derived from
// the address, so that each seed knows those of the others and all bootstrap the same group.
func bootstrapIdentity(address string) string {
	return "first@" + address
}

// New opens the data folder and returns a process that is not running yet.
func New(config Config) (*Core, error) {
	identity := ""
	if config.Bootstrap && slices.Contains(config.Seeds, config.Address) {
		identity = bootstrapIdentity(config.Address)
	}

	storage, err := openStorage(config, identity)
	if err != nil {
		return nil, err
	}

	c := &Core{
		config:         config,
		client:         wire.NewClient(),
		storage:        storage,
		contactChanged: make(chan struct{}),
		seeds:          config.Seeds,
		placer:         place.Pack{},
	}
	c.stateMachine = newStateMachine(func() bool { return c.runner.Load() != nil }, config.Scope)
	c.stateMachine.readSetup = config.ReadSetup
	c.leaderClient = NewLeaderClient(c.client, config.Seeds, config.Address)
	c.leaderClient.SetScope(config.Scope)
	c.commitLatency = newCommitHistogram(config.Scope)
	c.shares.meter = plan.NewShareMeter(config.Shares)
	c.callMetrics = newCallMetrics(config.Scope)
	c.confirmer.confirm = c.commitNothing

	c.pool, err = ants.NewPool(maxConcurrentCalls, ants.WithNonblocking(true))

	return c, err
}

// newCommitHistogram returns the histogram of the time that entries take to be committed.
func newCommitHistogram(scope tally.Scope) tally.Histogram {
	if scope == nil {
		scope = tally.NoopScope
	}

	return scope.Histogram("commit_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13))
}

// openStorage opens the data folder. At the first start a seed writes the initial
// membership, which is the same on all seeds.
func openStorage(config Config, identity string) (*disk.File, error) {
	storage, err := disk.OpenWithIdentity(config.Folder, identity)
	if err != nil || identity == "" || storage.Identity() != identity {
		return storage, err
	}

	servers := make([]raft.Server, 0, len(config.Seeds))
	for _, seed := range config.Seeds {
		servers = append(servers, raft.Server{VM: hostOf(seed), Identity: bootstrapIdentity(seed), Address: seed})
	}

	bootstrapped, err := raft.Bootstrap(storage, servers...)
	if err != nil {
		return nil, merry.Prepend(err, "bootstrap the group")
	}

	log.Info().Bool("began", bootstrapped).Strs("seeds", config.Seeds).Msg("seed checked whether to bootstrap the group")

	// Reopen the folder to load the membership that was just written.
	if err := storage.Close(); err != nil {
		return nil, err
	}

	return disk.OpenWithIdentity(config.Folder, identity)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}

	return host
}

// Run participates in the group until the context ends or the storage fails.
func (c *Core) Run(ctx context.Context, listener net.Listener) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	tasks, runCtx := errgroup.WithContext(runCtx)
	c.ctx = runCtx

	if err := c.open(runCtx); err != nil {
		return err
	}

	server := &wire.Server{}
	c.registerHandlers(server)

	tasks.Go(func() error { return c.host.Run(runCtx) })
	tasks.Go(func() error { return server.Serve(runCtx, listener) })
	tasks.Go(func() error { return c.leaderClient.Run(runCtx) })
	tasks.Go(func() error { return c.transferLeadership(ctx, runCtx, stop) })

	log.Info().Str("vm", c.config.VM).Str("address", c.config.Address).Str("identity", c.storage.Identity()).
		Msg("core started")

	err := tasks.Wait()
	log.Info().Err(err).Str("vm", c.config.VM).Msg("core stopped")

	return err
}

func (c *Core) open(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	host, err := group.Open(ctx, group.Config{
		Self: raft.Server{
			VM:       hostOf(c.config.Address),
			Identity: c.storage.Identity(),
			Address:  c.config.Address,
		},
		Peers:        c.peers(c.seeds),
		Storage:      c.storage,
		Client:       c.client,
		Method:       MethodDeliver,
		Seed:         rand.Uint64(),
		StateMachine: c.stateMachine,
		OnUpdate:     c.onUpdate,
	})
	if err != nil {
		return err
	}

	c.host = host
	c.outbox = drive.NewOutbox[WorkerUpdate](ctx, c.client, MethodForward)
	c.openRelay(ctx)

	return nil
}

// openRelay prepares this process to relay orders, and to send them through relays when it leads.
func (c *Core) openRelay(ctx context.Context) {
	if c.config.OrderQueue != nil || c.config.DataCentre == "" {
		return
	}

	address, orders := c.config.Address, c.config.Orders
	c.relayServer = relay.NewServer(ctx, address, c.client, orders, c.pool)
	c.relaySender = relay.NewSender(ctx, address, c.client, orders, c.relayDataCentre, c.config.Scope)
	c.leaderClient.OfferRelay(c.config.DataCentre)
}

// relayDataCentre returns the data centre whose relay passes orders on to a worker, or "" if the worker is called directly.
func (c *Core) relayDataCentre(worker string) string {
	if !plan.RelayOrders(c.workers.len()) {
		return ""
	}

	return c.workers.dataCentre(worker)
}

// orders returns the channel for orders in a term, which lasts as long as the context.
func (c *Core) orders(ctx context.Context, term uint64) mill.WorkerOrders {
	if c.relaySender == nil {
		return c.config.Orders
	}

	go c.relaySender.Run(ctx, term)

	return c.relaySender
}

// peers returns the seeds other than this process.
func (c *Core) peers(seeds []string) []raft.Server {
	peers := make([]raft.Server, 0, len(seeds))

	for _, seed := range seeds {
		if seed != c.config.Address {
			peers = append(peers, raft.Server{VM: hostOf(seed), Address: seed})
		}
	}

	return peers
}

// SetSeeds replaces the addresses of core processes. Settings may change while the data
// folder is still being read; the new seeds then take effect once it is open.
func (c *Core) SetSeeds(seeds []string) error {
	c.leaderClient.SetSeeds(seeds)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.seeds = seeds
	if c.host == nil {
		return nil
	}

	return c.host.SetPeers(c.peers(seeds))
}

// role returns this process's role in the group, or the zero Role before the data folder is open.
func (c *Core) role() group.Role {
	c.mu.Lock()
	host := c.host
	c.mu.Unlock()

	if host == nil {
		return group.Role{}
	}

	return host.Role()
}

// leadershipTransferTimeout bounds the wait for a successor at a planned stop.
const leadershipTransferTimeout = 1500 * time.Millisecond

// transferLeadership waits for the planned stop, transfers leadership if this process leads,
// and then stops the other goroutines.
func (c *Core) transferLeadership(ctx, runCtx context.Context, stop func()) error {
	defer stop()

	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}

	log.Info().Str("vm", c.config.VM).Msg("core is shutting down")

	limit, cancel := context.WithTimeout(runCtx, leadershipTransferTimeout)
	defer cancel()

	if c.role().Leading {
		c.host.TransferLeadership(limit)
	}

	return nil
}

// onUpdate handles a change of role, sends the recent worker statuses to a new leader and
// announces a new setup or leader. It runs on the driver's goroutine.
func (c *Core) onUpdate() {
	role := c.role()

	switch {
	case role.Leading && role.CommittedInTerm && c.leadershipTerm != role.Term:
		c.becomeLeader(role.Term)
	case !role.Leading && c.leadershipTerm != 0:
		c.stepDown("lost leadership")
	default:
	}

	if role.Leader.Address != "" && role.Term != c.notifiedTerm {
		c.notifiedTerm = role.Term
		c.forwardAll()
	}

	c.announceChange(&role)

	if runner := c.runner.Load(); runner != nil {
		runner.Wake()
	}
}

// becomeLeader starts scheduling in a term in which this process knows all that earlier
// leaders have committed. That is known from the entry with which the node begins its term,
// and not from a proposal, since after a restart with a long log one could be refused.
func (c *Core) becomeLeader(term uint64) {
	c.stepDown("new term")
	c.leadershipTerm = term

	ctx, cancel := context.WithCancel(c.ctx)
	c.stopScheduler = cancel

	log.Info().Uint64("term", term).Str("vm", c.config.VM).Msg("started leading")
	c.startScheduler(ctx, term, time.Now())
}

// startScheduler starts the scheduler of a term. It runs on the driver's goroutine.
func (c *Core) startScheduler(ctx context.Context, term uint64, termStart time.Time) {
	scheduler := lead.New(c.config.Bounds, term, termStart, c.stateMachine.state, c.placer)
	runner := lead.NewRunner(ctx, scheduler, lead.Dependencies{
		Orders: c.orders(ctx, term),

		Machines: c.config.Machines,
		Scope:    c.config.Scope,

		Advise:    c.advise,
		Propose:   c.propose,
		Confirm:   c.commitNothing,
		Contact:   c.host.SinceContact,
		View:      c.stateMachine.view,
		WallMilli: c.clocks.medianUnixMilli,
		Pool:      c.pool,

		ReportTenants: c.reportTenants,
	})

	for _, known := range c.workers.recent(time.Now()) {
		runner.Report(known.status, known.receivedAt)
	}

	c.runner.Store(runner)
	go runner.Run()
	go c.registerAdvisorAddress(ctx, runner)

	log.Info().Uint64("term", term).Int("open", len(c.stateMachine.state.OpenJobs())).
		Msg("scheduler started")
}

// registerAdvisorAddress keeps this process registered with the runner as an address from which
// the advisor can be asked.
func (c *Core) registerAdvisorAddress(ctx context.Context, runner *lead.Runner) {
	for ctx.Err() == nil {
		runner.AdvisorReachable(c.config.Address)
		drive.Pause(ctx, longPollTimeout)
	}
}

func (c *Core) stepDown(reason string) {
	c.runner.Store(nil)

	if c.stopScheduler != nil {
		c.stopScheduler()
		c.stopScheduler = nil
	}

	if c.leadershipTerm != 0 {
		log.Info().Uint64("term", c.leadershipTerm).Str("reason", reason).Msg("stopped leading")
	}

	c.leadershipTerm = 0
}

// propose proposes the commands as one log entry, and calls done with their results once it is committed.
func (c *Core) propose(commands []jobs.Command, done func(results []jobs.Result, err error)) {
	data, unreadable, err := jobs.EncodeBatch(commands)
	if err != nil {
		done(nil, err)

		return
	}

	start := time.Now()

	c.host.Propose(data, func(err error) {
		c.commitLatency.RecordDuration(time.Since(start))

		if err == nil && len(c.stateMachine.results)+len(unreadable) != len(commands) {
			err = merry.Prepend(mill.ErrUnavailable, "the committed log entry could not be decoded", merry.NoCaptureStack())
		}

		if err != nil {
			done(nil, err)

			return
		}

		done(jobs.InsertUnreadable(c.stateMachine.results, unreadable), nil)
	})
}

// commit proposes the commands and waits for their results.
func (c *Core) commit(ctx context.Context, commands ...jobs.Command) ([]jobs.Result, error) {
	type outcome struct {
		results []jobs.Result
		err     error
	}

	reply := make(chan outcome, 1)

	c.propose(commands, func(results []jobs.Result, err error) { reply <- outcome{results: results, err: err} })

	select {
	case result := <-reply:
		if result.err == nil && slices.Contains(result.results, jobs.ResultUnreadable) {
			return nil, merry.Prepend(mill.ErrInvalid, "the request holds text that is not UTF-8", merry.NoCaptureStack())
		}

		return result.results, result.err
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

// commitNothing commits an empty entry. This proves that no other leader had committed anything newer when it was
// proposed, even if this process was suspended without noticing it by its clocks.
func (c *Core) commitNothing(ctx context.Context) error {
	_, err := c.commit(ctx)

	return err
}

// advise asks the advisor from the address that the request names.
func (c *Core) advise(ctx context.Context, request *lead.AdviceRequest) (*mill.Advice, error) {
	if request.Address == c.config.Address {
		return c.config.Advisor.Advise(ctx, request.Step, request.Workers)
	}

	reply, err := wire.Call[AdviseRequest, AdviseReply](ctx, c.client, request.Address, MethodAdvise, &AdviseRequest{
		Step:       request.Step,
		Workers:    request.Workers,
		LimitMilli: request.Timeout.Milliseconds(),
	})
	if err != nil {
		return nil, err
	}

	return &reply.Advice, nil
}
