package httpd

import (
	"net/http"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Health serves /healthz, /readyz and /metrics. Its zero value is live and not ready.
type Health struct {
	ready   atomic.Bool
	metrics fasthttp.RequestHandler
}

// SetMetrics sets the handler of /metrics.
func (h *Health) SetMetrics(handler http.Handler) {
	h.metrics = fasthttpadaptor.NewFastHTTPHandler(handler)
}

// SetReady sets whether the load balancer should send requests to this process.
func (h *Health) SetReady(ready bool) {
	h.ready.Store(ready)
}

// Handle serves a health path and reports whether the path was one. It reads the
// raw path, since parsing the path would change the form in which it is forwarded.
func (h *Health) Handle(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Request.Header.RequestURI()) {
	case "/healthz":
		ctx.SetBodyString("live\n")
	case "/readyz":
		h.writeReadiness(ctx)
	case "/metrics":
		h.metrics(ctx)
	default:
		return false
	}

	return true
}

func (h *Health) writeReadiness(ctx *fasthttp.RequestCtx) {
	if h.ready.Load() {
		ctx.SetBodyString("ready\n")

		return
	}

	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}
