package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

var testLimits = Limits{HeaderBytes: 1000, BodyBytes: 20_000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}

// newTestPort serves a handler through a gate and returns the address. The gate's clock stands still.
func newTestPort(t *testing.T, memory int64, handler fasthttp.RequestHandler) (*Gate, string) {
	t.Helper()

	gate := NewGate(&Config{MemoryBytes: memory, MaxDescriptors: 1, HeaderBytes: testLimits.HeaderBytes})
	server := &fasthttp.Server{Handler: handler}
	port := NewPort(gate, server, PortConfig{
		MaxHeaderBytes: testLimits.HeaderBytes, Limits: func() Limits { return testLimits }, Cost: DocumentCost,
	})

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	go func() { _ = server.Serve(port.Listen(inner)) }()

	t.Cleanup(func() { assert.NilError(t, server.Shutdown()) })

	return gate, inner.Addr().String()
}

// ask sends a request on a connection of its own and returns the response's status and header, and whether the
// connection is closed.
func ask(t *testing.T, address, text string) (status int, header http.Header, closed bool) {
	t.Helper()

	conn := open(t, address, text)

	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)

	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())

	return response.StatusCode, response.Header, response.Close
}

func open(t *testing.T, address, text string) net.Conn {
	t.Helper()

	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })

	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)

	return conn
}

func post(headers, body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body
}

func announced(size int) string {
	return post("Content-Length: "+strconv.Itoa(size)+"\r\n", strings.Repeat("x", size))
}

func inChunks(size int) string {
	return post("Transfer-Encoding: chunked\r\n",
		strconv.FormatInt(int64(size), 16)+"\r\n"+strings.Repeat("x", size)+"\r\n0\r\n\r\n")
}

// TestRequestsAtTheLimits guards against requests within the limits that are refused, requests beyond them that are
// handed on, and bytes that stay reserved.
func TestRequestsAtTheLimits(t *testing.T) {
	largest := testLimits.BodyBytes

	for name, test := range map[string]struct {
		request string
		memory  int64
		status  int
	}{
		"small":             {request: announced(10), memory: 1, status: fasthttp.StatusOK},
		"announced":         {request: announced(largest), status: fasthttp.StatusOK},
		"chunked":           {request: inChunks(largest), status: fasthttp.StatusOK},
		"announced too far": {request: announced(largest + 1), status: fasthttp.StatusRequestEntityTooLarge},
		"chunked too far":   {request: inChunks(largest + 1), status: fasthttp.StatusRequestEntityTooLarge},
		"only announced": {
			request: post("Expect: 100-continue\r\nContent-Length: 20001\r\n", ""), status: fasthttp.StatusRequestEntityTooLarge,
		},
		"never fits":   {request: announced(largest), memory: 1, status: fasthttp.StatusRequestEntityTooLarge},
		"no room left": {request: announced(largest), memory: 200_000, status: fasthttp.StatusServiceUnavailable},
		"wide": {
			request: post("Content-Length: 20000\r\n", "["+strings.Repeat("0,", 9999)+"]"), memory: 1 << 20,
			status: fasthttp.StatusRequestEntityTooLarge,
		},
		"header":         {request: post("X-A: "+strings.Repeat("x", 950)+"\r\n", ""), status: fasthttp.StatusOK},
		"large header":   {request: post("X-A: "+strings.Repeat("x", 1000)+"\r\n", ""), status: 431},
		"endless header": {request: post("X-A: "+strings.Repeat("x", 5000), ""), status: 431},
	} {
		t.Run(name, func(t *testing.T) {
			served := false
			gate, address := newTestPort(t, test.memory, func(ctx *fasthttp.RequestCtx) {
				served = true

				ctx.SetBodyString(strconv.Itoa(len(ctx.PostBody())))
			})

			// In the case without room, all but a few bytes are taken.
			if test.status == fasthttp.StatusServiceUnavailable {
				assert.Assert(t, gate.budget.Reserve(gate.budget.limit-100))
			}

			before := gate.budget.Used()
			status, header, closed := ask(t, address, test.request)
			assert.Equal(t, status, test.status)
			assert.Equal(t, served, test.status == fasthttp.StatusOK)
			assert.Equal(t, header.Get(fasthttp.HeaderRetryAfter) != "", test.status == fasthttp.StatusServiceUnavailable)
			assert.Equal(t, closed, test.status != fasthttp.StatusOK)

			for gate.budget.Used() != before {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestLateClientsLoseTheirPlaces guards against clients that hold a place without an end, and against closed connections
// of clients whose requests are being served.
func TestLateClientsLoseTheirPlaces(t *testing.T) {
	answer := make(chan struct{})
	gate, address := newTestPort(t, 0, func(ctx *fasthttp.RequestCtx) {
		<-answer
		ctx.SetBodyString("done")
	})

	served := open(t, address, announced(10))
	for _, part := range []string{"", "POST / HT", post("Content-Length: 20000\r\n", "half")} {
		open(t, address, part)
	}

	phases := func() (list [phaseDetached]int) {
		gate.mu.Lock()
		defer gate.mu.Unlock()

		for _, c := range gate.conns {
			list[c.current()]++
		}

		return list
	}

	for phases() != [...]int{phaseIdle: 1, phaseHeader: 1, phaseBody: 1, phaseServed: 1, phaseAnswer: 0} {
		time.Sleep(time.Millisecond)
	}

	pass := func(duration time.Duration) {
		gate.ticks.Add(int64(duration / tickInterval))
		gate.tick()
	}

	pass(testLimits.HeaderTimeout + 2*tickInterval)
	assert.Equal(t, phases()[phaseHeader], 0)
	assert.Equal(t, phases()[phaseBody], 1)
	pass(transferTimeout(20_000))
	assert.Equal(t, phases()[phaseBody], 0)
	assert.Equal(t, phases()[phaseIdle], 1)
	pass(maxIdleTime)
	assert.Equal(t, phases(), [...]int{phaseServed: 1, phaseAnswer: 0})

	close(answer)

	response, err := http.ReadResponse(bufio.NewReader(served), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

// TestLongestIdleIsEvicted guards against a full gate that keeps new clients out, or closes the connection of one that
// has just been active.
func TestLongestIdleIsEvicted(t *testing.T) {
	gate, address := newTestPort(t, 0, func(*fasthttp.RequestCtx) {})
	active, silent := open(t, address, ""), open(t, address, "")

	for gate.open() < 2 {
		time.Sleep(time.Millisecond)
	}

	_, err := io.WriteString(active, announced(1))
	assert.NilError(t, err)

	_, err = active.Read(make([]byte, 1000))
	assert.NilError(t, err)

	for range gate.maxConnections - 1 {
		open(t, address, "")
	}

	_, err = silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)

	_, err = io.WriteString(active, announced(1))
	assert.NilError(t, err)

	_, err = active.Read(make([]byte, 1000))
	assert.NilError(t, err)
}
