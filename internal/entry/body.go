package entry

import (
	"math"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/intake"
)

const (
	maxHeaderBytes = 4 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute
)

// newGate returns the gate of an entry.
func newGate(settings *conf.Settings, scope tally.Scope) *intake.Gate {
	return intake.NewGate(&intake.Config{
		MemoryBytes: settings.Limits.MemoryMiB << 20, MaxDescriptors: maxDescriptors(), HeaderBytes: maxHeaderBytes,
		Scope: scope,
	})
}

// maxDescriptors returns how many descriptors this process may have open, or 0 if that is not known.
func maxDescriptors() int {
	var limit syscall.Rlimit

	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}

	return int(min(limit.Cur, math.MaxInt32))
}

func (e *Entry) intakeLimits() intake.Limits {
	return intake.Limits{
		HeaderBytes: maxHeaderBytes, BodyBytes: e.settings.Limits.BodyBytes,
		HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
}

// intakeCost returns the memory of the values into which a call of the system's own API is decoded, or that of the copy
// of a request that an upstream gets.
func intakeCost(ctx *fasthttp.RequestCtx, body []byte) int64 {
	if strings.HasPrefix(string(ctx.Request.Header.RequestURI()), systemPrefix) {
		return intake.DecodedBytes(body)
	}

	return int64(len(body))
}

// rejectRequest responds to a request that is not taken in.
func (e *Entry) rejectRequest(ctx *fasthttp.RequestCtx, status int, reason string) {
	text := "request refused: " + reason

	switch status {
	case fasthttp.StatusRequestEntityTooLarge:
		text = "request body is larger than " + strconv.Itoa(e.settings.Limits.BodyBytes) + " bytes"
	case fasthttp.StatusBadRequest:
		text = "request body truncated"
	default:
	}

	e.respond(ctx, notRun(status, text))
}
