package ctrl

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TickTime is the length of one tick of the control log.
const TickTime = 50 * time.Millisecond

const (
	proposeTime = 2 * time.Second
	maxWatch    = 10 * time.Second
)

// waiter is a proposal that waits for its entry to be committed.
type waiter struct {
	term  uint64
	reply chan proposed
}

// proposed is how a proposal ended.
type proposed struct {
	verdict Verdict
	err     error
}

// Server is one voter of the control log with its calls.
type Server struct {
	self    raft.Server
	node    *raft.Node
	state   *State
	driver  *drive.Driver[raft.Message]
	client  *wire.Client
	waiters map[uint64]waiter
	view    atomic.Pointer[View]
	leader  atomic.Pointer[raft.Server]
	status  atomic.Pointer[StatusReply]
	mu      sync.Mutex
	changed chan struct{}
}

// Open returns the voter that the storage holds.
func Open(
	ctx context.Context, self raft.Server, peers []raft.Server, storage mill.Storage, client *wire.Client, seed uint64,
) (*Server, error) {
	s := &Server{
		self:    self,
		state:   NewState(),
		client:  client,
		waiters: make(map[uint64]waiter),
		changed: make(chan struct{}),
	}

	node, err := raft.Open(self, peers, storage, (*applier)(s), seed)
	if err != nil {
		return nil, err
	}

	outbox := drive.NewOutbox[raft.Message](ctx, client, MethodDeliver)
	s.node = node
	s.view.Store(s.state.View())
	s.leader.Store(&raft.Server{})
	s.status.Store(&StatusReply{VM: self.VM})
	s.driver = drive.New[raft.Message](node, drive.Config[raft.Message]{
		Storage: storage,
		Send:    func(message raft.Message) { outbox.Send(message.Address, message) },
		After:   s.settle,
		Tick:    TickTime,
	})

	return s, nil
}

// Run takes part in the control log until the context ends or the storage fails.
func (s *Server) Run(ctx context.Context) error {
	return s.driver.Run(ctx)
}

// HandOver passes the lead on before a planned stop, and waits until another
// server has it or the context ends.
func (s *Server) HandOver(ctx context.Context) {
	if err := s.driver.Do(func() { s.node.HandOver() }); err != nil {
		return
	}

	for s.leader.Load().Identity == s.self.Identity && ctx.Err() == nil {
		pause(ctx, TickTime)
	}
}

// Register adds the calls of the control log to a server.
func (s *Server) Register(server *wire.Server) {
	wire.Handle(server, MethodDeliver, s.deliver)
	wire.Handle(server, MethodPropose, s.Propose)
	wire.Handle(server, MethodWatch, s.Watch)
	wire.Handle(server, MethodAudit, s.audit)
	wire.Handle(server, MethodStatus, s.answerStatus)
}

// Propose commits a command and returns the verdict on it; when it returns
// mill.ErrUnavailable the command may or may not be committed later.
func (s *Server) Propose(ctx context.Context, request *ProposeRequest) (*Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()

	verdict, err := s.proposeHere(ctx, &request.Command)
	if err == nil || request.Forwarded || !errors.Is(err, mill.ErrNotPrimary) {
		return verdict, err
	}

	leader := s.leader.Load()
	if leader.Identity == "" || leader.Identity == s.self.Identity {
		return nil, merry.Prepend(mill.ErrUnavailable, "the control log has no leader", merry.NoCaptureStack())
	}

	forwarded := &ProposeRequest{Command: request.Command, Forwarded: true}

	return wire.Call[ProposeRequest, Verdict](ctx, s.client, leader.Address, MethodPropose, forwarded)
}

// Watch answers as soon as the view is newer than the caller's.
func (s *Server) Watch(ctx context.Context, request *WatchRequest) (*WatchReply, error) {
	wait := min(time.Duration(request.WaitMilli)*time.Millisecond, maxWatch)
	timer := time.NewTimer(wait)

	defer timer.Stop()

	for {
		changed := s.changes()

		view := s.view.Load()
		if view.Revision > request.Revision {
			return s.watchReply(view, view), nil
		}

		select {
		case <-changed:
		case <-timer.C:
			return s.watchReply(view, nil), nil
		case <-ctx.Done():
			return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
		}
	}
}

