package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// sendBody sends a POST request with a body of that size to the first entry.
func (c *testCluster) sendBody(t *testing.T, size int) *fasthttp.Response {
	t.Helper()

	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://entry/booking/x")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(mill.HeaderDeadline, "50")
	request.SetBodyString(strings.Repeat("x", size))
	assert.NilError(t, c.clients[0].Do(request, response))

	return response
}

// TestLargeBodyIsNotRun guards against a body beyond the limit that reaches an upstream.
func TestLargeBodyIsNotRun(t *testing.T) {
	cluster, err := newTestCluster(nil, nil)
	assert.NilError(t, err)

	defer cluster.close()

	response := cluster.sendBody(t, cluster.entries[0].settings.Limits.BodyBytes+1)
	assert.Equal(t, response.StatusCode(), fasthttp.StatusRequestEntityTooLarge)
	assert.Equal(t, string(response.Header.Peek(mill.HeaderOutcome)), string(mill.OutcomeNotRun))
	assert.Equal(t, cluster.entries[0].gate.Reserved(), int64(0))
}

// TestLateRequestStaysReserved guards against memory that is counted as free while a request whose caller no longer
// waits is still with its upstream, and against memory that is never returned.
func TestLateRequestStaysReserved(t *testing.T) {
	const size = 100_000

	cluster, err := newTestCluster(nil, nil)
	assert.NilError(t, err)

	defer cluster.close()

	// Far longer than the caller waits.
	cluster.upstream.delay = 2 * time.Second

	response := cluster.sendBody(t, size)
	assert.Equal(t, string(response.Header.Peek(mill.HeaderOutcome)), string(mill.OutcomeUnknown))
	assert.Assert(t, cluster.entries[0].gate.Reserved() > size, "%d bytes are reserved", cluster.entries[0].gate.Reserved())

	for cluster.entries[0].gate.Reserved() > 0 {
		time.Sleep(time.Millisecond)
	}
}
