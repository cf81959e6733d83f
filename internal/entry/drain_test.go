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

// tellingUpstream answers after a while, and tells watchers an event at a time.
type tellingUpstream struct {
	delay time.Duration
}

// ServeHTTP answers a request or feeds a watcher until it goes.
func (u *tellingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// stopped is an entry on real sockets that is to be stopped as planned.
type stopped struct {
	entry    *Entry
	address  string
	stop     context.CancelFunc
	done     chan error
	upstream net.Listener
	server   *fasthttp.Server
}

func newStopped(delay time.Duration) (*stopped, error) {
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
		_ = (&http.Server{Handler: &tellingUpstream{delay: delay}, ReadHeaderTimeout: time.Minute}).Serve(upstreams)
	}()

	settings := conf.Default()
	settings.VM = "vm1"
	settings.Limits.NoticeMilli = 150
	settings.SetMap(&conf.Cluster{DataCentres: []conf.DataCentre{{Name: "dc", VMs: []conf.VM{
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

	ctx, cancel := context.WithCancel(context.Background())
	s := &stopped{
		entry: e, address: callers.Addr().String(), stop: cancel, done: make(chan error, 1), upstream: upstreams,
		server: e.newServer(),
	}

	go func() { _ = s.server.Serve(callers) }()
	go func() { s.done <- e.drainAfter(ctx, s.server) }()

	return s, nil
}

// request sends one request on a connection of its own and reports whether it
// was answered, and how.
func (s *stopped) request(key string) (string, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/booking/x", strings.NewReader(key))
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

// ready asks the entry what a balancer would before it sends a request there.
func (s *stopped) ready() bool {
	response, err := http.Get("http://" + s.address + "/readyz")
	if err != nil {
		return false
	}

	defer func() { _ = response.Body.Close() }()

	return response.StatusCode == http.StatusOK
}

// TestFuzzPlannedStop stops an entry while requests are at every stage, and
// expects each that a balancer would have sent there to be answered whole. What
// is sent after readiness has failed is not the entry's: its kernel may take a
// connection in the moment in which the listener is closed, and reset it.
func TestFuzzPlannedStop(t *testing.T) {
	seeds.SetChecks(t, 30)
	rapid.Check(t, func(t *rapid.T) {
		delay := time.Duration(rapid.SampledFrom([]int{0, 30, 300}).Draw(t, "delay")) * time.Millisecond
		starts := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 20).Draw(t, "starts")
		at := time.Duration(rapid.IntRange(0, 60).Draw(t, "stop")) * time.Millisecond

		s, err := newStopped(delay)
		assert.NilError(t, err)

		defer func() { _ = s.upstream.Close() }()

		var group sync.WaitGroup

		failures := make(chan string, len(starts))
		sent := atomic.Int64{}

		for i, start := range starts {
			group.Go(func() {
				time.Sleep(time.Duration(start) * time.Millisecond)

				if !s.ready() {
					return
				}

				sent.Add(1)

				key := fmt.Sprint("key", i)
				body, outcome, err := s.request(key)

				if err != nil || outcome != string(mill.OutcomeRan) || body != "answer to "+key {
					failures <- fmt.Sprintf("%s: %q %q %v", key, body, outcome, err)
				}
			})
		}

		time.Sleep(at)
		s.stop()
		assert.NilError(t, <-s.done)

		// The process ends now, so nothing may be open any more.
		assert.Assert(t, s.server.GetOpenConnectionsCount() <= 0)
		group.Wait()

		if slices.Min(starts) < int(at.Milliseconds())-20 && sent.Load() == 0 {
			t.Fatalf("nothing was sent before the stop")
		}

		select {
		case failure := <-failures:
			t.Fatalf("a request was cut: %s", failure)
		default:
		}
	})
}

func TestWatcherGetsLastEvent(t *testing.T) {
	s, err := newStopped(0)
	assert.NilError(t, err)

	defer func() { _ = s.upstream.Close() }()

	request, err := http.NewRequest(http.MethodGet, "http://"+s.address+"/booking/telemetry", nil)
	assert.NilError(t, err)
	request.Header.Set("Accept", eventStream)

	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)

	defer func() { _ = response.Body.Close() }()

	assert.Equal(t, response.Header.Get("Content-Type"), eventStream)
	assert.Equal(t, response.Header.Get(mill.HeaderOutcome), string(mill.OutcomeRan))

	lines := bufio.NewScanner(response.Body)
	last, event, resume := "", "", ""
	count := 0

	for lines.Scan() {
		line := lines.Text()

		switch {
		case strings.HasPrefix(line, "id: ") && event == "":
			last = line[len("id: "):]
			count++
		case strings.HasPrefix(line, "event: "):
			event = line[len("event: "):]
		case strings.HasPrefix(line, "data: {"):
			resume = line[len("data: "):]
		}

		if count == 5 && event == "" {
			count++

			s.stop()
		}
	}

	assert.NilError(t, lines.Err())
	assert.Equal(t, event, "mill-stop")
	assert.Equal(t, resume, `{"resume":"`+last+`"}`)
	assert.NilError(t, <-s.done)

	l, _ := s.entry.table.lane("booking")
	assert.Equal(t, l.upstreams[0].watchers, 0)
	assert.Equal(t, l.upstreams[0].busy, 0)
}