func (s *Server) watchReply(known, sent *View) *WatchReply {
	return &WatchReply{
		Revision:   known.Revision,
		Leaderless: s.leader.Load().Identity == "",
		View:       sent,
	}
}

// View returns the latest view that this server knows.
func (s *Server) View() *View {
	return s.view.Load()
}

func (s *Server) proposeHere(ctx context.Context, command *Command) (*Verdict, error) {
	data, err := wire.Encode(command)
	if err != nil {
		return nil, err
	}

	reply := make(chan proposed, 1)

	if err := s.driver.Do(func() { s.start(data, reply) }); err != nil {
		return nil, err
	}

	select {
	case done := <-reply:
		return &done.verdict, done.err
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

func (s *Server) start(data []byte, reply chan proposed) {
	index, term, err := s.node.Propose(data)
	if err != nil {
		reply <- proposed{err: err}

		return
	}

	s.waiters[index] = waiter{term: term, reply: reply}
}

// settle publishes what the node has come to; it runs on the driver's goroutine.
func (s *Server) settle() {
	leader, _ := s.node.Leader()
	s.leader.Store(&leader)

	if !s.node.Leading() {
		s.dropWaiters()
	}

	s.publishStatus(leader)

	if s.state.view.Revision != s.view.Load().Revision {
		s.publish()
	}
}

// dropWaiters gives up on entries that another leader may replace.
func (s *Server) dropWaiters() {
	for index, w := range s.waiters {
		w.reply <- proposed{err: merry.Prepend(mill.ErrUnavailable, "the leader changed", merry.NoCaptureStack())}

		delete(s.waiters, index)
	}
}

func (s *Server) publish() {
	s.view.Store(s.state.View())

	s.mu.Lock()
	defer s.mu.Unlock()

	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) publishStatus(leader raft.Server) {
	status := &StatusReply{
		VM:       s.self.VM,
		Leader:   leader.VM,
		Term:     s.node.Term(),
		Commit:   s.node.Commit(),
		Revision: s.state.view.Revision,
	}

	membership := s.node.Membership()
	status.Voting = membership.Has(s.self.Identity)

	for _, server := range membership.Servers {
		status.Voters = append(status.Voters, server.VM)
	}

	s.status.Store(status)
}

func (s *Server) changes() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

func (s *Server) deliver(_ context.Context, batch *drive.Batch[raft.Message]) (*drive.Receipt, error) {
	for _, message := range batch.Messages {
		s.driver.Deliver(message)
	}

	return &drive.Receipt{}, nil
}

func (s *Server) audit(ctx context.Context, request *AuditRequest) (*AuditReply, error) {
	reply := make(chan []AuditRecord, 1)

	if err := s.driver.Do(func() { reply <- s.state.Audit(request.After, request.Limit) }); err != nil {
		return nil, err
	}

	select {
	case records := <-reply:
		return &AuditReply{Records: records}, nil
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

func (s *Server) answerStatus(context.Context, *StatusRequest) (*StatusReply, error) {
	return s.status.Load(), nil
}

// applier is the Server as the state machine of its node.
type applier Server

// Apply executes a committed command and answers the caller that waits for it.
func (a *applier) Apply(index uint64, data []byte) {
	a.state.Apply(index, data)

	w, ok := a.waiters[index]
	if !ok {
		return
	}

	delete(a.waiters, index)
	w.reply <- proposed{verdict: a.state.Verdict()}
}

// Save returns the stored form of the state.
func (a *applier) Save() ([]byte, error) {
	return a.state.Save()
}

// Load replaces the state by a stored form.
func (a *applier) Load(data []byte) error {
	return a.state.Load(data)
}
