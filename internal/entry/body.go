package entry

import (
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// drainBytes and drainTime bound what is read of a body that was refused:
	// a caller that is still sending would lose the answer to a reset.
	drainBytes = 64 << 20
	drainTime  = 5 * time.Second
)

// readBody reads the body into the request, or answers 413 and reports false.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) bool {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return true
	}

	limit := e.settings.Limits.BodyBytes

	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)+1))
	if err != nil {
		e.answer(ctx, notRun(fasthttp.StatusBadRequest, "the body ended early"))
		ctx.SetConnectionClose()

		return false
	}

	if len(body) > limit {
		e.refuseBody(ctx, stream)

		return false
	}

	ctx.Request.SetBody(body)

	return true
}

func (e *Entry) refuseBody(ctx *fasthttp.RequestCtx, stream io.Reader) {
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, stream, drainBytes)

	e.answer(ctx, notRun(fasthttp.StatusRequestEntityTooLarge,
		"body is larger than "+strconv.Itoa(e.settings.Limits.BodyBytes)+" bytes"))
	ctx.SetConnectionClose()
}
