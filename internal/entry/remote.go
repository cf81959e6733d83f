package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const summaryTime = 5 * time.Second

// remote knows which services the other data centres have.
type remote struct {
	vm      conf.VM
	cluster *conf.Cluster
	mu      sync.Mutex
	slots   map[string]heardSummary
}

// heardSummary is the latest summary of a data centre.
type heardSummary struct {
	slots map[string]int
	at    time.Time
}

func newRemote(vm conf.VM, cluster *conf.Cluster) *remote {
	return &remote{vm: vm, cluster: cluster, slots: make(map[string]heardSummary)}
}

func (r *remote) hear(summary *Summary, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.slots[summary.DataCentre] = heardSummary{slots: summary.Slots, at: now}
}

func (r *remote) has(service string) bool {
	return len(r.choices(service, time.Now())) > 0
}

// choices returns the data centres that have a service, those of the own region first.
func (r *remote) choices(service string, now time.Time) []conf.DataCentre {
	r.mu.Lock()
	defer r.mu.Unlock()

	var near, far []conf.DataCentre

	for _, dataCentre := range r.cluster.DataCentres {
		heard, ok := r.slots[dataCentre.Name]
		if !ok || heard.slots[service] == 0 || now.Sub(heard.at) > summaryTime {
			continue
		}

		if dataCentre.Region == r.vm.Region() {
			near = append(near, dataCentre)
		} else {
			far = append(far, dataCentre)
		}
	}

	return append(near, far...)
}

// pushSummary sends the summary to one entry of each other data centre in turn.
func (e *Entry) pushSummary() {
	summary := &Summary{DataCentre: e.vm.DataCentre(), Slots: e.table.services()}

	for _, dataCentre := range e.settings.ClusterMap().DataCentres {
		if dataCentre.Name == e.vm.DataCentre() {
			continue
		}

		for _, vm := range dataCentre.VMs {
			go e.summaryTo(vm.Entry, summary)
		}
	}
}

func (e *Entry) summaryTo(address string, summary *Summary) {
	ctx, cancel := context.WithTimeout(e.ctx, gossipCallTime)
	defer cancel()

	_, _ = wire.Call[Summary, SummaryReply](ctx, e.client, address, MethodSummary, summary)
}

func (e *Entry) takeSummary(_ context.Context, summary *Summary) (*SummaryReply, error) {
	e.remote.hear(summary, time.Now())

	return &SummaryReply{}, nil
}

// tryRemote sends a request to a data centre that has its service. Only a
// request that reached nobody goes on to the next.
func (e *Entry) tryRemote(ctx context.Context, x *exchange) result {
	if x.local {
		return notRun(fasthttp.StatusServiceUnavailable, "no upstream of "+x.service)
	}

	for _, dataCentre := range e.remote.choices(x.service, time.Now()) {
		vm := dataCentre.VMs[rand.IntN(len(dataCentre.VMs))]

		r, reached := e.dispatchTo(ctx, x, vm.Entry)
		if reached {
			return r
		}
	}

	return notRun(fasthttp.StatusServiceUnavailable, "no upstream of "+x.service)
}

// dispatchTo asks another entry to run a request and reports whether it may
// have got it.
func (e *Entry) dispatchTo(ctx context.Context, x *exchange, address string) (result, bool) {
	var raw bytes.Buffer

	writer := bufio.NewWriter(&raw)
	if err := errors.Join(x.request.Write(writer), writer.Flush()); err != nil {
		return notRun(fasthttp.StatusBadRequest, err.Error()), true
	}

	reply, err := wire.Call[DispatchRequest, DispatchReply](ctx, e.client, address, MethodDispatch, &DispatchRequest{
		Service:       x.service,
		ID:            x.id,
		Request:       raw.Bytes(),
		DeadlineMilli: time.Until(x.deadline).Milliseconds(),
		Idempotent:    x.idempotent,
	})
	if errors.Is(err, mill.ErrUnreachable) {
		return result{}, false
	}

	if err != nil {
		r := unknown("the other data centre did not answer")
		e.recordRemote(x, r)

		return r, true
	}

	r := replyResult(reply)
	e.recordRemote(x, r)

	return r, true
}

func (e *Entry) recordRemote(x *exchange, r result) {
	if x.keyed != nil && r.outcome != mill.OutcomeNotRun {
		e.record(x, r)
	}
}

func replyResult(reply *DispatchReply) result {
	if reply.Response == nil {
		return result{outcome: reply.Outcome, status: reply.Status, reason: reply.Reason}
	}

	response := &fasthttp.Response{}
	response.Header.SetNoDefaultContentType(true)

	if err := response.Read(bufio.NewReader(bytes.NewReader(reply.Response))); err != nil {
		return unknown("malformed answer from the other data centre")
	}

	return ran(response)
}

// takeDispatch runs a request of another data centre on an upstream of this one.
func (e *Entry) takeDispatch(_ context.Context, request *DispatchRequest) (*DispatchReply, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)

	x := &exchange{
		service:     request.Service,
		id:          request.ID,
		request:     &fasthttp.Request{},
		deadline:    time.Now().Add(time.Duration(request.DeadlineMilli) * time.Millisecond),
		idempotent:  request.Idempotent,
		answerLimit: e.settings.Limits.AnswerBytes,
		local:       true,
	}

	x.request.Header.DisableNormalizing()
	x.request.Header.SetNoDefaultContentType(true)

	if err := x.request.Read(bufio.NewReader(bytes.NewReader(request.Request))); err != nil {
		return &DispatchReply{
			Outcome: mill.OutcomeNotRun, Status: fasthttp.StatusBadRequest, Reason: err.Error(),
		}, nil
	}

	return e.dispatchReply(e.run(x))
}

func (e *Entry) dispatchReply(r result) (*DispatchReply, error) {
	reply := &DispatchReply{Outcome: r.outcome, Status: r.status, Reason: r.reason}

	if r.response == nil {
		return reply, nil
	}

	var raw bytes.Buffer

	writer := bufio.NewWriter(&raw)
	if err := errors.Join(r.response.Write(writer), writer.Flush()); err != nil {
		return nil, err
	}

	reply.Response = raw.Bytes()

	return reply, nil
}
