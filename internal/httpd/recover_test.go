package httpd

import (
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestRecover expects a request whose handler panics to get status 500, and the next one to be served.
func TestRecover(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	server := &fasthttp.Server{Handler: Recover(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/bad" {
			ctx.SetBodyString("half an answer")

			var missing *ErrorResponse

			missing.Error = "panics"
		}
	})}

	go func() { _ = server.Serve(listener) }()

	defer func() { _ = server.Shutdown() }()

	status, body, err := fasthttp.Get(nil, "http://"+listener.Addr().String()+"/bad")
	assert.NilError(t, err)
	assert.Equal(t, status, fasthttp.StatusInternalServerError)
	assert.Assert(t, strings.Contains(string(body), "failed unexpectedly"), "%s", body)

	status, _, err = fasthttp.Get(nil, "http://"+listener.Addr().String()+"/good")
	assert.NilError(t, err)
	assert.Equal(t, status, fasthttp.StatusOK)
}
