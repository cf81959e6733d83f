package httpd

import (
	"net/http"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Health answers /healthz, /readyz and /metrics; its zero value is live and not ready.
type Health struct {
	ready   atomic.Bool
	metrics fasthttp.RequestHandler
}

// SetMetrics sets what answers /metrics.
func (h *Health) SetMetrics(handler http.Handler) {
	h.metrics = fasthttpadaptor.NewFastHTTPHandler(handler)
}

// SetReady sets whether the balancer should send requests here.
func (h *Health) SetReady(ready bool) {
	h.ready.Store(ready)
}

// Handle answers a health path and reports whether the path was one. It reads
// the raw path, since a path that was parsed is passed on in another form.
func (h *Health) Handle(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Request.Header.RequestURI()) {
	case "/healthz":
		ctx.SetBodyString("live\n")
	case "/readyz":
		h.answerReady(ctx)
	case "/metrics":
		h.metrics(ctx)
	default:
		return false
	}

	return true
}

func (h *Health) answerReady(ctx *fasthttp.RequestCtx) {
	if h.ready.Load() {
		ctx.SetBodyString("ready\n")

		return
	}

	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}
