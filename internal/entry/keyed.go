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
	firstPoll     = 10 * time.Millisecond
	maxPoll       = 200 * time.Millisecond
	aliveTime     = 500 * time.Millisecond
	recordTime    = 5 * time.Second
	voidTime      = 2 * time.Second
	replayedValue = "true"
	// headerReplayed marks an answer that was recorded earlier.
	headerReplayed = "Mill-Replayed"
)

func (e *Entry) newKeyed(x *exchange, key string) *keyed {
	declared, _ := e.control.View().Declarations.FindService(x.service)

	team := declared.Team
	if sent := x.request.Header.Peek(mill.HeaderTeam); len(sent) > 0 {
		team = string(sent)
	}

	return &keyed{
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

// home returns the data centre whose ledger holds the intents: the team's, the
// service's, or the first of the cluster, which is the same at every entry.
func (e *Entry) home(team, declared string) string {
	if t, ok := e.control.View().Declarations.FindTeam(team); ok && t.Home != "" {
		return t.Home
	}

	if declared != "" {
		return declared
	}

	return e.settings.ClusterMap().DataCentres[0].Name
}

// digestOf tells whether two requests with one key are the same request.
func digestOf(request *fasthttp.Request) []byte {
	hash := sha256.New()

	for _, part := range [][]byte{request.Header.Method(), request.Header.RequestURI(), request.Body()} {
		hash.Write(part)
		hash.Write([]byte{0})
	}

	return hash.Sum(nil)
}

// runKeyed commits the intent before any byte goes to an upstream.
func (e *Entry) runKeyed(ctx context.Context, x *exchange) result {
	poll := firstPoll

	for {
		begun, err := e.intents.Propose(ctx, x.keyed.home, ledger.Command{Begin: &ledger.Begin{
			Key: x.keyed.key, Digest: x.keyed.digest, Attempt: x.keyed.attempt,
		}})
		if err != nil {
			// This entry will never dispatch it, but nobody can tell what became
			// of the key when it was sent before.
			e.voidLater(x)

			return unknown("the ledger of " + x.keyed.home + " did not answer")
		}

		if begun.Status != ledger.StatusInFlight {
			return e.proceed(ctx, x, &begun)
		}

		if !e.ownerAlive(ctx, begun.Owner) {
			return unknown("the entry that ran it is gone")
		}

		if time.Until(x.deadline) <= poll {
			return result{
				outcome: mill.OutcomeUnknown,
				status:  fasthttp.StatusConflict,
				reason:  "the same request is in flight",
			}
		}

		time.Sleep(poll)
		poll = min(2*poll, maxPoll)
	}
}

func (e *Entry) proceed(ctx context.Context, x *exchange, begun *ledger.Result) result {
	switch begun.Status {
	case ledger.StatusNew:
		return e.runOwned(ctx, x)
	case ledger.StatusNotSynced:
		e.void(x)

		return notRun(fasthttp.StatusServiceUnavailable, "no disk can record the intent")
	case ledger.StatusDone:
		return e.replay(begun.Answer)
	case ledger.StatusMismatch:
		return notRun(fasthttp.StatusUnprocessableEntity, "the key was used for another request")
	case ledger.StatusUnknown:
		return unknown("nobody knows whether it ran")
	default:
		return notRun(fasthttp.StatusServiceUnavailable, "the intent was withdrawn")
	}
}

// runOwned runs a request whose intent is this entry's, and commits the void
// before it says "not run".
func (e *Entry) runOwned(ctx context.Context, x *exchange) result {
	r := e.runOnce(ctx, x)
	if r.outcome != mill.OutcomeNotRun {
		return r
	}

	e.void(x)

	return r
}

// void withdraws the intent, and goes on in the background when the ledger
// does not answer: the request has not run and will not, whatever comes first.
func (e *Entry) void(x *exchange) {
	ctx, cancel := context.WithTimeout(e.ctx, voidTime)
	defer cancel()

	if _, err := e.intents.Propose(ctx, x.keyed.home, voidOf(x)); err != nil {
		e.voidLater(x)
	}
}

func (e *Entry) replay(answer *ledger.Answer) result {
	e.counters.replays.Inc(1)

	response := &fasthttp.Response{}
	response.Header.SetNoDefaultContentType(true)

	if answer.Oversize {
		return result{
			outcome: mill.OutcomeRan,
			status:  fasthttp.StatusInternalServerError,
			reason:  "it ran; its answer was too large to record",
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

// record commits the answer, or that there will be none, until it succeeds.
func (e *Entry) record(x *exchange, r result) {
	command := ledger.Command{Abandon: &ledger.Abandon{Key: x.keyed.key, Attempt: x.keyed.attempt}}

	if r.outcome == mill.OutcomeRan {
		command = ledger.Command{Finish: &ledger.Finish{
			Key: x.keyed.key, Attempt: x.keyed.attempt, Answer: e.answerOf(r.response),
		}}
	}

	e.commitLater(x.keyed.home, command)
}

func (e *Entry) answerOf(response *fasthttp.Response) ledger.Answer {
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
	e.commitLater(x.keyed.home, voidOf(x))
}

func voidOf(x *exchange) ledger.Command {
	return ledger.Command{Void: &ledger.Void{Key: x.keyed.key, Attempt: x.keyed.attempt}}
}

// commitLater commits a command in the background for as long as the entry lives.
func (e *Entry) commitLater(home string, command ledger.Command) {
	e.inFlight.Add(1)

	err := e.recorders.Submit(func() {
		defer e.inFlight.Add(-1)
		e.commitUntilDone(home, command)
	})
	if err != nil {
		e.inFlight.Add(-1)
		log.Error().Err(err).Msg("answer not recorded: resends of its key will not learn of it")
	}
}

func (e *Entry) commitUntilDone(home string, command ledger.Command) {
	for e.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(e.ctx, recordTime)
		_, err := e.intents.Propose(ctx, home, command)

		cancel()

		if err == nil {
			return
		}

		time.Sleep(maxPoll)
	}
}

// ownerAlive reports whether the owner of an intent still runs as the
// incarnation that recorded it, so that the intent will come to an end.
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

	ctx, cancel := context.WithTimeout(ctx, aliveTime)
	defer cancel()

	incarnation, err := e.incarnationOf(ctx, vm)

	return err == nil && incarnation == owner.Incarnation
}

func (e *Entry) askIncarnation(ctx context.Context, vm conf.VM) (uint64, error) {
	reply, err := wire.Call[AliveRequest, AliveReply](ctx, e.client, vm.Entry, MethodAlive, &AliveRequest{})
	if err != nil {
		return 0, err
	}

	return reply.Incarnation, nil
}

func (e *Entry) answerAlive(context.Context, *AliveRequest) (*AliveReply, error) {
	return &AliveReply{Incarnation: e.incarnation}, nil
}
