package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/boot"
	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxAge is how old an order may be when it is passed on. It is shorter than the time limit of an order, so that
// one that was held up is not carried out after its sender has given up on it.
const maxAge = 300 * time.Millisecond

// Server passes orders on to workers.
type Server struct {
	self    string
	workers mill.WorkerOrders
	pool    *ants.Pool
	outbox  *drive.Outbox[Reply]
	ctx     context.Context
	// leader is the process of the latest term that has sent a ping; nil before the first.
	leader atomic.Pointer[leader]
}

// NewServer returns a server for the process at the address self, which calls workers on the goroutine pool. All
// calls end with the context.
func NewServer(ctx context.Context, self string, client *wire.Client, workers mill.WorkerOrders, pool *ants.Pool) *Server {
	outbox := drive.NewOutbox[Reply](ctx, client, MethodReply)
	outbox.SetInterval(batchInterval)

	return &Server{
		self:    self,
		workers: workers,
		pool:    pool,
		outbox:  outbox,
		ctx:     ctx,
	}
}

// Receive handles orders from a scheduling process.
func (s *Server) Receive(_ context.Context, batch *drive.Batch[Order]) (*drive.Receipt, error) {
	now := boot.Milli()

	for i := range batch.Messages {
		s.handle(&batch.Messages[i], now)
	}

	return &drive.Receipt{}, nil
}

func (s *Server) handle(order *Order, nowMilli int64) {
	if order.Kind == kindPing {
		s.answerPing(order, nowMilli)

		return
	}

	current := s.leader.Load()

	// An order that is ahead of its sender's first ping cannot be answered, and that of an earlier term must
	// not be carried out: its sender may have been paused since before the term ended.
	if current == nil || order.Term != current.term {
		log.Warn().Uint64("term", order.Term).Str("worker", order.Worker).Msg("order of another term not passed on")

		return
	}

	if expired(order, nowMilli) {
		s.outbox.Send(current.address, Reply{Number: order.Number, Outcome: mill.OutcomeNotSent})

		return
	}

	if err := s.pool.Submit(func() { s.perform(order, current.address) }); err != nil {
		log.Warn().Err(err).Str("worker", order.Worker).Msg("too many orders at a time, order not passed on")
		s.outbox.Send(current.address, Reply{Number: order.Number, Outcome: mill.OutcomeNotSent})
	}
}

// expired reports whether an order is too old to be passed on. One whose age is not known counts as old.
func expired(order *Order, nowMilli int64) bool {
	return order.SentMilli == 0 || nowMilli-order.SentMilli > maxAge.Milliseconds()
}

func (s *Server) answerPing(order *Order, nowMilli int64) {
	for {
		current := s.leader.Load()
		if current != nil && (order.Term < current.term || *current == (leader{term: order.Term, address: order.From})) {
			break
		}

		if s.leader.CompareAndSwap(current, &leader{term: order.Term, address: order.From}) {
			log.Info().Uint64("term", order.Term).Str("leader", order.From).Msg("relaying orders for a leader")

			break
		}
	}

	if order.Term == s.leader.Load().term {
		s.outbox.Send(order.From, Reply{Relay: s.self, RelayMilli: nowMilli})
	}
}

// perform passes an order on and returns the worker's reply.
func (s *Server) perform(order *Order, replyTo string) {
	// The order may have waited for a goroutine while the VM was suspended.
	if expired(order, boot.Milli()) {
		s.outbox.Send(replyTo, Reply{Number: order.Number, Outcome: mill.OutcomeNotSent})

		return
	}

	ctx, cancel := context.WithTimeout(s.ctx, time.Duration(order.LimitMilli)*time.Millisecond)
	defer cancel()

	var reply mill.OrderReply

	switch order.Kind {
	case kindStart:
		reply = s.workers.Start(ctx, order.to(), order.start())
	case kindStop:
		reply = s.workers.Stop(ctx, order.to(), order.run(), order.FencingToken)
	case kindPace:
		reply = s.workers.Pace(ctx, order.to(), &mill.PaceOrder{
			RunRef: order.run(), FencingToken: order.FencingToken, Percent: order.Percent,
		})
	case kindRenew:
		renewed := s.workers.Renew(ctx, order.to(), order.renew())
		s.outbox.Send(replyTo, newRenewReply(order.Number, &renewed))

		return
	default:
		log.Error().Uint8("kind", uint8(order.Kind)).Msg("order of an unknown kind not passed on")

		return
	}

	s.outbox.Send(replyTo, Reply{Number: order.Number, Outcome: reply.Outcome, ClockMilli: reply.ClockMilli})
}
