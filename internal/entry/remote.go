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

const summaryMaxAge = 5 * time.Second

// remoteServices holds the services that the other data centres have.
type remoteServices struct {
	vm        conf.VM
	cluster   *conf.Cluster
	mu        sync.Mutex
	summaries map[string]receivedSummary
}

// receivedSummary is the latest summary from a data centre.
type receivedSummary struct {
	slots      map[string]int
	receivedAt time.Time
}

func newRemoteServices(vm conf.VM, cluster *conf.Cluster) *remoteServices {
	return &remoteServices{vm: vm, cluster: cluster, summaries: make(map[string]receivedSummary)}
}

func (r *remoteServices) update(summary *Summary, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.summaries[summary.DataCentre] = receivedSummary{slots: summary.Slots, receivedAt: now}
}

func (r *remoteServices) has(service string) bool {
	return len(r.dataCentresWith(service, time.Now())) > 0
}

// dataCentresWith returns the data centres that have a service, those in this VM's region first.
func (r *remoteServices) dataCentresWith(service string, now time.Time) []conf.DataCentre {
	r.mu.Lock()
	defer r.mu.Unlock()

	var sameRegion, otherRegions []conf.DataCentre

	for _, dataCentre := range r.cluster.DataCentres {
		received, ok := r.summaries[dataCentre.Name]
		if !ok || received.slots[service] == 0 || now.Sub(received.receivedAt) > summaryMaxAge {
			continue
		}

		if dataCentre.Region == r.vm.Region() {
			sameRegion = append(sameRegion, dataCentre)
		} else {
			otherRegions = append(otherRegions, dataCentre)
		}
	}

	return append(sameRegion, otherRegions...)
}

// broadcastSummary sends the summary to every entry of each other data centre.
func (e *Entry) broadcastSummary() {
	summary := &Summary{DataCentre: e.vm.DataCentre(), Slots: e.table.slotsByService()}

	for _, dataCentre := range e.settings.ClusterMap().DataCentres {
		if dataCentre.Name == e.vm.DataCentre() {
			continue
		}

		for _, vm := range dataCentre.VMs {
			go e.sendSummary(vm.Entry, summary)
		}
	}
}

func (e *Entry) sendSummary(address string, summary *Summary) {
	ctx, cancel := context.WithTimeout(e.ctx, gossipTimeout)
	defer cancel()

	_, _ = wire.Call[Summary, SummaryReply](ctx, e.client, address, MethodSummary, summary)
}

func (e *Entry) handleSummary(_ context.Context, summary *Summary) (*SummaryReply, error) {
	e.remote.update(summary, time.Now())

	return &SummaryReply{}, nil
}

// tryRemote sends a request to a data centre that has its service. It tries the next one only if the
// request cannot have reached the previous one.
func (e *Entry) tryRemote(ctx context.Context, x *exchange) result {
	if x.localOnly {
		return notRun(fasthttp.StatusServiceUnavailable, "no upstream of "+x.service)
	}

	for _, dataCentre := range e.remote.dataCentresWith(x.service, time.Now()) {
		vm := dataCentre.VMs[rand.IntN(len(dataCentre.VMs))]

		r, reached := e.dispatchTo(ctx, x, vm.Entry)
		if reached {
			return r
		}
	}

	return notRun(fasthttp.StatusServiceUnavailable, "no upstream of "+x.service)
}

// dispatchTo asks another entry to run a request. It returns false if the entry cannot have received the request.
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

	r := resultFromReply(reply)
	e.recordRemote(x, r)

	return r, true
}

func (e *Entry) recordRemote(x *exchange, r result) {
	if x.intent != nil && r.outcome != mill.OutcomeNotRun {
		e.record(x, r)
	}
}

func resultFromReply(reply *DispatchReply) result {
	if reply.Response == nil {
		return result{outcome: reply.Outcome, status: reply.Status, reason: reply.Reason}
	}

	response := &fasthttp.Response{}
	response.Header.SetNoDefaultContentType(true)

	if err := response.Read(bufio.NewReader(bytes.NewReader(reply.Response))); err != nil {
		return unknown("malformed response from the other data centre")
	}

	return ran(response)
}

// handleDispatch runs a request from another data centre on an upstream of this one.
func (e *Entry) handleDispatch(_ context.Context, request *DispatchRequest) (*DispatchReply, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)

	x := &exchange{
		service:          request.Service,
		id:               request.ID,
		request:          &fasthttp.Request{},
		deadline:         time.Now().Add(time.Duration(request.DeadlineMilli) * time.Millisecond),
		idempotent:       request.Idempotent,
		maxResponseBytes: e.settings.Limits.AnswerBytes,
		localOnly:        true,
	}

	x.request.Header.DisableNormalizing()
	x.request.Header.SetNoDefaultContentType(true)

	if err := x.request.Read(bufio.NewReader(bytes.NewReader(request.Request))); err != nil {
		return &DispatchReply{
			Outcome: mill.OutcomeNotRun, Status: fasthttp.StatusBadRequest, Reason: err.Error(),
		}, nil
	}

	return e.newDispatchReply(e.run(x))
}

func (e *Entry) newDispatchReply(r result) (*DispatchReply, error) {
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
