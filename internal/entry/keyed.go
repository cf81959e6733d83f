package entry

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/ledger"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	minPollInterval = 10 * time.Millisecond
	maxPollInterval = 200 * time.Millisecond
	aliveTimeout    = 500 * time.Millisecond
	recordTimeout   = 5 * time.Second
	voidTimeout     = 2 * time.Second
	replayedValue   = "true"
	// headerReplayed marks a response that was recorded earlier.
	headerReplayed = "Mill-Replayed"
)

func (e *Entry) newIntent(x *exchange, key string) *intent {
	declared, _ := e.control.View().Declarations.FindService(x.service)

	team := declared.Team
	if sent := x.request.Header.Peek(mill.HeaderTeam); len(sent) > 0 {
		team = string(sent)
	}

	return &intent{
		home:   e.home(team, declared.Home),
		key:    team + "\x00" + x.service + "\x00" + key,
		digest: digestOf(x.request),
		attempt: ledger.Attempt{
			Owner:       e.vm.Name,
			Incarnation: e.incarnation,
			Sequence:    e.sequence.Add(1),
		},
	}
}

// home returns the data centre whose ledger holds the intents: the team's home, the service's home,
// or the first data centre of the cluster file, which is the same on every entry.
func (e *Entry) home(team, serviceHome string) string {
	if declared, ok := e.control.View().Declarations.FindTeam(team); ok && declared.Home != "" {
		return declared.Home
	}

	if serviceHome != "" {
		return serviceHome
	}

	return e.settings.ClusterMap().DataCentres[0].Name
}

// digestOf returns a hash of the request, which shows whether two requests with the same key are the same.
func digestOf(request *fasthttp.Request) []byte {
	hash := sha256.New()

	for _, part := range [][]byte{request.Header.Method(), request.Header.RequestURI(), request.Body()} {
		hash.Write(part)
		hash.Write([]byte{0})
	}

	return hash.Sum(nil)
}

// runKeyed commits the intent before any byte is sent to an upstream. While another attempt with the
// same key is in flight, it polls until that completes.
func (e *Entry) runKeyed(ctx context.Context, x *exchange) result {
	poll := minPollInterval

	for {
		reply, err := e.intents.Propose(ctx, x.intent.home, ledger.Command{Begin: &ledger.Begin{
			Key: x.intent.key, Digest: x.intent.digest, Attempt: x.intent.attempt,
		}})
		if err != nil {
			// This entry will not dispatch the request, but an earlier one with the same key may have run.
			e.voidLater(x)

			return unknown("the ledger of " + x.intent.home + " did not answer")
		}

		if reply.Status != ledger.StatusInFlight {
			return e.proceed(ctx, x, &reply)
		}

		if !e.ownerAlive(ctx, reply.Owner) {
			return unknown("the entry that owned the request has stopped or does not answer")
		}

		if time.Until(x.deadline) <= poll {
			return result{
				outcome: mill.OutcomeUnknown,
				status:  fasthttp.StatusConflict,
				reason:  "a request with the same key is in flight",
			}
		}

		time.Sleep(poll)
		poll = min(2*poll, maxPollInterval)
	}
}

func (e *Entry) proceed(ctx context.Context, x *exchange, reply *ledger.Result) result {
	switch reply.Status {
	case ledger.StatusNew:
		return e.runOwned(ctx, x)
	case ledger.StatusNotSynced:
		e.void(x)

		return notRun(fasthttp.StatusServiceUnavailable, "no replica can write the intent to its disk")
	case ledger.StatusDone:
		return e.replay(reply.Answer)
	case ledger.StatusMismatch:
		return notRun(fasthttp.StatusUnprocessableEntity, "the idempotency key was used for a different request")
	case ledger.StatusUnknown:
		return unknown("it is not known whether the request ran")
	default:
		return notRun(fasthttp.StatusServiceUnavailable, "the intent was withdrawn")
	}
}

// runOwned runs a request whose intent this entry owns. It withdraws the intent before it
// returns "not run".
func (e *Entry) runOwned(ctx context.Context, x *exchange) result {
	r := e.runOnce(ctx, x)
	if r.outcome != mill.OutcomeNotRun {
		return r
	}

	e.void(x)

	return r
}

