package httpd

import (
	"encoding/json"
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// WriteJSON responds with the value as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)

		return
	}

	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// WriteError responds with an error and the status for the sentinel that it wraps.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	WriteJSON(ctx, StatusOf(err), ErrorResponse{Error: err.Error()})
}

// StatusOf returns the HTTP status for the sentinel that an error wraps.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, mill.ErrInvalid):
		return fasthttp.StatusBadRequest
	case errors.Is(err, mill.ErrNotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, mill.ErrConflict):
		return fasthttp.StatusConflict
	default:
		return fasthttp.StatusServiceUnavailable
	}
}
