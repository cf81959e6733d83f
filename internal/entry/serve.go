package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/intake"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	maxTries       = 3
	maxDeadline    = time.Hour
	requestIDBytes = 12
)

// rejectMalformed responds to input that cannot be parsed as an HTTP request.
func (e *Entry) rejectMalformed(ctx *fasthttp.RequestCtx, _ error) {
	e.respond(ctx, notRun(fasthttp.StatusBadRequest, "malformed request"))
}

// serve serves a caller's request.
func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	started := time.Now()

	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)

	x, rejection := e.newExchange(ctx, started)
	if rejection != nil {
		e.respond(ctx, *rejection)

		return
	}

	// The exchange may continue after the caller has its response, with its copy of the body.
	x.release = intake.Keep(ctx)

	x.retain()
	defer x.done()

	ctx.Response.Header.Set(mill.HeaderRequestID, x.id)

	if isWatcher(&ctx.Request.Header) {
		e.serveWatcher(ctx, x)

		return
	}

	e.respond(ctx, e.run(x))
	e.metrics.latency.RecordDuration(time.Since(started))
}

func (e *Entry) run(x *exchange) result {
	ctx, cancel := context.WithDeadline(e.ctx, x.deadline)
	defer cancel()

	if x.intent != nil {
		return e.runKeyed(ctx, x)
	}

	return e.runOnce(ctx, x)
}

// newExchange copies the request, since the exchange may continue after the caller has its response. It
// returns a result instead if the request is rejected.
func (e *Entry) newExchange(ctx *fasthttp.RequestCtx, started time.Time) (*exchange, *result) {
	header := &ctx.Request.Header
	service := serviceOf(header.RequestURI())

	if !e.isKnown(service) {
		rejection := notRun(fasthttp.StatusNotFound, "unknown service "+strconv.Quote(service))

		return nil, &rejection
	}

	deadline, err := e.requestDeadline(header, started)
	if err != nil {
		rejection := notRun(fasthttp.StatusBadRequest, err.Error())

		return nil, &rejection
	}

	x := &exchange{
		service:          service,
		id:               requestID(header),
		request:          &fasthttp.Request{},
		deadline:         deadline,
		idempotent:       e.isIdempotent(service, string(header.Method())),
		maxResponseBytes: e.settings.Limits.AnswerBytes,
	}

	ctx.Request.CopyTo(x.request)
	prepareRequest(x)

	key := header.Peek(mill.HeaderIdempotencyKey)
	if len(key) > 0 && !x.idempotent {
		x.intent = e.newIntent(x, string(key))
	}

	return x, nil
}

// prepareRequest removes the hop-by-hop headers (RFC 9110 section 7.6.1) and sets the request id.
func prepareRequest(x *exchange) {
	header := &x.request.Header

	for _, name := range bytes.Split(header.Peek(fasthttp.HeaderConnection), []byte(",")) {
		header.DelBytes(bytes.TrimSpace(name))
	}

	for _, name := range []string{
		fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyAuthorization,
		fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade,
	} {
		header.Del(name)
	}

	header.SetNoDefaultContentType(true)
	header.Set(mill.HeaderRequestID, x.id)
}

// runOnce runs a request, and retries it only if that cannot run it twice or it is idempotent.
func (e *Entry) runOnce(ctx context.Context, x *exchange) result {
	last := notRun(fasthttp.StatusServiceUnavailable, "no attempt was made")
	mayHaveRun := false

	var avoid *upstream

	for try := range maxTries {
		if try > 0 {
			e.metrics.retries.Inc(1)
		}

		r, u := e.try(ctx, x, avoid)
		last = r
		avoid = u
		mayHaveRun = mayHaveRun || r.outcome == mill.OutcomeUnknown

		if !retriable(x, r, u) || ctx.Err() != nil {
			break
		}
	}

	// An earlier try that was written may have run, whatever the outcome of the last one.
	if last.outcome == mill.OutcomeNotRun && mayHaveRun {
		return unknown(last.reason)
	}

	return last
}

// retriable reports whether the request may be tried again: it has not run, or is idempotent.
func retriable(x *exchange, r result, u *upstream) bool {
	switch r.outcome {
	case mill.OutcomeNotRun:
		return u != nil
	case mill.OutcomeUnknown:
		return x.idempotent
	default:
		return false
	}
}

// try sends a request to an upstream, and returns that upstream, or nil if there was none in this data centre.
func (e *Entry) try(ctx context.Context, x *exchange, avoid *upstream) (result, *upstream) {
	pool, ok := e.table.pool(x.service)
	if !ok {
		return e.tryRemote(ctx, x), nil
	}

	u, err := pool.acquire(ctx, x.deadline, avoid)
	if errors.Is(err, mill.ErrNoUpstream) {
		return e.tryRemote(ctx, x), nil
	}

	if err != nil {
		return notRun(fasthttp.StatusServiceUnavailable, err.Error()), nil
	}

	return e.dispatch(ctx, x, pool, u), u
}

