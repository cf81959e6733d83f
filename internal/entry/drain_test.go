package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// streamingUpstream responds after a delay, and sends watchers a stream of events.
type streamingUpstream struct {
	delay time.Duration
}

// ServeHTTP responds to a request, or sends a watcher events until it disconnects.
func (u *streamingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("Accept"), eventStream) {
		time.Sleep(u.delay)

		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "answer to %s", body)

		return
	}

	w.Header().Set("Content-Type", eventStream)

	for i := 1; r.Context().Err() == nil; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: reading %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()

		time.Sleep(5 * time.Millisecond)
	}
}

// drainingEntry is an entry on real sockets that a test stops as planned.
type drainingEntry struct {
	entry    *Entry
	address  string
	stop     context.CancelFunc
	done     chan error
	upstream net.Listener
	server   *fasthttp.Server
}

func newDrainingEntry(delay time.Duration) (*drainingEntry, error) {
	var config net.ListenConfig

	callers, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	upstreams, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	go func() {
		_ = (&http.Server{Handler: &streamingUpstream{delay: delay}, ReadHeaderTimeout: time.Minute}).Serve(upstreams)
	}()

	settings := conf.Default()
	settings.VM = "vm1"
	settings.Limits.NoticeMilli = 150
	settings.SetClusterMap(&conf.Cluster{DataCentres: []conf.DataCentre{{Name: "dc", VMs: []conf.VM{
		{Name: "vm1", HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0"},
	}}}})

	e, err := New(settings)
	if err != nil {
		return nil, err
	}

	e.intents = &fakeLedger{state: newState()}
	e.health.SetReady(true)
	e.table.announce(mill.Announcement{
		ID: "u", Incarnation: 1, Service: "booking", Address: upstreams.Addr().String(), Slots: 8, Connections: 64,
	}, 0, time.Now())

	server, port := e.newServer()
	ctx, cancel := context.WithCancel(context.Background())
	d := &drainingEntry{
		entry: e, address: callers.Addr().String(), stop: cancel, done: make(chan error, 1), upstream: upstreams,
		server: server,
	}

	go func() { _ = d.server.Serve(port.Listen(callers)) }()
	go func() { d.done <- e.drainAfter(ctx, d.server) }()

	return d, nil
}

// request sends a request on its own connection and returns the response's body and outcome.
func (d *drainingEntry) request(key string) (string, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.address+"/booking/x", strings.NewReader(key))
	if err != nil {
		return "", "", err
	}

	request.Header.Set(mill.HeaderIdempotencyKey, key)

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	response, err := client.Do(request)
	if err != nil {
		return "", "", err
	}

	defer func() { _ = response.Body.Close() }()

	body, err := io.ReadAll(response.Body)

	return string(body), response.Header.Get(mill.HeaderOutcome), err
}

// ready checks the entry's readiness as a load balancer does before it sends a request there.
func (d *drainingEntry) ready() bool {
	response, err := http.Get("http://" + d.address + "/readyz")
	if err != nil {
		return false
	}

	defer func() { _ = response.Body.Close() }()

	return response.StatusCode == http.StatusOK
}

// TestFuzzPlannedStop stops an entry while requests are at every stage, and checks that each request
// that a load balancer would have sent there gets a complete response. Requests sent after readiness
// has failed are not checked: the kernel may accept a connection just as the listener is closed, and
// reset it.
func TestFuzzPlannedStop(t *testing.T) {
	seeds.SetChecks(t, 30)
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.SampledFrom([]int{0, 30, 300}).Draw(t, "delay")) * time.Millisecond
		starts := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 20).Draw(t, "starts")
		stopAfter := time.Duration(rapid.IntRange(0, 60).Draw(t, "stop")) * time.Millisecond

		d, err := newDrainingEntry(delay)
		assert.NilError(t, err)

		defer func() { _ = d.upstream.Close() }()

		var group sync.WaitGroup

		failures := make(chan string, len(starts))
		sent := atomic.Int64{}

		for i, start := range starts {
			group.Go(func() {
				time.Sleep(time.Duration(start) * time.Millisecond)

				if !d.ready() {
					return
				}

				sent.Add(1)

				key := fmt.Sprint("key", i)
				body, outcome, err := d.request(key)

				if err != nil || outcome != string(mill.OutcomeRan) || body != "answer to "+key {
					failures <- fmt.Sprintf("%s: %q %q %v", key, body, outcome, err)
				}
			})
		}

		time.Sleep(stopAfter)

		// On a busy machine the first request may be late.
		for waited := 0; slices.Min(starts) < int(stopAfter.Milliseconds())-20 && sent.Load() == 0 && waited < 10000; waited++ {
			time.Sleep(time.Millisecond)
		}

		d.stop()
		assert.NilError(t, <-d.done)

		// The process would now exit, so no connection may be open.
		assert.Assert(t, d.server.GetOpenConnectionsCount() <= 0)
		group.Wait()

		if slices.Min(starts) < int(stopAfter.Milliseconds())-20 && sent.Load() == 0 {
			t.Fatalf("no request was sent before the stop")
		}

		select {
		case failure := <-failures:
			t.Fatalf("a request did not get its complete response: %s", failure)
		default:
		}
	})
}

// TestWatcherGetsLastEvent checks that a planned stop ends a watcher's stream with an event that names
// the last event id, and releases the connection.
func TestWatcherGetsLastEvent(t *testing.T) {
	d, err := newDrainingEntry(0)
	assert.NilError(t, err)

	defer func() { _ = d.upstream.Close() }()

	request, err := http.NewRequest(http.MethodGet, "http://"+d.address+"/booking/telemetry", nil)
	assert.NilError(t, err)
	request.Header.Set("Accept", eventStream)

	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)

	defer func() { _ = response.Body.Close() }()

	assert.Equal(t, response.Header.Get("Content-Type"), eventStream)
	assert.Equal(t, response.Header.Get(mill.HeaderOutcome), string(mill.OutcomeRan))

	lines := bufio.NewScanner(response.Body)
	lastID, event, resume := "", "", ""
	count := 0

	for lines.Scan() {
		line := lines.Text()

		switch {
		case strings.HasPrefix(line, "id: ") && event == "":
			lastID = line[len("id: "):]
			count++
		case strings.HasPrefix(line, "event: "):
			event = line[len("event: "):]
		case strings.HasPrefix(line, "data: {"):
			resume = line[len("data: "):]
		}

		if count == 5 && event == "" {
			count++

			d.stop()
		}
	}

	assert.NilError(t, lines.Err())
	assert.Equal(t, event, "mill-stop")
	assert.Equal(t, resume, `{"resume":"`+lastID+`"}`)
	assert.NilError(t, <-d.done)

	pool, _ := d.entry.table.pool("booking")
	assert.Equal(t, pool.upstreams[0].watchers, 0)
	assert.Equal(t, pool.upstreams[0].busy, 0)
}
