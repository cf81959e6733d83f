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

// TickTime is the length of one tick of the consensus.
const TickTime = group.TickTime

const (
	proposeTimeout = 2 * time.Second
	maxWatchWait   = 10 * time.Second
)

// proposalOutcome is the verdict on a proposal or the error it failed with.
type proposalOutcome struct {
	verdict Verdict
	err     error
}

// Server is one replica of the control log and serves its methods.
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

// Open returns a server that resumes from the storage.
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
		OnUpdate:     s.onUpdate,
	})
	if err != nil {
		return nil, err
	}

	s.host = host
	s.view.Store(s.state.View())
	s.status.Store(&StatusReply{VM: self.VM})

	return s, nil
}

// Run participates in the control log until the context ends or the storage fails.
func (s *Server) Run(ctx context.Context) error {
	return s.host.Run(ctx)
}

// TransferLeadership transfers leadership before a planned stop, and waits until another server leads or the
// context ends.
func (s *Server) TransferLeadership(ctx context.Context) {
	s.host.TransferLeadership(ctx)
}

// Register adds the handlers of the control log's methods to a server.
func (s *Server) Register(server *wire.Server) {
	s.host.Register(server)
	wire.Handle(server, MethodPropose, s.Propose)
	wire.Handle(server, MethodWatch, s.Watch)
	wire.Handle(server, MethodAudit, s.handleAudit)
	wire.Handle(server, MethodStatus, s.handleStatus)
}

// Propose commits a command and returns its verdict. If it returns mill.ErrUnavailable, the command
// may or may not be committed later.
func (s *Server) Propose(ctx context.Context, request *ProposeRequest) (*Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()

	verdict, err := s.proposeLocally(ctx, &request.Command)
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

// Watch replies as soon as the view is newer than that of the request, or after the requested wait.
func (s *Server) Watch(ctx context.Context, request *WatchRequest) (*WatchReply, error) {
	wait := min(time.Duration(request.WaitMilli)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)

	defer timer.Stop()

	for {
		changed := s.viewChanged()

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

// View returns the latest view of this server.
func (s *Server) View() *View {
	return s.view.Load()
}

// proposeLocally commits a command if this server leads.
func (s *Server) proposeLocally(ctx context.Context, command *Command) (*Verdict, error) {
	data, err := wire.Encode(command)
	if err != nil {
		return nil, err
	}

	reply := make(chan proposalOutcome, 1)

	s.host.Propose(data, func(err error) { reply <- proposalOutcome{verdict: s.state.Verdict(), err: err} })

	select {
	case done := <-reply:
		return &done.verdict, done.err
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

// onUpdate publishes changes of the status and the view. It runs on the driver's goroutine.
func (s *Server) onUpdate() {
	s.publishStatus()

	if s.state.view.Revision != s.view.Load().Revision {
		s.publishView()
	}
}

func (s *Server) publishView() {
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
		Current:  role.Leading && role.CommittedInTerm,
	}

	for _, server := range role.Members.Servers {
		status.Voters = append(status.Voters, server.VM)
	}

	s.status.Store(status)
}

func (s *Server) viewChanged() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.changed
}

func (s *Server) handleAudit(ctx context.Context, request *AuditRequest) (*AuditReply, error) {
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

func (s *Server) handleStatus(context.Context, *StatusRequest) (*StatusReply, error) {
	return s.status.Load(), nil
}
