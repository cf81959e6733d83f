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
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Config holds what a core process is told at its start.
type Config struct {
	// VM names the machine; a VM has one vote.
	VM string
	// Address is where the other processes call this one.
	Address string
	// Seeds are the addresses of processes of the core.
	Seeds []string
	// First says that the whole system starts for the first time.
	First bool
	// Folder is the data folder.
	Folder string
	Bounds lead.Bounds
	Orders mill.WorkerOrders
	// Answers hands Orders out with the answers to reports; nil where they are given by calls.
	Answers *mail.Box
	Advisor mill.Advisor
	// Machines is the provider's side; nil where there is none.
	Machines mill.Machines
	// Scope is where metrics are made; nil for none.
	Scope tally.Scope
}

// poolSize bounds the orders and questions in flight.
const poolSize = 4096

// Core is one process of the core.
type Core struct {
	config  Config
	client  *wire.Client
	storage mill.Storage
	host    *group.Host
	machine *machine
	link    *Link
	table   table
	clocks  clocks
	outbox  *drive.Outbox[News]
	pool    *ants.Pool
	placer  mill.Placer
	runner  atomic.Pointer[lead.Runner]
	commits tally.Histogram
	ctx     context.Context
	// led is the term in which this process leads or begins to, and end ends its duty.
	led uint64
	end context.CancelFunc
	// told is the term whose leader was told of the workers.
	told uint64

	mu      sync.Mutex
	changed chan struct{}
	// seeds are the addresses of processes of the core that were told last.
	seeds   []string
	version atomic.Uint64
}

var _ mill.Control = (*Core)(nil)

// firstIdentity is the identity that a seed has from the first start on; the
// seeds know each other's, so that they can begin the group together.
func firstIdentity(address string) string {
	return "first@" + address
}

// New opens the data folder of a process that is not running yet.
func New(config Config) (*Core, error) {
	first := ""
	if config.First && slices.Contains(config.Seeds, config.Address) {
		first = firstIdentity(config.Address)
	}

	storage, err := openStorage(config, first)
	if err != nil {
		return nil, err
	}

	c := &Core{
		config:  config,
		client:  wire.NewClient(),
		storage: storage,
		machine: newMachine(),
		changed: make(chan struct{}),
		seeds:   config.Seeds,
		placer:  place.Pack{},
	}
	c.link = NewLink(c.client, config.Seeds, config.Address)
	c.commits = commitTimes(config.Scope)

	c.pool, err = ants.NewPool(poolSize, ants.WithNonblocking(true))

	return c, err
}

// commitTimes is how long entries take to be committed.
func commitTimes(scope tally.Scope) tally.Histogram {
	if scope == nil {
		scope = tally.NoopScope
	}

	return scope.Histogram("commit_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13))
}

// openStorage opens the data folder. At the first start a seed writes the
// membership that all seeds begin with.
func openStorage(config Config, first string) (*disk.File, error) {
	storage, err := disk.OpenWithIdentity(config.Folder, first)
	if err != nil || first == "" || storage.Identity() != first {
		return storage, err
	}

	servers := make([]raft.Server, 0, len(config.Seeds))
	for _, seed := range config.Seeds {
		servers = append(servers, raft.Server{VM: hostOf(seed), Identity: firstIdentity(seed), Address: seed})
	}

	began, err := raft.Bootstrap(storage, servers...)
	if err != nil {
		return nil, merry.Prepend(err, "begin the group")
	}

	log.Info().Bool("began", began).Strs("seeds", config.Seeds).Msg("first start")

	// What was written is read by opening the folder again.
	if err := storage.Close(); err != nil {
		return nil, err
	}

	return disk.OpenWithIdentity(config.Folder, first)
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}

	return host
}

// Run takes part in the group until the context ends or the storage fails.
func (c *Core) Run(ctx context.Context, listener net.Listener) error {
	behind, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	duties, behind := errgroup.WithContext(behind)
	c.ctx = behind

	if err := c.open(behind); err != nil {
		return err
	}

	server := &wire.Server{}
	c.register(server)

	duties.Go(func() error { return c.host.Run(behind) })
	duties.Go(func() error { return server.Serve(behind, listener) })
	duties.Go(func() error { return c.link.Run(behind) })
	duties.Go(func() error { return c.handOver(ctx, behind, stop) })

	log.Info().Str("vm", c.config.VM).Str("address", c.config.Address).Str("identity", c.storage.Identity()).
		Msg("core is running")

	err := duties.Wait()
	log.Info().Err(err).Str("vm", c.config.VM).Msg("core has stopped")

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
		Peers:   c.peers(c.seeds),
		Storage: c.storage,
		Client:  c.client,
		Method:  MethodDeliver,
		Seed:    rand.Uint64(),
		Machine: c.machine,
		Settled: c.settled,
	})
	if err != nil {
		return err
	}

	c.host = host
	c.outbox = drive.NewOutbox[News](ctx, c.client, MethodPassOn)

	return nil
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

// SetSeeds replaces the addresses of processes of the core. Settings may change while
// the data folder is still being read; the new seeds then hold from when it is open.
func (c *Core) SetSeeds(seeds []string) error {
	c.link.SetSeeds(seeds)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.seeds = seeds
	if c.host == nil {
		return nil
	}

	return c.host.SetPeers(c.peers(seeds))
}

