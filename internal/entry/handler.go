package entry

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// systemPrefix is the path prefix of the system's own API. All other paths are routed to services.
const systemPrefix = "/v1/"

// handle serves an HTTP request.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if e.health.Handle(ctx) {
		return
	}

	if !strings.HasPrefix(string(ctx.Request.Header.RequestURI()), systemPrefix) {
		e.serve(ctx)

		return
	}

	path := strings.TrimPrefix(string(ctx.Path()), systemPrefix)
	name, rest, _ := strings.Cut(path, "/")
	call := string(ctx.Method()) + " " + name

	if rest != "" {
		call += "/"
	}

	handler, ok := e.apiHandlers[call]
	if !ok {
		ctx.Error("no such call: "+string(ctx.Method())+" "+string(ctx.Path()), fasthttp.StatusNotFound)

		return
	}

	handler(ctx, rest)
}

// apiHandler serves a call of the system's own API. rest is the path after the call's name.
type apiHandler func(ctx *fasthttp.RequestCtx, rest string)

// newAPIHandlers returns the handlers of the system's own API. A key is the method and the first
// path segment, with a slash if an id follows.
func (e *Entry) newAPIHandlers() map[string]apiHandler {
	return map[string]apiHandler{
		"POST upstreams":    e.postUpstream,
		"GET upstreams":     e.getUpstreams,
		"DELETE upstreams/": e.deleteUpstream,
		"POST heartbeats":   e.postHeartbeat,
		"GET workers":       e.getWorkers,
		"GET config":        e.getConfig,
		"POST config":       e.postConfig,
		"POST preset":       e.postPreset,
		"POST jobs":         e.postJob,
		"GET jobs":          e.getJobs,
		"GET jobs/":         e.getJob,
		"DELETE jobs/":      e.deleteJob,
		"GET status":        e.getStatus,
		"GET audit":         e.getAudit,
	}
}