// void withdraws the intent. If the ledger does not answer, it continues in the background: the
// request has not run and never will, whether or not the withdrawal is committed before the response.
func (e *Entry) void(x *exchange) {
	ctx, cancel := context.WithTimeout(e.ctx, voidTimeout)
	defer cancel()

	if _, err := e.intents.Propose(ctx, x.intent.home, voidCommand(x)); err != nil {
		e.voidLater(x)
	}
}

func (e *Entry) replay(answer *ledger.Answer) result {
	e.metrics.replays.Inc(1)

	response := &fasthttp.Response{}
	response.Header.SetNoDefaultContentType(true)

	if answer.Oversize {
		return result{
			outcome: mill.OutcomeRan,
			status:  fasthttp.StatusInternalServerError,
			reason:  "the request ran, but its response was too large to record",
		}
	}

	response.SetStatusCode(answer.Status)

	for _, header := range answer.Headers {
		response.Header.Add(header.Name, header.Value)
	}

	response.Header.Set(headerReplayed, replayedValue)
	response.SetBody(answer.Body)

	return ran(response)
}

// record commits the response, or that there will be none, in the background until it succeeds.
func (e *Entry) record(x *exchange, r result) {
	command := ledger.Command{Abandon: &ledger.Abandon{Key: x.intent.key, Attempt: x.intent.attempt}}

	if r.outcome == mill.OutcomeRan {
		command = ledger.Command{Finish: &ledger.Finish{
			Key: x.intent.key, Attempt: x.intent.attempt, Answer: e.recordedAnswer(r.response),
		}}
	}

	e.commitLater(x.intent.home, command)
}

func (e *Entry) recordedAnswer(response *fasthttp.Response) ledger.Answer {
	answer := ledger.Answer{Status: response.StatusCode()}

	if len(response.Body()) > e.settings.Limits.RecordedBytes {
		answer.Oversize = true

		return answer
	}

	answer.Body = append([]byte(nil), response.Body()...)

	for name, value := range response.Header.All() {
		if string(name) != fasthttp.HeaderContentLength && string(name) != fasthttp.HeaderConnection {
			answer.Headers = append(answer.Headers, ledger.Header{Name: string(name), Value: string(value)})
		}
	}

	return answer
}

func (e *Entry) voidLater(x *exchange) {
	e.commitLater(x.intent.home, voidCommand(x))
}

func voidCommand(x *exchange) ledger.Command {
	return ledger.Command{Void: &ledger.Void{Key: x.intent.key, Attempt: x.intent.attempt}}
}

// commitLater commits a command in the background, retrying until it succeeds or the entry stops.
func (e *Entry) commitLater(home string, command ledger.Command) {
	e.inFlight.Add(1)

	err := e.recordPool.Submit(func() {
		defer e.inFlight.Add(-1)
		e.commitUntilDone(home, command)
	})
	if err != nil {
		e.inFlight.Add(-1)
		log.Error().Err(err).Msg("outcome not recorded: retries with the same idempotency key will not see it")
	}
}

func (e *Entry) commitUntilDone(home string, command ledger.Command) {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, recordTimeout)
		_, err := e.intents.Propose(ctx, home, command)

		cancel()

		if err == nil {
			return
		}

		time.Sleep(maxPollInterval)
	}
}

// ownerAlive reports whether the entry that owns an intent is still the incarnation that recorded it,
// and hence will complete it.
func (e *Entry) ownerAlive(ctx context.Context, owner *ledger.Attempt) bool {
	if owner == nil {
		return false
	}

	if owner.Owner == e.vm.Name {
		return owner.Incarnation == e.incarnation
	}

	vm, ok := e.settings.ClusterMap().Find(owner.Owner)
	if !ok {
		return false
	}

	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()

	incarnation, err := e.incarnationOf(ctx, vm)

	return err == nil && incarnation == owner.Incarnation
}

func (e *Entry) fetchIncarnation(ctx context.Context, vm conf.VM) (uint64, error) {
	reply, err := wire.Call[AliveRequest, AliveReply](ctx, e.client, vm.Entry, MethodAlive, &AliveRequest{})
	if err != nil {
		return 0, err
	}

	return reply.Incarnation, nil
}

func (e *Entry) handleAlive(context.Context, *AliveRequest) (*AliveReply, error) {
	return &AliveReply{Incarnation: e.incarnation}, nil
}
