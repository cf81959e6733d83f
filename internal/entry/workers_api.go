package entry

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/httpd"
	"github.com/cranberrymill/cranberrymill/internal/sched"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const schedTimeout = 2 * time.Second

func (e *Entry) postHeartbeat(ctx *fasthttp.RequestCtx, _ string) {
	var heartbeat mill.Heartbeat

	if err := conf.DecodeJSON(ctx.PostBody(), &heartbeat); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	if err := heartbeat.Validate(); err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	orders, err := callScheduler[mill.Heartbeat, mill.Orders](e, sched.MethodHeartbeat, &heartbeat)
	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, orders)
}

func (e *Entry) getWorkers(ctx *fasthttp.RequestCtx, _ string) {
	reply, err := callScheduler[sched.WorkersRequest, sched.WorkersReply](e, sched.MethodWorkers, &sched.WorkersRequest{})
	if err != nil {
		httpd.WriteError(ctx, err)

		return
	}

	httpd.WriteJSON(ctx, fasthttp.StatusOK, reply.Workers)
}

// callScheduler calls the schedulers of the data centre in turn until the active one answers.
func callScheduler[Request, Reply any](e *Entry, method string, request *Request) (*Reply, error) {
	ctx, cancel := context.WithTimeout(e.ctx, schedTimeout)
	defer cancel()

	last := merry.Prepend(mill.ErrUnavailable, "no scheduler is active", merry.NoCaptureStack())

	for _, vm := range e.settings.ClusterMap().In(e.vm.DataCentre()) {
		if vm.Sched == "" {
			continue
		}

		reply, err := wire.Call[Request, Reply](ctx, e.client, vm.Sched, method, request)
		if err == nil {
			return reply, nil
		}

		if !errors.Is(err, mill.ErrNotPrimary) && !errors.Is(err, mill.ErrUnreachable) {
			last = err
		}
	}

	return nil, last
}
