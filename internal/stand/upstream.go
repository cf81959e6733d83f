package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	announceTime = time.Second
	callTime     = 2 * time.Second
	jitterPart   = 4
)

// UpstreamConfig tells what upstreams to play.
type UpstreamConfig struct {
	Entries    string
	Prefix     string
	Service    string
	DataCentre string
	Count      int
	RackSize   int
	Slots      int
	Connects   int
	Answer     time.Duration
	Runs       string
	Loads      string
}

// Upstreams plays the executors of one service in one data centre.
type Upstreams struct {
	config   UpstreamConfig
	balancer *balancer
	mu       sync.Mutex
	runs     map[string]int
	members  []*executor
}

// executor is one upstream.
type executor struct {
	owner   *Upstreams
	told    mill.Announcement
	busy    int
	peak    int
	served  int
	address net.Listener
}

// NewUpstreams returns upstreams that are not running yet.
func NewUpstreams(config UpstreamConfig) *Upstreams {
	return &Upstreams{
		config:   config,
		balancer: newBalancer(config.Entries),
		runs:     make(map[string]int),
	}
}

// Run serves until the context ends, then leaves and writes the records.
func (u *Upstreams) Run(ctx context.Context) error {
	var group errgroup.Group

	for i := range u.config.Count {
		e, err := u.open(ctx, i)
		if err != nil {
			return err
		}

		u.members = append(u.members, e)
		server := &fasthttp.Server{
			Handler:                       e.handle,
			NoDefaultServerHeader:         true,
			CloseOnShutdown:               true,
			DisableHeaderNamesNormalizing: true,
		}

		group.Go(func() error { return server.Serve(e.address) })
		group.Go(func() error { return e.announce(ctx, server) })
	}

	if err := group.Wait(); err != nil {
		return err
	}

	return u.write()
}

func (u *Upstreams) open(ctx context.Context, at int) (*executor, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	return &executor{
		owner:   u,
		address: listener,
		told: mill.Announcement{
			ID:          fmt.Sprintf("%s-%s-%d", u.config.Prefix, u.config.Service, at),
			Incarnation: uint64(time.Now().UnixNano()),
			Service:     u.config.Service,
			DataCentre:  u.config.DataCentre,
			Rack:        fmt.Sprintf("%s-rack-%d", u.config.DataCentre, at/u.config.RackSize),
			Address:     listener.Addr().String(),
			Slots:       u.config.Slots,
			Connections: u.config.Connects,
		},
	}, nil
}

func (u *Upstreams) write() error {
	u.mu.Lock()
	defer u.mu.Unlock()

	runs := make([]RunRecord, 0, len(u.runs))
	for id, count := range u.runs {
		runs = append(runs, RunRecord{ID: id, Runs: count})
	}

	loads := make([]LoadRecord, 0, len(u.members))
	for _, e := range u.members {
		loads = append(loads, LoadRecord{Upstream: e.told.ID, Slots: e.told.Slots, Peak: e.peak, Served: e.served})
	}

	if err := writeRecords(u.config.Runs, runs); err != nil {
		return err
	}

	return writeRecords(u.config.Loads, loads)
}

// handle runs one request: it counts it, takes its time and answers.
func (e *executor) handle(ctx *fasthttp.RequestCtx) {
	e.begin(identity(&ctx.Request.Header))
	defer e.end()

	time.Sleep(e.answerTime())

	ctx.Response.Header.SetBytesV(mill.HeaderRequestID, ctx.Request.Header.Peek(mill.HeaderRequestID))
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(e.told.ID + "\n")
}

// identity is the caller's key for a keyed request, else the id of the request.
func identity(header *fasthttp.RequestHeader) string {
	if key := header.Peek(mill.HeaderIdempotencyKey); len(key) > 0 {
		return string(key)
	}

	return string(header.Peek(mill.HeaderRequestID))
}

func (e *executor) answerTime() time.Duration {
	mean := e.owner.config.Answer
	spread := mean / jitterPart

	if spread <= 0 {
		return mean
	}

	return mean - spread + rand.N(2*spread)
}

func (e *executor) begin(id string) {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()

	e.owner.runs[id]++
	e.served++
	e.busy++
	e.peak = max(e.peak, e.busy)
}

func (e *executor) end() {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()

	e.busy--
}

// announce tells an entry each second that the upstream is there, and at the
// end that it leaves.
func (e *executor) announce(ctx context.Context, server *fasthttp.Server) error {
	clock := time.NewTicker(announceTime)
	defer clock.Stop()

	for {
		e.tell()

		select {
		case <-clock.C:
		case <-ctx.Done():
			e.leave()

			return server.Shutdown()
		}
	}
}

func (e *executor) tell() {
	body, err := json.Marshal(&e.told)
	if err != nil {
		return
	}

	// An entry that does not answer is passed over: the next one is asked.
	for range e.owner.balancer.entries {
		status, _ := call(e.owner.balancer.pick(), fasthttp.MethodPost, "/v1/upstreams", body)
		if status == fasthttp.StatusOK {
			return
		}
	}
}

func (e *executor) leave() {
	path := fmt.Sprintf("/v1/upstreams/%s?incarnation=%d", e.told.ID, e.told.Incarnation)

	for range e.owner.balancer.entries {
		status, _ := call(e.owner.balancer.pick(), fasthttp.MethodDelete, path, nil)
		if status == fasthttp.StatusOK {
			return
		}
	}
}

// call sends a request to an entry and returns status 0 when none answered.
func call(entry, method, path string, body []byte) (int, []byte) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)

	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	request.SetRequestURI("http://" + entry + path)
	request.Header.SetMethod(method)
	request.SetBody(body)

	if err := fasthttp.DoTimeout(request, response, callTime); err != nil {
		return 0, nil
	}

	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
