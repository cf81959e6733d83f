package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/meter"
	"github.com/cranberrymill/cranberrymill/internal/route"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// intentLog commits commands to the ledger of a data centre.
type intentLog interface {
	Propose(ctx context.Context, home string, command ledger.Command) (ledger.Result, error)
}

// Entry is one process of the role.
type Entry struct {
	settings      *conf.Settings
	vm            conf.VM
	incarnation   uint64
	sequence      atomic.Uint64
	inFlight      atomic.Int64
	draining      atomic.Bool
	client        *wire.Client
	control       *ctrl.Watcher
	ledgers       *ledger.Client
	intents       intentLog
	incarnationOf func(ctx context.Context, vm conf.VM) (uint64, error)
	table         *table
	remote        *remote
	dispatchers   *ants.Pool
	recorders     *ants.Pool
	health        httpd.Health
	meter         *meter.Meter
	counters      counters
	calls         map[string]apiCall
	stopping      chan struct{}
	ctx           context.Context
	stop          context.CancelFunc
}

// New returns an entry that is not running yet.
func New(settings *conf.Settings) (*Entry, error) {
	vm, ok := settings.ClusterMap().Find(settings.VM)
	if !ok {
		return nil, merry.Prependf(mill.ErrInvalid, "vm %q: not in the cluster file", settings.VM)
	}

	e := &Entry{
		settings:    settings,
		vm:          vm,
		incarnation: uint64(time.Now().UnixNano()),
		client:      wire.NewClient(),
		meter:       meter.New("entry", vm.Name),
		remote:      newRemote(vm, settings.ClusterMap()),
		stopping:    make(chan struct{}),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.counters = newCounters(e.meter.Scope())
	e.health.SetMetrics(e.meter.Handler())
	e.control = ctrl.NewWatcher(e.client, settings.ClusterMap().Voters(vm))
	e.ledgers = ledger.NewClient(e.ctx, e.client, e.control, settings.ClusterMap().Stores())
	e.intents = e.ledgers
	e.incarnationOf = e.askIncarnation
	e.table = e.newTable()
	e.calls = e.newCalls()

	return e, e.openPools()
}

// Run serves until the context ends, then drains what is in flight.
func (e *Entry) Run(ctx context.Context) error {
	defer e.stop()

	callers, err := httpd.Listen(ctx, "vms."+e.vm.Name+".http", e.vm.HTTP)
	if err != nil {
		return err
	}

	peers, err := httpd.Listen(ctx, "vms."+e.vm.Name+".entry", e.vm.Entry)
	if err != nil {
		return err
	}

	server := e.newServer()

	// A duty that fails stops the entry as planned.
	duties, ctx := errgroup.WithContext(ctx)

	duties.Go(func() error { return e.control.Run(e.ctx) })
	duties.Go(func() error { return e.runGossip(e.ctx) })
	duties.Go(func() error { return e.runPresets(e.ctx) })
	duties.Go(func() error { return e.newPeerServer().Serve(e.ctx, peers) })
	duties.Go(func() error { return server.Serve(callers) })
	duties.Go(func() error { return e.drainAfter(ctx, server) })

	e.health.SetReady(true)
	log.Info().Str("vm", e.vm.Name).Str("http", e.vm.HTTP).Msg("entry is serving")

	return duties.Wait()
}

// drainAfter waits for the planned stop, lets the balancer see it, and lets
// every request in flight end.
func (e *Entry) drainAfter(ctx context.Context, server *fasthttp.Server) error {
	<-ctx.Done()
	e.health.SetReady(false)
	e.draining.Store(true)
	time.Sleep(e.settings.Limits.ShutdownNotice())
	close(e.stopping)

	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.settings.Limits.Drain())
	defer cancel()

	err := server.ShutdownWithContext(limit)

	e.awaitIdle(limit)
	e.stop()

	if err != nil {
		return merry.Prepend(err, "drain")
	}

	return nil
}

func (e *Entry) awaitIdle(ctx context.Context) {
	for e.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPause)
	}
}

const drainPause = 10 * time.Millisecond

func (e *Entry) openPools() error {
	var err error

	e.dispatchers, err = ants.NewPool(e.settings.Limits.Workers, ants.WithNonblocking(true))
	if err != nil {
		return err
	}

	e.recorders, err = ants.NewPool(e.settings.Limits.Workers)

	return err
}

func (e *Entry) newTable() *table {
	peers := e.settings.ClusterMap().In(e.vm.DataCentre())
	position := 0

	for i := range peers {
		if peers[i].Name == e.vm.Name {
			position = i
		}
	}

	newRouter := func() mill.Router { return &route.LeastWait{} }

	return newTable(position, len(peers), newRouter, e.ringCapacity)
}

// ringCapacity returns how many requests of a service may wait for a slot.
func (e *Entry) ringCapacity(service string) int {
	declared, ok := e.control.View().Declarations.FindService(service)
	if ok && declared.RingCapacity > 0 {
		return declared.RingCapacity
	}

	return e.settings.Limits.RingCapacity
}

func (e *Entry) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       e.handle,
		ErrorHandler:                  e.refuseMalformed,
		StreamRequestBody:             true,
		DisableHeaderNamesNormalizing: true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		CloseOnShutdown:               true,
		Logger:                        silentLogger{},
	}
}

// silentLogger drops what fasthttp says of broken connections.
type silentLogger struct{}

// Printf drops a line.
func (silentLogger) Printf(string, ...any) {}

func (e *Entry) newPeerServer() *wire.Server {
	server := &wire.Server{}
	wire.Handle(server, MethodGossip, e.takeGossip)
	wire.Handle(server, MethodSummary, e.takeSummary)
	wire.Handle(server, MethodDispatch, e.takeDispatch)
	wire.Handle(server, MethodAlive, e.answerAlive)

	return server
}

// runPresets puts the router of the preset in force to work.
func (e *Entry) runPresets(ctx context.Context) error {
	inForce := ""

	for ctx.Err() == nil {
		changed := e.control.Changed()
		preset := e.control.View().ActivePreset()

		if preset.Router != "" && preset.Router != inForce {
			inForce = preset.Router
			e.useRouter(preset.Router)
		}

		select {
		case <-changed:
		case <-ctx.Done():
		}
	}

	return nil
}

func (e *Entry) useRouter(name string) {
	newRouter, err := mill.Routers.Find(name)
	if err != nil {
		log.Error().Err(err).Msg("preset names an unknown router")

		return
	}

	e.table.setRouter(newRouter)
	log.Info().Str("router", name).Msg("router is in force")
}
