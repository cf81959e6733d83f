package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Sender sends orders to workers through relays. It is safe for concurrent use.
type Sender struct {
	self   string
	direct mill.WorkerOrders
	// dataCentreOf returns the data centre of a worker, or "" if it is not known.
	dataCentreOf func(worker string) string
	outbox       *drive.Outbox[Order]
	term         atomic.Uint64
	number       atomic.Uint64
	relayed      tally.Counter
	unrelayed    tally.Counter

	mu      sync.Mutex
	peers   map[string]*peer
	pending map[uint64]chan Reply
}

var _ mill.WorkerOrders = (*Sender)(nil)

// NewSender returns a sender for the process at the address self, which calls workers directly until relays are
// registered. Its streams end with the context.
func NewSender(
	ctx context.Context, self string, client *wire.Client, direct mill.WorkerOrders,
	dataCentreOf func(worker string) string, scope tally.Scope,
) *Sender {
	if scope == nil {
		scope = tally.NoopScope
	}

	outbox := drive.NewOutbox[Order](ctx, client, MethodOrder)
	outbox.SetInterval(batchInterval)

	return &Sender{
		self:         self,
		direct:       direct,
		dataCentreOf: dataCentreOf,
		outbox:       outbox,
		relayed:      scope.Counter("orders_relayed"),
		unrelayed:    scope.Counter("orders_direct"),
		peers:        make(map[string]*peer),
		pending:      make(map[uint64]chan Reply),
	}
}

