package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 60)
}

const (
	deadline    = 60 * time.Millisecond
	lateDelay   = 100 * time.Millisecond
	normalDelay = 8 * time.Millisecond
	testSlots   = 2
)

// behavior is what the fake upstream does with a request.
type behavior int

const (
	answers behavior = iota
	answersLate
	closesUnread
	closesAfterRun
	closesInBody
	answersOtherRequest
	reportsNotRun
	behaviorCount
)

// fakeUpstream runs requests according to a script, and counts them.
type fakeUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	script   []behavior
	delay    time.Duration
	byID     map[string]int
	byKey    map[string]int
	busy     int
	peak     int
}

func newFakeUpstream(script []behavior) (*fakeUpstream, error) {
	var config net.ListenConfig

	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	u := &fakeUpstream{
		listener: listener,
		script:   script,
		delay:    normalDelay,
		byID:     make(map[string]int),
		byKey:    make(map[string]int),
	}

	go u.accept()

	return u, nil
}

func (u *fakeUpstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}

		go u.serve(c)
	}
}

func (u *fakeUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()

	reader := bufio.NewReader(c)

	for {
		request := &fasthttp.Request{}
		if err := request.Read(reader); err != nil {
			return
		}

		if !u.handle(c, request) {
			return
		}
	}
}

// handle executes the next behavior and reports whether the connection stays open.
func (u *fakeUpstream) handle(c net.Conn, request *fasthttp.Request) bool {
	id := string(request.Header.Peek(mill.HeaderRequestID))
	next := u.next()
	key := ""

	// A key on an idempotent request has no effect: the request may run again.
	if !idempotentMethod(string(request.Header.Method())) {
		key = string(request.Header.Peek(mill.HeaderIdempotencyKey))
	}

	switch next {
	case closesUnread:
		return false
	case reportsNotRun:
		return u.write(c, id, "not started", mill.HeaderOutcome+": "+string(mill.OutcomeNotRun)+"\r\n")
	default:
	}

	u.begin(id, key)

	if next == answersLate {
		time.Sleep(lateDelay)
	} else {
		time.Sleep(u.delay)
	}

	body := "answer to " + string(request.Body())

	// The request counts as completed before the response is sent.
	u.end()

	switch next {
	case closesAfterRun:
		return false
	case closesInBody:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+10, body)

		return false
	case answersOtherRequest:
		return u.write(c, "another", "answer to another", "")
	default:
		return u.write(c, id, body, "")
	}
}

func (u *fakeUpstream) write(c net.Conn, id, body, header string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s\r\n%s",
		len(body), mill.HeaderRequestID, id, header, body)

	return err == nil
}

func (u *fakeUpstream) next() behavior {
	u.mu.Lock()
	defer u.mu.Unlock()

	if len(u.script) == 0 {
		return answers
	}

	next := u.script[0]
	u.script = u.script[1:]

	return next
}

func (u *fakeUpstream) begin(id, key string) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.byID[id]++
	u.busy++
	u.peak = max(u.peak, u.busy)

	if key != "" {
		u.byKey[key]++
	}
}

func (u *fakeUpstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.busy--
}

func (u *fakeUpstream) runs(id, key string) (ofID, ofKey int) {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.byID[id], u.byKey[key]
}

// fault is what happens to a write to the fake ledger.
type fault int

const (
	commits fault = iota
	commitsSlowly
	losesReply
	losesCommand
	commitsTooLate
	faultCount
)

var errLost = errors.New("message lost")

// fakeLedger is a real ledger state behind calls that may be lost or delayed.
type fakeLedger struct {
	mu     sync.Mutex
	state  *ledger.State
	index  uint64
	script []fault
}

// Propose applies a command according to the next fault.
func (l *fakeLedger) Propose(ctx context.Context, _ string, command ledger.Command) (ledger.Result, error) {
	switch l.next() {
	case commitsSlowly:
		time.Sleep(deadline / 4)
	case losesReply:
		l.apply(&command)

		return ledger.Result{}, errLost
	case losesCommand:
		return ledger.Result{}, errLost
	case commitsTooLate:
		go func() {
			time.Sleep(2 * deadline)
			l.apply(&command)
		}()

		return ledger.Result{}, errLost
	default:
	}

	if ctx.Err() != nil {
		return ledger.Result{}, ctx.Err()
	}

	return l.apply(&command), nil
}

func (l *fakeLedger) apply(command *ledger.Command) ledger.Result {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.index++

	return l.state.Apply(l.index, command)
}

func (l *fakeLedger) next() fault {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.script) == 0 {
		return commits
	}

	next := l.script[0]
	l.script = l.script[1:]

	return next
}

// testCluster is two entries of a data centre with one upstream.
type testCluster struct {
	entries  []*Entry
	clients  []*fasthttp.Client
	upstream *fakeUpstream
	ledger   *fakeLedger
	close    func()
}

func newTestCluster(upstreamScript []behavior, ledgerScript []fault) (*testCluster, error) {
	upstream, err := newFakeUpstream(upstreamScript)
	if err != nil {
		return nil, err
	}

	c := &testCluster{upstream: upstream, ledger: &fakeLedger{state: newState(), script: ledgerScript}}

	var closers []func()

	for _, name := range []string{"vm1", "vm2"} {
		e, err := newTestEntry(name)
		if err != nil {
			return nil, err
		}

		listener := fasthttputil.NewInmemoryListener()
		server, _ := e.newServer()

		go func() { _ = server.Serve(listener) }()

		closers = append(closers, func() { _ = listener.Close() })
		c.entries = append(c.entries, e)
		c.clients = append(c.clients, &fasthttp.Client{
			Dial:                      func(string) (net.Conn, error) { return listener.Dial() },
			MaxIdemponentCallAttempts: 1,
		})
	}

	for _, e := range c.entries {
		e.intents = c.ledger
		e.incarnationOf = c.incarnationOf
		e.table.announce(mill.Announcement{
			ID: "u", Incarnation: 1, Service: "booking", Address: upstream.listener.Addr().String(),
			Slots: testSlots, Connections: 64,
		}, 0, time.Now())
	}

	c.close = func() {
		for _, closer := range closers {
			closer()
		}

		_ = upstream.listener.Close()
	}

	return c, nil
}

func newTestEntry(name string) (*Entry, error) {
	settings := conf.Default()
	settings.VM = name
	settings.Limits.LateAnswerMilli = 500
	settings.Limits.Workers = 64
	settings.SetClusterMap(&conf.Cluster{DataCentres: []conf.DataCentre{{Name: "dc", VMs: []conf.VM{
		{Name: "vm1", HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0"},
		{Name: "vm2", HTTP: "127.0.0.1:0", Entry: "127.0.0.1:0"},
	}}}})

	return New(settings)
}

// incarnationOf returns the incarnation of an entry unless it has been killed.
func (c *testCluster) incarnationOf(_ context.Context, vm conf.VM) (uint64, error) {
	for _, e := range c.entries {
		if e.vm.Name == vm.Name && e.ctx.Err() == nil {
			return e.incarnation, nil
		}
	}

	return 0, mill.ErrUnreachable
}

// kill stops all activity of an entry that the others can observe.
func (c *testCluster) kill(at int) {
	c.entries[at].stop()
}

// awaitIdle waits until late responses have arrived and been recorded.
func (c *testCluster) awaitIdle() {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()

	for _, e := range c.entries {
		e.awaitIdle(ctx)
	}
}

func newState() *ledger.State {
	return ledger.NewState()
}
