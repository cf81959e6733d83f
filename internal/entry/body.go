package entry

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// discardLimit and discardTimeout bound how much of a rejected body is read and discarded.
	// If it were left unread, a caller that is still sending would get a connection reset
	// instead of the response.
	discardLimit   = 64 << 20
	discardTimeout = 5 * time.Second
)

// readBody reads the body into the request. If that fails, it responds with an error and returns false.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) bool {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return true
	}

	limit := e.settings.Limits.BodyBytes

	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		e.respond(ctx, notRun(fasthttp.StatusBadRequest, "request body truncated"))
		ctx.SetConnectionClose()

		return false
	}

	if len(body) > limit {
		e.rejectBody(ctx, stream)

		return false
	}

	ctx.Request.SetBody(body)

	return true
}

func (e *Entry) rejectBody(ctx *fasthttp.RequestCtx, stream io.Reader) {
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, stream, discardLimit)

	e.respond(ctx, notRun(fasthttp.StatusRequestEntityTooLarge,
		"request body is larger than "+strconv.Itoa(e.settings.Limits.BodyBytes)+" bytes"))
	ctx.SetConnectionClose()
}
