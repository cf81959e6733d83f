package httpd

import (
	"fmt"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Recover returns a handler that responds with status 500 and an unknown outcome if the given one panics, so that a
// single request cannot end the process.
func Recover(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if cause := recover(); cause != nil {
				log.Error().Str("method", string(ctx.Method())).Str("path", string(ctx.Path())).Uint64("request", ctx.ID()).
					Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("request handler panicked")

				ctx.Response.Reset()
				ctx.SetConnectionClose()
				ctx.Response.Header.Set(mill.HeaderOutcome, string(mill.OutcomeUnknown))
				WriteJSON(ctx, fasthttp.StatusInternalServerError, ErrorResponse{
					Error: fmt.Sprintf("request %d failed unexpectedly, see the log of this process", ctx.ID()),
				})
			}
		}()

		handler(ctx)
	}
}
