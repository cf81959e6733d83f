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

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	maxTries       = 3
	maxDeadline    = time.Hour
	requestIDBytes = 12
)

// refuseMalformed answers what is no request that could be passed on.
func (e *Entry) refuseMalformed(ctx *fasthttp.RequestCtx, _ error) {
	e.answer(ctx, notRun(fasthttp.StatusBadRequest, "malformed request"))
}

// serve answers one request of a caller.
func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	started := time.Now()

	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)

	x, refusal := e.newExchange(ctx, started)
	if refusal != nil {
		e.answer(ctx, *refusal)

		return
	}

	ctx.Response.Header.Set(mill.HeaderRequestID, x.id)

	if isWatcher(&ctx.Request.Header) {
		e.watch(ctx, x)

		return
	}

	e.answer(ctx, e.run(x))
	e.counters.latency.RecordDuration(time.Since(started))
}

func (e *Entry) run(x *exchange) result {
	ctx, cancel := context.WithDeadline(e.ctx, x.deadline)
	defer cancel()

	if x.keyed != nil {
		return e.runKeyed(ctx, x)
	}

	return e.runOnce(ctx, x)
}

// newExchange copies the request, since it may outlive its caller.
func (e *Entry) newExchange(ctx *fasthttp.RequestCtx, started time.Time) (*exchange, *result) {
	header := &ctx.Request.Header
	service := serviceOf(header.RequestURI())

	if !e.known(service) {
		refusal := notRun(fasthttp.StatusNotFound, "unknown service "+strconv.Quote(service))

		return nil, &refusal
	}

	deadline, err := e.deadline(header, started)
	if err != nil {
		refusal := notRun(fasthttp.StatusBadRequest, err.Error())

		return nil, &refusal
	}

	x := &exchange{
		service:     service,
		id:          requestID(header),
		request:     &fasthttp.Request{},
		deadline:    deadline,
		idempotent:  e.idempotent(service, string(header.Method())),
		answerLimit: e.settings.Limits.AnswerBytes,
	}

	ctx.Request.CopyTo(x.request)
	prepareRequest(x)

	key := header.Peek(mill.HeaderIdempotencyKey)
	if len(key) > 0 && !x.idempotent {
		x.keyed = e.newKeyed(x, string(key))
	}

	return x, nil
}

// prepareRequest removes the headers that concern the caller's connection only
// (RFC 9110 section 7.6.1).
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

// runOnce runs a request that needs no intent.
func (e *Entry) runOnce(ctx context.Context, x *exchange) result {
	last := notRun(fasthttp.StatusServiceUnavailable, "not tried")
	written := false

	var avoid *upstream

	for try := range maxTries {
		if try > 0 {
			e.counters.retries.Inc(1)
		}

		tried, u := e.try(ctx, x, avoid)
		last = tried
		avoid = u
		written = written || tried.outcome == mill.OutcomeUnknown

		if !retriable(x, tried, u) || ctx.Err() != nil {
			break
		}
	}

	// An earlier try that was written may have run whatever the last one says.
	if last.outcome == mill.OutcomeNotRun && written {
		return unknown(last.reason)
	}

	return last
}

// retriable reports whether a second try cannot run the request twice.
func retriable(x *exchange, tried result, u *upstream) bool {
	switch tried.outcome {
	case mill.OutcomeNotRun:
		return u != nil
	case mill.OutcomeUnknown:
		return x.idempotent
	default:
		return false
	}
}

// try sends a request to one upstream, which it returns unless there was none.
func (e *Entry) try(ctx context.Context, x *exchange, avoid *upstream) (result, *upstream) {
	l, ok := e.table.lane(x.service)
	if !ok {
		return e.tryRemote(ctx, x), nil
	}

	u, err := l.acquire(ctx, x.deadline, avoid)
	if errors.Is(err, mill.ErrNoUpstream) {
		return e.tryRemote(ctx, x), nil
	}

	if err != nil {
		return notRun(fasthttp.StatusServiceUnavailable, err.Error()), nil
	}

	return e.dispatch(ctx, x, l, u), u
}

// dispatch runs the exchange on the pool, since it may last longer than its
// caller waits: a late answer is still read, and the slot stays taken until then.
func (e *Entry) dispatch(ctx context.Context, x *exchange, l *lane, u *upstream) result {
	done := make(chan result, 1)

	e.inFlight.Add(1)

	err := e.dispatchers.Submit(func() {
		defer e.inFlight.Add(-1)
		e.perform(x, l, u, done)
	})
	if err != nil {
		e.inFlight.Add(-1)
		l.release(u, 0)

		return notRun(fasthttp.StatusServiceUnavailable, "no worker is free")
	}

	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return e.lastChance(done)
	}
}

// lastChance prefers an answer that came at the very deadline.
func (e *Entry) lastChance(done chan result) result {
	select {
	case r := <-done:
		return r
	default:
		e.counters.late.Inc(1)

		return unknown("no answer within the deadline")
	}
}

// perform runs the exchange and records what became of a keyed request.
func (e *Entry) perform(x *exchange, l *lane, u *upstream, done chan result) {
	started := time.Now()
	r := e.roundTrip(x, u)

	if r.outcome == mill.OutcomeUnknown {
		l.releaseLater(u, e.settings.Limits.LateAnswer())
	} else {
		l.release(u, time.Since(started))
	}

	done <- r

	if x.keyed != nil && r.outcome != mill.OutcomeNotRun {
		e.record(x, r)
	}
}

func (e *Entry) roundTrip(x *exchange, u *upstream) result {
	until := x.deadline.Add(e.settings.Limits.LateAnswer())

	c, err := u.take(e.ctx)
	if err != nil {
		return notRun(fasthttp.StatusServiceUnavailable, err.Error())
	}

	response := &fasthttp.Response{}
	response.Header.SetNoDefaultContentType(true)

	err = c.exchange(x, response, until)

	switch {
	case errors.Is(err, errNotWritten):
		c.close()

		return notRun(fasthttp.StatusServiceUnavailable, err.Error())
	case err != nil:
		c.close()

		return unknown(err.Error())
	}

	e.keep(u, c, response)

	if mill.Outcome(response.Header.Peek(mill.HeaderOutcome)) == mill.OutcomeNotRun {
		return notRun(fasthttp.StatusServiceUnavailable, "the upstream has not started it")
	}

	return ran(response)
}

// keep puts the connection back unless either side is done with it.
func (e *Entry) keep(u *upstream, c *conn, response *fasthttp.Response) {
	if response.ConnectionClose() || c.reader.Buffered() > 0 {
		c.close()

		return
	}

	u.give(c)
}

// answer writes how an exchange ended.
func (e *Entry) answer(ctx *fasthttp.RequestCtx, r result) {
	e.counters.outcomes[r.outcome].Inc(1)

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

// known reports whether a service is declared or announced anywhere.
func (e *Entry) known(service string) bool {
	if _, ok := e.table.lane(service); ok {
		return true
	}

	if _, ok := e.control.View().Declarations.FindService(service); ok {
		return true
	}

	return e.remote.has(service)
}

func (e *Entry) idempotent(service, method string) bool {
	if idempotentMethod(method) {
		return true
	}

	declared, ok := e.control.View().Declarations.FindService(service)

	return ok && declared.Idempotent
}

func (e *Entry) deadline(header *fasthttp.RequestHeader, started time.Time) (time.Time, error) {
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
