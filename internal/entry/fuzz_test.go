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

// planned is a request that a check sends.
type planned struct {
	method string
	key    string
	entry  int
	wait   time.Duration
	kill   bool
}

// told is what the caller of a planned request learned.
type told struct {
	planned  planned
	id       string
	body     string
	outcome  mill.Outcome
	answer   string
	replayed bool
	// keyRuns is how often the key had run when the answer came.
	keyRuns int
}

// TestFuzzRequests sends keyed and unkeyed requests and resends through two
// entries, over an upstream that dies, is late, or answers another request, and
// a ledger whose calls are slow or lost, with an entry killed on the way. A
// keyed request and any POST run once at most, "not run" never runs, and "ran"
// comes with the request's own whole answer.
func TestFuzzRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreamScript := rapid.SliceOfN(rapid.Custom(drawBehavior), 0, 16).Draw(t, "upstream")
		ledgerScript := rapid.SliceOfN(rapid.Custom(drawFault), 0, 16).Draw(t, "ledger")
		plan := rapid.SliceOfN(rapid.Custom(drawPlanned), 4, 24).Draw(t, "requests")

		w, err := newWorld(upstreamScript, ledgerScript)
		if err != nil {
			t.Fatalf("world: %v", err)
		}

		defer w.close()

		all := w.sendAll(plan)
		w.awaitIdle()

		for i := range all {
			w.checkTold(t, &all[i])
		}

		if w.upstream.peak > testSlots {
			t.Fatalf("the upstream had %d requests at once, with %d slots", w.upstream.peak, testSlots)
		}
	})
}

func drawBehavior(t *rapid.T) behavior {
	return behavior(rapid.IntRange(0, int(behaviors)-1).Draw(t, "behavior"))
}

func drawFault(t *rapid.T) fault {
	return fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault"))
}

func drawPlanned(t *rapid.T) planned {
	return planned{
		method: rapid.SampledFrom([]string{fasthttp.MethodPost, fasthttp.MethodPost, fasthttp.MethodGet}).Draw(t, "method"),
		key:    rapid.SampledFrom([]string{"", "k1", "k2", "k3"}).Draw(t, "key"),
		entry:  rapid.IntRange(0, 1).Draw(t, "entry"),
		wait:   time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 20}).Draw(t, "wait")) * time.Millisecond,
		kill:   rapid.IntRange(0, 7).Draw(t, "kill") == 7,
	}
}

func (w *world) sendAll(plan []planned) []told {
	var group sync.WaitGroup

	all := make([]told, len(plan))

	for i := range plan {
		time.Sleep(plan[i].wait)

		if plan[i].kill {
			w.kill(plan[i].entry)
		}

		group.Go(func() { all[i] = w.send(i, plan[i]) })
	}

	group.Wait()

	return all
}

func (w *world) send(at int, p planned) told {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	result := told{planned: p, id: fmt.Sprintf("id%d", at), body: "body of " + p.key}

	if p.key == "" {
		result.body = result.id
	}

	request.SetRequestURI("http://entry/booking/x")
	request.Header.SetMethod(p.method)
	request.Header.Set(mill.HeaderRequestID, result.id)
	request.Header.Set(mill.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	request.SetBodyString(result.body)

	if p.key != "" {
		request.Header.Set(mill.HeaderIdempotencyKey, p.key)
	}

	if err := w.clients[p.entry].Do(request, response); err != nil {
		return result
	}

	result.outcome = mill.Outcome(response.Header.Peek(mill.HeaderOutcome))
	result.answer = string(response.Body())
	result.replayed = len(response.Header.Peek(headerReplayed)) > 0
	_, result.keyRuns = w.upstream.runs(result.id, p.key)

	return result
}

func (w *world) checkTold(t *rapid.T, r *told) {
	ofID, ofKey := w.upstream.runs(r.id, r.planned.key)
	post := r.planned.method == fasthttp.MethodPost

	if post && ofID > 1 {
		t.Fatalf("%s ran %d times", r.id, ofID)
	}

	if post && r.planned.key != "" && ofKey > 1 {
		t.Fatalf("key %s ran %d times", r.planned.key, ofKey)
	}

	switch r.outcome {
	case mill.OutcomeRan:
		w.checkRan(t, r, ofID, ofKey)
	case mill.OutcomeNotRun:
		if ofID > 0 {
			t.Fatalf("%s was told \"not run\" and ran", r.id)
		}

		if post && r.planned.key != "" && r.keyRuns > 0 {
			t.Fatalf("key %s was told \"not run\" when it had run", r.planned.key)
		}
	default:
	}
}

func (w *world) checkRan(t *rapid.T, r *told, ofID, ofKey int) {
	if r.answer != "answer to "+r.body {
		t.Fatalf("%s got %q", r.id, r.answer)
	}

	if ofID == 0 && ofKey == 0 {
		t.Fatalf("%s was told \"ran\" and did not run", r.id)
	}

	if r.replayed && ofKey == 0 {
		t.Fatalf("key %s has a recorded answer and never ran", r.planned.key)
	}
}

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
