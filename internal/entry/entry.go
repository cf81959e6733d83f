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
	"github.com/cranberrymill/cranberrymill/internal/intake"
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

// Entry is an entry process.
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
	remote        *remoteServices
	dispatchPool  *ants.Pool
	recordPool    *ants.Pool
	gate          *intake.Gate
	health        httpd.Health
	meter         *meter.Meter
	metrics       metrics
	apiHandlers   map[string]apiHandler
	stopping      chan struct{}
	ctx           context.Context
	stop          context.CancelFunc
}

// New returns an entry, which Run starts.
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
		remote:      newRemoteServices(vm, settings.ClusterMap()),
		stopping:    make(chan struct{}),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.metrics = newMetrics(e.meter.Scope())
	e.gate = newGate(settings, e.meter.Scope())
	e.health.SetMetrics(e.meter.Handler())
	e.control = ctrl.NewWatcher(e.client, settings.ClusterMap().Voters(vm))
	e.ledgers = ledger.NewClient(e.ctx, e.client, e.control, settings.ClusterMap().Stores())
	e.intents = e.ledgers
	e.incarnationOf = e.fetchIncarnation
	e.table = e.newTable()
	e.apiHandlers = e.newAPIHandlers()

	return e, e.openPools()
}

// Run serves until the context ends, then drains the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	defer e.stop()

	callerListener, err := httpd.Listen(ctx, "vms."+e.vm.Name+".http", e.vm.HTTP)
	if err != nil {
		return err
	}

	peerListener, err := httpd.Listen(ctx, "vms."+e.vm.Name+".entry", e.vm.Entry)
	if err != nil {
		return err
	}

	server, port := e.newServer()

	// A task that fails triggers a planned stop.
	tasks, ctx := errgroup.WithContext(ctx)

	tasks.Go(func() error { return e.control.Run(e.ctx) })
	tasks.Go(func() error { return e.runGossip(e.ctx) })
	tasks.Go(func() error { return e.followPreset(e.ctx) })
	tasks.Go(func() error { return e.newPeerServer().Serve(e.ctx, peerListener) })
	tasks.Go(func() error { return server.Serve(port.Listen(callerListener)) })
	tasks.Go(func() error { return e.gate.Run(e.ctx) })
	tasks.Go(func() error { return e.drainAfter(ctx, server) })

	e.health.SetReady(true)
	log.Info().Str("vm", e.vm.Name).Str("http", e.vm.HTTP).Msg("entry started")

	return tasks.Wait()
}

// drainAfter waits until ctx ends, which is a planned stop. It then reports not ready for as long as
// the load balancer needs to see it, and waits for the requests in flight to complete.
func (e *Entry) drainAfter(ctx context.Context, server *fasthttp.Server) error {
	<-ctx.Done()
	e.health.SetReady(false)
	e.draining.Store(true)
	time.Sleep(e.settings.Limits.ShutdownNotice())
	close(e.stopping)

	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.settings.Limits.Drain())
	defer cancel()

	err := server.ShutdownWithContext(drainCtx)

	e.awaitIdle(drainCtx)
	e.stop()

	if err != nil {
		return merry.Prepend(err, "could not drain the HTTP server")
	}

	return nil
}

func (e *Entry) awaitIdle(ctx context.Context) {
	for e.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(idlePollInterval)
	}
}

const idlePollInterval = 10 * time.Millisecond

func (e *Entry) openPools() error {
	var err error

	e.dispatchPool, err = ants.NewPool(e.settings.Limits.Workers, ants.WithNonblocking(true))
	if err != nil {
		return err
	}

	e.recordPool, err = ants.NewPool(e.settings.Limits.Workers)

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

// ringCapacity returns the number of requests for a service that may wait for a slot.
func (e *Entry) ringCapacity(service string) int {
	declared, ok := e.control.View().Declarations.FindService(service)
	if ok && declared.RingCapacity > 0 {
		return declared.RingCapacity
	}

	return e.settings.Limits.RingCapacity
}

// newServer returns the server for callers, and the port by which it takes in requests.
func (e *Entry) newServer() (*fasthttp.Server, *intake.Port) {
	server := &fasthttp.Server{
		Handler:                       httpd.Recover(e.handle),
		ErrorHandler:                  e.rejectMalformed,
		DisableHeaderNamesNormalizing: true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		CloseOnShutdown:               true,
		Logger:                        discardLogger{},
	}
	port := intake.NewPort(e.gate, server, intake.PortConfig{
		MaxHeaderBytes: maxHeaderBytes, Limits: e.intakeLimits, Cost: intakeCost, Answer: e.rejectRequest,
	})

	return server, port
}

// discardLogger drops the messages that fasthttp logs about broken connections.
type discardLogger struct{}

// Printf drops the message.
func (discardLogger) Printf(string, ...any) {}

func (e *Entry) newPeerServer() *wire.Server {
	server := &wire.Server{}
	wire.Handle(server, MethodGossip, e.handleGossip)
	wire.Handle(server, MethodSummary, e.handleSummary)
	wire.Handle(server, MethodDispatch, e.handleDispatch)
	wire.Handle(server, MethodAlive, e.handleAlive)

	return server
}

// followPreset applies the router of the active preset whenever that changes.
func (e *Entry) followPreset(ctx context.Context) error {
	current := ""

	for ctx.Err() == nil {
		changed := e.control.Changed()
		preset := e.control.View().ActivePreset()

		if preset.Router != "" && preset.Router != current {
			current = preset.Router
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
	log.Info().Str("router", name).Msg("router changed")
}