// role returns what this process is to the group; nothing before the data folder is open.
func (c *Core) role() group.Role {
	c.mu.Lock()
	host := c.host
	c.mu.Unlock()

	if host == nil {
		return group.Role{}
	}

	return host.Role()
}

// handOverTime bounds the search for a successor at a planned stop.
const handOverTime = 1500 * time.Millisecond

// handOver waits for the planned stop, passes the lead on, and ends all duties.
func (c *Core) handOver(ctx, behind context.Context, stop func()) error {
	defer stop()

	select {
	case <-ctx.Done():
	case <-behind.Done():
		return nil
	}

	log.Info().Str("vm", c.config.VM).Msg("core is stopping")

	limit, cancel := context.WithTimeout(behind, handOverTime)
	defer cancel()

	if c.role().Leading {
		c.host.HandOver(limit)
	}

	return nil
}

// settled follows the role, tells a new leader of the workers and publishes the setup; it runs on the driver's goroutine.
func (c *Core) settled() {
	role := c.role()

	switch {
	case role.Leading && role.Current && c.led != role.Term:
		c.lead(role.Term)
	case !role.Leading && c.led != 0:
		c.retire("lost the lead")
	default:
	}

	if role.Leader.Address != "" && role.Term != c.told {
		c.told = role.Term
		c.tellAll()
	}

	if setup := c.machine.state.Setup(); setup != nil && setup.Version > c.version.Load() {
		c.version.Store(setup.Version)
		c.publish()
	}

	if runner := c.runner.Load(); runner != nil {
		runner.Wake()
	}
}

func (c *Core) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()

	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Core) changes() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changed
}

// lead begins a term in which all that earlier leaders have committed is known. It
// needs no proposal of its own: after a restart with a long log one could be refused.
func (c *Core) lead(term uint64) {
	c.retire("a new term")
	c.led = term

	ctx, cancel := context.WithCancel(c.ctx)
	c.end = cancel

	log.Info().Uint64("term", term).Str("vm", c.config.VM).Msg("leading")
	c.schedule(ctx, term, time.Now())
}

// schedule starts the scheduler of a term; it runs on the driver's goroutine.
func (c *Core) schedule(ctx context.Context, term uint64, began time.Time) {
	scheduler := lead.New(c.config.Bounds, term, began, c.machine.state, c.placer)
	runner := lead.NewRunner(ctx, scheduler, lead.Outside{
		Orders: c.config.Orders,

		Machines: c.config.Machines,
		Scope:    c.config.Scope,

		Advise:  c.advise,
		Propose: c.propose,
		View:    c.machine.view,
		Wall:    c.clocks.wallMilli,
		Pool:    c.pool,
	})

	for _, known := range c.table.all(time.Now()) {
		runner.Report(known.status, known.at)
	}

	c.runner.Store(runner)
	go runner.Run()
	go c.callHere(ctx, runner)

	log.Info().Uint64("term", term).Int("open", len(c.machine.state.OpenJobs())).
		Msg("scheduling")
}

// callHere has the runner know this process as an address to ask the advisor from.
func (c *Core) callHere(ctx context.Context, runner *lead.Runner) {
	for ctx.Err() == nil {
		runner.Caller(c.config.Address)
		drive.Pause(ctx, followWait)
	}
}

func (c *Core) retire(reason string) {
	c.runner.Store(nil)

	if c.end != nil {
		c.end()
		c.end = nil
	}

	if c.led != 0 {
		log.Info().Uint64("term", c.led).Str("reason", reason).Msg("not leading any more")
	}

	c.led = 0
}

// propose has commands committed as one entry, and calls done with their results.
func (c *Core) propose(commands []jobs.Command, done func(results []jobs.Result, err error)) {
	data, err := wire.Encode(&jobs.Batch{Commands: commands})
	if err != nil {
		done(nil, err)

		return
	}

	began := time.Now()

	c.host.Propose(data, func(err error) {
		c.commits.RecordDuration(time.Since(began))

		if err == nil && len(c.machine.results) != len(commands) {
			err = merry.Prepend(mill.ErrUnavailable, "the entry could not be applied", merry.NoCaptureStack())
		}

		done(c.machine.results, err)
	})
}

// commit has commands committed and waits for their results.
func (c *Core) commit(ctx context.Context, commands ...jobs.Command) ([]jobs.Result, error) {
	type outcome struct {
		results []jobs.Result
		err     error
	}

	reply := make(chan outcome, 1)

	c.propose(commands, func(results []jobs.Result, err error) { reply <- outcome{results: results, err: err} })

	select {
	case got := <-reply:
		return got.results, got.err
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

// advise asks the advisor from the address that the question names.
func (c *Core) advise(ctx context.Context, ask *lead.Ask) (*mill.Advice, error) {
	if ask.Caller == c.config.Address {
		return c.config.Advisor.Advise(ctx, ask.Step, ask.Workers)
	}

	reply, err := wire.Call[AdviseRequest, AdviseReply](ctx, c.client, ask.Caller, MethodAdvise, &AdviseRequest{
		Step:       ask.Step,
		Workers:    ask.Workers,
		LimitMilli: ask.Limit.Milliseconds(),
	})
	if err != nil {
		return nil, err
	}

	return &reply.Advice, nil
}