// dispatch runs the exchange on the dispatch pool, since it may last longer than the caller waits: a
// late response is still read, and the slot stays in use until then.
func (e *Entry) dispatch(ctx context.Context, x *exchange, pool *servicePool, u *upstream) result {
	done := make(chan result, 1)

	e.inFlight.Add(1)
	x.retain()

	err := e.dispatchPool.Submit(func() {
		defer e.inFlight.Add(-1)
		defer x.done()
		e.perform(x, pool, u, done)
	})
	if err != nil {
		e.inFlight.Add(-1)
		x.done()
		pool.release(u, 0)

		return notRun(fasthttp.StatusServiceUnavailable, "too many requests are being dispatched")
	}

	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return e.resultAtDeadline(done)
	}
}

// resultAtDeadline returns a result that arrived just as the deadline passed, or else "unknown".
func (e *Entry) resultAtDeadline(done chan result) result {
	select {
	case r := <-done:
		return r
	default:
		e.metrics.late.Inc(1)

		return unknown("no response within the deadline")
	}
}

// perform runs the exchange, and records the outcome of a request with an idempotency key.
func (e *Entry) perform(x *exchange, pool *servicePool, u *upstream, done chan result) {
	started := time.Now()
	r := e.roundTrip(x, u)

	if r.outcome == mill.OutcomeUnknown {
		pool.releaseLater(u, e.settings.Limits.LateAnswer())
	} else {
		pool.release(u, time.Since(started))
	}

	done <- r

	if x.intent != nil && r.outcome != mill.OutcomeNotRun {
		e.record(x, r)
	}
}

func (e *Entry) roundTrip(x *exchange, u *upstream) result {
	deadline := x.deadline.Add(e.settings.Limits.LateAnswer())

	c, err := u.takeConn(e.ctx)
	if err != nil {
		return notRun(fasthttp.StatusServiceUnavailable, err.Error())
	}

	response := &fasthttp.Response{}
	response.Header.SetNoDefaultContentType(true)

	err = c.roundTrip(x, response, deadline)

	switch {
	case errors.Is(err, errNotWritten):
		c.close()

		return notRun(fasthttp.StatusServiceUnavailable, err.Error())
	case err != nil:
		c.close()

		return unknown(err.Error())
	}

	e.keepConn(u, c, response)

	if mill.Outcome(response.Header.Peek(mill.HeaderOutcome)) == mill.OutcomeNotRun {
		return notRun(fasthttp.StatusServiceUnavailable, "the upstream did not start the request")
	}

	return ran(response)
}

// keepConn keeps the connection for reuse, unless the upstream closes it or has sent unsolicited bytes.
func (e *Entry) keepConn(u *upstream, c *conn, response *fasthttp.Response) {
	if response.ConnectionClose() || c.reader.Buffered() > 0 {
		c.close()

		return
	}

	u.putConn(c)
}

// respond writes the result of an exchange to the caller.
func (e *Entry) respond(ctx *fasthttp.RequestCtx, r result) {
	e.metrics.outcomes[r.outcome].Inc(1)

	id := string(ctx.Response.Header.Peek(mill.HeaderRequestID))

	if r.response != nil {
		r.response.CopyTo(&ctx.Response)
		ctx.Response.Header.Del(fasthttp.HeaderConnection)
		ctx.Response.SkipBody = ctx.Request.Header.IsHead()
	} else {
		ctx.Response.Header.SetContentType("text/plain; charset=utf-8")
		ctx.Response.SetStatusCode(r.status)
		ctx.Response.SetBodyString(r.reason + "\n")
	}

	if r.status == fasthttp.StatusServiceUnavailable || r.status == fasthttp.StatusConflict {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}

	if id != "" {
		ctx.Response.Header.Set(mill.HeaderRequestID, id)
	}

	ctx.Response.Header.Set(mill.HeaderOutcome, string(r.outcome))

	if e.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// isKnown reports whether a service is declared or announced anywhere.
func (e *Entry) isKnown(service string) bool {
	if _, ok := e.table.pool(service); ok {
		return true
	}

	if _, ok := e.control.View().Declarations.FindService(service); ok {
		return true
	}

	return e.remote.has(service)
}

func (e *Entry) isIdempotent(service, method string) bool {
	if idempotentMethod(method) {
		return true
	}

	declared, ok := e.control.View().Declarations.FindService(service)

	return ok && declared.Idempotent
}

func (e *Entry) requestDeadline(header *fasthttp.RequestHeader, started time.Time) (time.Time, error) {
	raw := header.Peek(mill.HeaderDeadline)
	if len(raw) == 0 {
		return started.Add(e.settings.Limits.DefaultDeadline()), nil
	}

	milli, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil || milli < 1 || milli > maxDeadline.Milliseconds() {
		return time.Time{}, errors.New(mill.HeaderDeadline + " " + strconv.Quote(string(raw)) +
			": want milliseconds from 1 to " + strconv.FormatInt(maxDeadline.Milliseconds(), 10))
	}

	return started.Add(time.Duration(milli) * time.Millisecond), nil
}

// serviceOf returns the first segment of a path.
func serviceOf(uri []byte) string {
	path := strings.TrimPrefix(string(uri), "/")
	end := strings.IndexAny(path, "/?")

	if end < 0 {
		return path
	}

	return path[:end]
}

func requestID(header *fasthttp.RequestHeader) string {
	if id := header.Peek(mill.HeaderRequestID); len(id) > 0 && len(id) <= mill.MaxNameLength {
		return string(id)
	}

	var raw [requestIDBytes]byte

	_, _ = rand.Read(raw[:])

	return hex.EncodeToString(raw[:])
}
