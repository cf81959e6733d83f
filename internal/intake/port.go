package intake

import (
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
)

const (
	// freeBytes is the size of a body, of what it is decoded into, and of an answer for which nothing is reserved: it
	// is part of the memory of a connection. Ordinary requests are served although the budget is used up.
	freeBytes = 8 << 10
	// headerSlack is the room in the buffer for a header beyond its limit, so that the header of a request can
	// be compared with a limit.
	headerSlack = 2 << 10
	// retryAfterSeconds is the time after which a refused client should try again: by then, half of the slow bodies
	// have been given up.
	retryAfterSeconds = "5"
)

// Limits are those of the requests to a port.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Port is the intake of one HTTP server.
type Port struct {
	gate    *Gate
	config  PortConfig
	handler fasthttp.RequestHandler
}

// PortConfig says what a port takes in.
type PortConfig struct {
	// MaxHeaderBytes is the largest header that the limits may ever allow.
	MaxHeaderBytes int
	// Limits returns the limits in force.
	Limits func() Limits
	// Cost returns the memory that a request takes while it is handled, in addition to its body.
	Cost func(ctx *fasthttp.RequestCtx, body []byte) int64
	// ReceiveBytes is the size of the system's buffer for data of a connection that has not been read; 0 for the
	// system's default. Otherwise, it grows to 6 MiB for a client that sends while its last request is being served.
	ReceiveBytes int
	// Answer writes the answer to a refused request, of which nothing has been handed on; nil for one without a body.
	Answer func(ctx *fasthttp.RequestCtx, status int, reason string)
}

// DocumentCost is the cost of requests whose bodies are JSON documents.
func DocumentCost(_ *fasthttp.RequestCtx, body []byte) int64 {
	return DecodedBytes(body)
}

// NewPort sets up a server to take in requests through the gate.
func NewPort(gate *Gate, server *fasthttp.Server, config PortConfig) *Port {
	p := &Port{gate: gate, config: config, handler: server.Handler}

	server.Handler = p.handle
	server.HeaderReceived = p.receiveHeader
	server.ExpectHandler = p.expect
	server.ErrorHandler = p.refuseUnreadable(server.ErrorHandler)
	// The body is read by the handler, after it has been reserved.
	server.StreamRequestBody = true
	server.DisablePreParseMultipartForm = true
	server.ReadBufferSize = config.MaxHeaderBytes + headerSlack

	return p
}

// Listen returns a listener whose connections count for the gate.
func (p *Port) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, port: p}
}

type listener struct {
	net.Listener

	port *Port
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	if tcp, ok := inner.(*net.TCPConn); ok && l.port.config.ReceiveBytes > 0 {
		_ = tcp.SetReadBuffer(l.port.config.ReceiveBytes)
	}

	c := newConn(l.port, inner)
	l.port.gate.add(c)

	return c, nil
}

// receiveHeader bounds the time for the body. Of one that is too large, the server reads a single byte before it calls
// the handler.
func (p *Port) receiveHeader(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limit, announced := p.config.Limits().BodyBytes, header.ContentLength()

	switch {
	case announced > limit:
		return fasthttp.RequestConfig{MaxRequestBodySize: 1, ReadTimeout: transferGrace}
	case announced > 0:
		return fasthttp.RequestConfig{MaxRequestBodySize: limit, ReadTimeout: transferTimeout(int64(announced))}
	case announced == chunked:
		return fasthttp.RequestConfig{MaxRequestBodySize: limit, ReadTimeout: transferTimeout(int64(limit))}
	default:
		return fasthttp.RequestConfig{MaxRequestBodySize: limit}
	}
}

// chunked is what the server states as the length of a body without an announced one.
const chunked = -1

// expect answers a client that waits for permission to send its body.
func (p *Port) expect(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() > p.config.Limits().BodyBytes {
		p.gate.metrics.refused[refusedBody].Inc(1)

		return fasthttp.StatusRequestEntityTooLarge
	}

	return fasthttp.StatusContinue
}

// refuseUnreadable returns a handler of errors that counts headers that are too large, and answers as the given one.
func (p *Port) refuseUnreadable(next func(ctx *fasthttp.RequestCtx, err error)) func(*fasthttp.RequestCtx, error) {
	return func(ctx *fasthttp.RequestCtx, err error) {
		switch {
		case isLargeHeader(err):
			p.refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, refusedHeader)
		case next != nil:
			next(ctx, err)
		default:
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
		}
	}
}

func (p *Port) handle(ctx *fasthttp.RequestCtx) {
	c, counted := ctx.Conn().(*conn)

	var r *reservation
	if counted {
		r = &c.request
	} else {
		r = &reservation{gate: p.gate}
	}

	if !p.admit(ctx, r) {
		r.release()

		return
	}

	if counted {
		c.enter(phaseServed, 0)
	}

	if r.bytes > 0 {
		ctx.SetUserValue(reservationKey{}, r)
	}

	p.handler(ctx)
	// The body is not needed while the answer is written.
	ctx.Request.SetBodyRaw(nil)
	r.release()

	if counted {
		p.keepAnswer(ctx, c)
	}
}

type reservationKey struct{}

// Keep hands over to the handler what is reserved for its request, for a copy that it keeps after its return. The
// handler must call the returned function once.
func Keep(ctx *fasthttp.RequestCtx) (release func()) {
	r, ok := ctx.UserValue(reservationKey{}).(*reservation)
	if !ok {
		return func() {}
	}

	// The reservation belongs to the connection, whose next request may come before the release.
	budget, bytes := r.gate.budget, r.bytes
	r.bytes = 0

	return func() { budget.Release(bytes) }
}

// admit reads the body of a request, or refuses the request.
func (p *Port) admit(ctx *fasthttp.RequestCtx, r *reservation) bool {
	limits := p.config.Limits()

	if len(ctx.Request.Header.RawHeaders()) > limits.HeaderBytes {
		p.refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, refusedHeader)

		return false
	}

	stream := ctx.RequestBodyStream()
	if stream == nil {
		return true
	}

	body, err := readBody(stream, ctx.Request.Header.ContentLength(), limits.BodyBytes, r)
	if err == nil {
		err = r.take(p.config.Cost(ctx, body))
	}

	if err != nil {
		p.refuseBody(ctx, stream, err, limits.BodyBytes)

		return false
	}

	ctx.Request.SetBodyRaw(body)

	return true
}

// refuse answers that a request was not taken in, and closes the connection.
func (p *Port) refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	p.gate.metrics.refused[reason].Inc(1)

	// A client that gives up while it sends is nothing unusual.
	if reason != refusedTruncated && p.gate.metrics.mayLog() {
		log.Warn().Str("client", ctx.RemoteAddr().String()).Str("reason", reason).Int("status", status).
			Int64("reserved", p.gate.budget.Used()).Msg("request refused before it was read")
	}

	ctx.Response.Reset()
	ctx.SetStatusCode(status)

	if p.config.Answer != nil {
		p.config.Answer(ctx, status, reason)
	}

	ctx.SetConnectionClose()

	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	}
}

// keepAnswer reserves the memory of an answer until the client has received it. Without room, the connection is closed:
// a refusal might not be true, since the request has been handled.
func (p *Port) keepAnswer(ctx *fasthttp.RequestCtx, c *conn) {
	if ctx.Response.IsBodyStream() {
		c.streaming = true

		return
	}

	bytes := int64(len(ctx.Response.Body()))
	if bytes <= freeBytes {
		return
	}

	if !p.gate.reserve(bytes) {
		ctx.Response.Reset()
		p.gate.evict(c, evictAnswer)

		return
	}

	c.answer.Add(bytes)
}
