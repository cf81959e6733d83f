package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// plannedRequest is a request that the test is to send.
type plannedRequest struct {
	method string
	key    string
	entry  int
	wait   time.Duration
	kill   bool
}

// requestResult is what the caller of a request received.
type requestResult struct {
	planned      plannedRequest
	id           string
	requestBody  string
	outcome      mill.Outcome
	responseBody string
	replayed     bool
	// keyRuns is how often a request with the key had run when the response arrived.
	keyRuns int
}

// TestFuzzRequests sends requests and retries, with and without idempotency keys, through two entries.
// The upstream closes connections, is late, or responds to another request; calls to the ledger are
// slow or lost; and entries are killed. It checks that a request with a key, and any POST, runs at
// most once, that "not run" is true, and that "ran" comes with the complete response to the request.
func TestFuzzRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreamScript := rapid.SliceOfN(rapid.Custom(drawBehavior), 0, 16).Draw(t, "upstream")
		ledgerScript := rapid.SliceOfN(rapid.Custom(drawFault), 0, 16).Draw(t, "ledger")
		plan := rapid.SliceOfN(rapid.Custom(drawRequest), 4, 24).Draw(t, "requests")

		cluster, err := newTestCluster(upstreamScript, ledgerScript)
		if err != nil {
			t.Fatalf("test cluster: %v", err)
		}

		defer cluster.close()

		all := cluster.sendAll(plan)
		cluster.awaitIdle()

		for i := range all {
			cluster.checkResult(t, &all[i])
		}

		if cluster.upstream.peak > testSlots {
			t.Fatalf("the upstream had %d concurrent requests, with %d slots", cluster.upstream.peak, testSlots)
		}
	})
}

func drawBehavior(t *rapid.T) behavior {
	return behavior(rapid.IntRange(0, int(behaviorCount)-1).Draw(t, "behavior"))
}

func drawFault(t *rapid.T) fault {
	return fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
}

func drawRequest(t *rapid.T) plannedRequest {
	return plannedRequest{
		method: rapid.SampledFrom([]string{fasthttp.MethodPost, fasthttp.MethodPost, fasthttp.MethodGet}).Draw(t, "method"),
		key:    rapid.SampledFrom([]string{"", "k1", "k2", "k3"}).Draw(t, "key"),
		entry:  rapid.IntRange(0, 1).Draw(t, "entry"),
		wait:   time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 20}).Draw(t, "wait")) * time.Millisecond,
		kill:   rapid.IntRange(0, 7).Draw(t, "kill") == 7,
	}
}

func (c *testCluster) sendAll(plan []plannedRequest) []requestResult {
	var group sync.WaitGroup

	all := make([]requestResult, len(plan))

	for i := range plan {
		time.Sleep(plan[i].wait)

		if plan[i].kill {
			c.kill(plan[i].entry)
		}

		group.Go(func() { all[i] = c.send(i, plan[i]) })
	}

	group.Wait()

	return all
}

func (c *testCluster) send(number int, planned plannedRequest) requestResult {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	r := requestResult{planned: planned, id: fmt.Sprintf("id%d", number), requestBody: "body of " + planned.key}

	if planned.key == "" {
		r.requestBody = r.id
	}

	request.SetRequestURI("http://entry/booking/x")
	request.Header.SetMethod(planned.method)
	request.Header.Set(mill.HeaderRequestID, r.id)
	request.Header.Set(mill.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	request.SetBodyString(r.requestBody)

	if planned.key != "" {
		request.Header.Set(mill.HeaderIdempotencyKey, planned.key)
	}

	if err := c.clients[planned.entry].Do(request, response); err != nil {
		return r
	}

	r.outcome = mill.Outcome(response.Header.Peek(mill.HeaderOutcome))
	r.responseBody = string(response.Body())
	r.replayed = len(response.Header.Peek(headerReplayed)) > 0
	_, r.keyRuns = c.upstream.runs(r.id, planned.key)

	return r
}

func (c *testCluster) checkResult(t *rapid.T, r *requestResult) {
	ofID, ofKey := c.upstream.runs(r.id, r.planned.key)
	post := r.planned.method == fasthttp.MethodPost

	if post && ofID > 1 {
		t.Fatalf("%s ran %d times", r.id, ofID)
	}

	if post && r.planned.key != "" && ofKey > 1 {
		t.Fatalf("key %s ran %d times", r.planned.key, ofKey)
	}

	switch r.outcome {
	case mill.OutcomeRan:
		c.checkRan(t, r, ofID, ofKey)
	case mill.OutcomeNotRun:
		if ofID > 0 {
			t.Fatalf("%s ran, but the outcome is \"not run\"", r.id)
		}

		if post && r.planned.key != "" && r.keyRuns > 0 {
			t.Fatalf("key %s had run, but the outcome is \"not run\"", r.planned.key)
		}
	default:
	}
}

func (c *testCluster) checkRan(t *rapid.T, r *requestResult, ofID, ofKey int) {
	if r.responseBody != "answer to "+r.requestBody {
		t.Fatalf("%s got %q", r.id, r.responseBody)
	}

	if ofID == 0 && ofKey == 0 {
		t.Fatalf("%s did not run, but the outcome is \"ran\"", r.id)
	}

	if r.replayed && ofKey == 0 {
		t.Fatalf("key %s has a recorded response but never ran", r.planned.key)
	}
}

// TestShareOfAddsUp checks that the entries' shares of an upstream's slots add up to the slots.
func TestShareOfAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		count := rapid.IntRange(1, 12).Draw(t, "entries")
		sum := 0

		for position := range count {
			sum += shareOf(slots, position, count)
		}

		assert.Equal(t, sum, slots)
	})
}
