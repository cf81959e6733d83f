package entry

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// systemPrefix is where the system's own calls are; all else is for services.
const systemPrefix = "/v1/"

// handle answers one HTTP request.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	if e.health.Handle(ctx) || !e.readBody(ctx) {
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

	action, ok := e.calls[call]
	if !ok {
		ctx.Error("no such call: "+string(ctx.Method())+" "+string(ctx.Path()), fasthttp.StatusNotFound)

		return
	}

	action(ctx, rest)
}

// apiCall answers one of the system's own calls; rest is the path after its name.
type apiCall func(ctx *fasthttp.RequestCtx, rest string)

// newCalls returns the system's own calls: method and first segment, and a slash
// where an id follows.
func (e *Entry) newCalls() map[string]apiCall {
	return map[string]apiCall{
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
