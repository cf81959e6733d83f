package ctrl

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/group"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TickTime is the length of one tick of the control log.
const TickTime = group.TickTime

const (
	proposeTime = 2 * time.Second
	maxWatch    = 10 * time.Second
)

// proposed is how a proposal ended.
type proposed struct {
	verdict Verdict
	err     error
}

// Server is one voter of the control log with its calls.
type Server struct {
	self    raft.Server
	state   *State
	host    *group.Host
	client  *wire.Client
	view    atomic.Pointer[View]
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
		changed: make(chan struct{}),
	}

	host, err := group.Open(ctx, group.Config{
		Self:         self,
		Peers:        peers,
		Storage:      storage,
		Client:       client,
		Method:       MethodDeliver,
		Seed:         seed,
		StateMachine: s.state,
		OnUpdate:     s.settle,
	})
	if err != nil {
		return nil, err
	}

	s.host = host
	s.view.Store(s.state.View())
	s.status.Store(&StatusReply{VM: self.VM})

	return s, nil
}

// Run takes part in the control log until the context ends or the storage fails.
func (s *Server) Run(ctx context.Context) error {
	return s.host.Run(ctx)
}

// HandOver passes the lead on before a planned stop, and waits until another
// server has it or the context ends.
func (s *Server) HandOver(ctx context.Context) {
	s.host.TransferLeadership(ctx)
}

// Register adds the calls of the control log to a server.
func (s *Server) Register(server *wire.Server) {
	s.host.Register(server)
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

	leader := s.host.Role().Leader
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
		Leaderless: s.host.Role().Leader.Identity == "",
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

	s.host.Propose(data, func(err error) { reply <- proposed{verdict: s.state.Verdict(), err: err} })

	select {
	case done := <-reply:
		return &done.verdict, done.err
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

// settle publishes what the node has come to; it runs on the driver's goroutine.
func (s *Server) settle() {
	s.publishStatus()

	if s.state.view.Revision != s.view.Load().Revision {
		s.publish()
	}
}

func (s *Server) publish() {
	s.view.Store(s.state.View())

	s.mu.Lock()
	defer s.mu.Unlock()

	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) publishStatus() {
	role := s.host.Role()
	status := &StatusReply{
		VM:       s.self.VM,
		Leader:   role.Leader.VM,
		Term:     role.Term,
		Commit:   role.CommitIndex,
		Revision: s.state.view.Revision,
		Voting:   role.Members.Has(s.self.Identity),
	}

	for _, server := range role.Members.Servers {
		status.Voters = append(status.Voters, server.VM)
	}

	s.status.Store(status)
}

func (s *Server) changes() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

func (s *Server) audit(ctx context.Context, request *AuditRequest) (*AuditReply, error) {
	reply := make(chan []AuditRecord, 1)

	if err := s.host.Enqueue(func() { reply <- s.state.Audit(request.After, request.Limit) }); err != nil {
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
