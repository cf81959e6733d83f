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
	announceInterval = time.Second
	callTimeout      = 2 * time.Second
	jitterDivisor    = 4
)

// UpstreamConfig configures the simulated upstreams.
type UpstreamConfig struct {
	Entries        string
	IDPrefix       string
	Service        string
	DataCentre     string
	Count          int
	RackSize       int
	Slots          int
	Connections    int
	MeanAnswerTime time.Duration
	RunsPath       string
	SlotsPath      string
}

// Upstreams simulates the executors of one service in one data centre.
type Upstreams struct {
	config    UpstreamConfig
	balancer  *balancer
	mu        sync.Mutex
	runs      map[string]int
	executors []*executor
}

// executor is one simulated upstream.
type executor struct {
	owner        *Upstreams
	announcement mill.Announcement
	busy         int
	peak         int
	served       int
	listener     net.Listener
}

// NewUpstreams returns upstreams that start to serve in Run.
func NewUpstreams(config UpstreamConfig) *Upstreams {
	return &Upstreams{
		config:   config,
		balancer: newBalancer(config.Entries),
		runs:     make(map[string]int),
	}
}

// Run serves until the context ends, then deregisters the upstreams and writes the records.
func (u *Upstreams) Run(ctx context.Context) error {
	var group errgroup.Group

	for i := range u.config.Count {
		e, err := u.listen(ctx, i)
		if err != nil {
			return err
		}

		u.executors = append(u.executors, e)
		server := &fasthttp.Server{
			Handler:                       e.handle,
			NoDefaultServerHeader:         true,
			CloseOnShutdown:               true,
			DisableHeaderNamesNormalizing: true,
		}

		group.Go(func() error { return server.Serve(e.listener) })
		group.Go(func() error { return e.announce(ctx, server) })
	}

	if err := group.Wait(); err != nil {
		return err
	}

	return u.saveRecords()
}

func (u *Upstreams) listen(ctx context.Context, index int) (*executor, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	return &executor{
		owner:    u,
		listener: listener,
		announcement: mill.Announcement{
			ID:          fmt.Sprintf("%s-%s-%d", u.config.IDPrefix, u.config.Service, index),
			Incarnation: uint64(time.Now().UnixNano()),
			Service:     u.config.Service,
			DataCentre:  u.config.DataCentre,
			Rack:        fmt.Sprintf("%s-rack-%d", u.config.DataCentre, index/u.config.RackSize),
			Address:     listener.Addr().String(),
			Slots:       u.config.Slots,
			Connections: u.config.Connections,
		},
	}, nil
}

func (u *Upstreams) saveRecords() error {
	u.mu.Lock()
	defer u.mu.Unlock()

	runs := make([]RunRecord, 0, len(u.runs))
	for id, count := range u.runs {
		runs = append(runs, RunRecord{ID: id, Runs: count})
	}

	slots := make([]SlotRecord, 0, len(u.executors))
	for _, e := range u.executors {
		slots = append(slots, SlotRecord{Upstream: e.announcement.ID, Slots: e.announcement.Slots, Peak: e.peak, Served: e.served})
	}

	if err := writeRecords(u.config.RunsPath, runs); err != nil {
		return err
	}

	return writeRecords(u.config.SlotsPath, slots)
}

// handle counts the request, waits for the simulated answer time and answers.
func (e *executor) handle(ctx *fasthttp.RequestCtx) {
	e.recordStart(requestKey(&ctx.Request.Header))
	defer e.recordEnd()

	time.Sleep(e.answerTime())

	ctx.Response.Header.SetBytesV(mill.HeaderRequestID, ctx.Request.Header.Peek(mill.HeaderRequestID))
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(e.announcement.ID + "\n")
}

// requestKey returns the idempotency key of a keyed request, or else the request id.
func requestKey(header *fasthttp.RequestHeader) string {
	if key := header.Peek(mill.HeaderIdempotencyKey); len(key) > 0 {
		return string(key)
	}

	return string(header.Peek(mill.HeaderRequestID))
}

// answerTime returns a random time around the configured mean.
func (e *executor) answerTime() time.Duration {
	mean := e.owner.config.MeanAnswerTime
	jitter := mean / jitterDivisor

	if jitter <= 0 {
		return mean
	}

	return mean - jitter + rand.N(2*jitter)
}

func (e *executor) recordStart(id string) {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()

	e.owner.runs[id]++
	e.served++
	e.busy++
	e.peak = max(e.peak, e.busy)
}

func (e *executor) recordEnd() {
	e.owner.mu.Lock()
	defer e.owner.mu.Unlock()

	e.busy--
}

// announce sends an announcement to an entry each second, and deregisters the
// upstream when the context ends.
func (e *executor) announce(ctx context.Context, server *fasthttp.Server) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()

	for {
		e.sendAnnouncement()

		select {
		case <-ticker.C:
		case <-ctx.Done():
			e.deregister()

			return server.Shutdown()
		}
	}
}

func (e *executor) sendAnnouncement() {
	body, err := json.Marshal(&e.announcement)
	if err != nil {
		return
	}

	// If an entry does not answer, the next one is called.
	for range e.owner.balancer.entries {
		status, _ := call(e.owner.balancer.pick(), fasthttp.MethodPost, "/v1/upstreams", body)
		if status == fasthttp.StatusOK {
			return
		}
	}
}

func (e *executor) deregister() {
	path := fmt.Sprintf("/v1/upstreams/%s?incarnation=%d", e.announcement.ID, e.announcement.Incarnation)

	for range e.owner.balancer.entries {
		status, _ := call(e.owner.balancer.pick(), fasthttp.MethodDelete, path, nil)
		if status == fasthttp.StatusOK {
			return
		}
	}
}

// call sends a request to an entry and returns status 0 if the entry did not answer.
func call(entry, method, path string, body []byte) (int, []byte) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)

	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	request.SetRequestURI("http://" + entry + path)
	request.Header.SetMethod(method)
	request.SetBody(body)

	if err := fasthttp.DoTimeout(request, response, callTimeout); err != nil {
		return 0, nil
	}

	return response.StatusCode(), append([]byte(nil), response.Body()...)
}