// Add registers the process at an address as a relay for a data centre. It is used once it replies to a ping.
func (s *Sender) Add(address, dataCentre string, now time.Time) {
	if address == s.self || dataCentre == "" {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	p, ok := s.peers[address]
	if !ok {
		p = &peer{address: address}
		s.peers[address] = p
	}

	p.dataCentre = dataCentre
	p.registeredAt = now
}

// Run pings the relays and gives up on silent ones while this process leads in the term, until the context ends.
func (s *Sender) Run(ctx context.Context, term uint64) {
	s.term.Store(term)

	for ctx.Err() == nil {
		s.ping(term, time.Now())
		drive.Pause(ctx, pingInterval)
	}
}

func (s *Sender) ping(term uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for address, p := range s.peers {
		if now.Sub(p.registeredAt) > forgetAfter {
			delete(s.peers, address)
		}

		if p.lost != nil && !p.usable(now) {
			log.Warn().Str("relay", address).Dur("silent", now.Sub(p.heardAt)).
				Msg("relay does not answer, calling its workers directly")
			close(p.lost)

			p.lost = nil
		}

		s.outbox.Send(address, Order{Kind: kindPing, Term: term, From: s.self})
	}
}

// Receive handles replies of relays.
func (s *Sender) Receive(_ context.Context, batch *drive.Batch[Reply]) (*drive.Receipt, error) {
	now := time.Now()

	s.mu.Lock()
	defer s.mu.Unlock()

	for i := range batch.Messages {
		reply := &batch.Messages[i]

		if reply.Relay != "" {
			s.recordPong(reply, now)

			continue
		}

		if waiting, ok := s.pending[reply.Number]; ok {
			delete(s.pending, reply.Number)
			waiting <- *reply
		}
	}

	return &drive.Receipt{}, nil
}

func (s *Sender) recordPong(reply *Reply, now time.Time) {
	p, ok := s.peers[reply.Relay]
	if !ok {
		return
	}

	p.heardAt = now
	p.clockMilli = reply.RelayMilli
	p.clockAt = now

	if p.lost == nil {
		p.lost = make(chan struct{})

		log.Info().Str("relay", p.address).Str("dataCentre", p.dataCentre).Msg("relay answers, sending orders through it")
	}
}

// Start orders a worker to start a run.
func (s *Sender) Start(ctx context.Context, to mill.WorkerRef, order *mill.StartOrder) mill.OrderReply {
	reply, ok := s.send(ctx, to, &Order{
		Kind:             kindStart,
		Task:             order.Task,
		Run:              order.Run,
		Spec:             order.Spec,
		LeaseExpiryMilli: order.LeaseExpiryMilli,
		FencingToken:     order.FencingToken,
		Checkpoint:       order.Checkpoint,
		Ticket:           order.Ticket,
	})
	if !ok {
		return s.direct.Start(ctx, to, order)
	}

	return reply.order()
}

// Stop orders a worker to stop a run, or never to start it.
func (s *Sender) Stop(ctx context.Context, to mill.WorkerRef, run mill.RunRef, token uint64) mill.OrderReply {
	reply, ok := s.send(ctx, to, &Order{Kind: kindStop, Task: run.Task, Run: run.Run, FencingToken: token})
	if !ok {
		return s.direct.Stop(ctx, to, run, token)
	}

	return reply.order()
}

// Renew renews a worker's leases and returns its running and finished runs.
func (s *Sender) Renew(ctx context.Context, to mill.WorkerRef, order *mill.RenewOrder) mill.RenewReply {
	reply, ok := s.send(ctx, to, &Order{
		Kind:             kindRenew,
		LeaseExpiryMilli: order.LeaseExpiryMilli,
		FencingToken:     order.FencingToken,
		Acknowledged:     order.Acknowledged,
		WaitMilli:        order.Wait.Milliseconds(),
	})
	if !ok {
		return s.direct.Renew(ctx, to, order)
	}

	return reply.renewal()
}

// Pace sets the percentage of full speed at which a worker may run a task.
func (s *Sender) Pace(ctx context.Context, to mill.WorkerRef, order *mill.PaceOrder) mill.OrderReply {
	reply, ok := s.send(ctx, to, &Order{
		Kind: kindPace, Task: order.Task, Run: order.Run, FencingToken: order.FencingToken, Percent: order.Percent,
	})
	if !ok {
		return s.direct.Pace(ctx, to, order)
	}

	return reply.order()
}

// send sends an order through a relay and waits for the reply. The zero reply means that the order is unanswered:
// the context has ended, or the relay was lost, which may still pass the order on. send reports false if the
// worker is to be called directly, since no relay is usable or the one that was used has not passed the order on.
func (s *Sender) send(ctx context.Context, to mill.WorkerRef, order *Order) (Reply, bool) {
	now := time.Now()

	deadline, bounded := ctx.Deadline()
	if !bounded {
		return s.notRelayed()
	}

	address, lost, waiting := s.register(to.ID, order, now)
	if address == "" {
		return s.notRelayed()
	}

	defer s.unregister(order.Number)

	order.Term = s.term.Load()
	order.LimitMilli = deadline.Sub(now).Milliseconds()
	order.Worker, order.Address = to.ID, to.Address

	if !s.outbox.Send(address, *order) {
		return s.notRelayed()
	}

	select {
	case reply := <-waiting:
		s.relayed.Inc(1)

		return reply, reply.Outcome != mill.OutcomeNotSent
	case <-lost:
		return Reply{}, true
	case <-ctx.Done():
		return Reply{}, true
	}
}

// notRelayed counts an order for which the worker is to be called directly.
func (s *Sender) notRelayed() (Reply, bool) {
	s.unrelayed.Inc(1)

	return Reply{}, false
}

// register chooses a relay for a worker's order and registers the order as waiting for its reply. The
// address is "" if there is no usable relay.
func (s *Sender) register(
	worker string, order *Order, now time.Time,
) (address string, lost chan struct{}, waiting chan Reply) {
	dataCentre := s.dataCentreOf(worker)

	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.choose(dataCentre, now)
	if p == nil {
		return "", nil, nil
	}

	order.Number = s.number.Add(1)
	order.SentMilli = p.clock(now)
	waiting = make(chan Reply, 1)
	s.pending[order.Number] = waiting

	return p.address, p.lost, waiting
}

// choose returns the usable relay of a data centre that comes first by address, or nil.
func (s *Sender) choose(dataCentre string, now time.Time) *peer {
	var chosen *peer

	for _, p := range s.peers {
		if p.dataCentre == dataCentre && p.usable(now) && (chosen == nil || p.address < chosen.address) {
			chosen = p
		}
	}

	return chosen
}

func (s *Sender) unregister(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.pending, number)
}
