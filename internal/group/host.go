package group

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/raft"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TickTime is the length of one tick of the consensus.
const TickTime = 50 * time.Millisecond

// Config configures a Host.
type Config struct {
	Self raft.Server
	// Peers are the servers that a non-voter asks for admission to the group.
	Peers   []raft.Server
	Storage mill.Storage
	Client  *wire.Client
	// Method is the name of the stream by which servers exchange messages.
	Method       string
	Seed         uint64
	StateMachine raft.StateMachine
	// OnUpdate is called on the driver's goroutine each time the server has processed events and
	// its role is published; it may be nil.
	OnUpdate func()
}

// Role is this process's view of the group and of its own part in it.
type Role struct {
	Leading bool
	// CommittedInTerm says that an entry of the term is committed: a leader then knows all
	// entries that earlier leaders have committed.
	CommittedInTerm bool
	Term            uint64
	// Leader is zero while none is known.
	Leader      raft.Server
	CommitIndex uint64
	Members     raft.Membership
}

// pendingProposal is a proposal whose entry is not committed yet.
type pendingProposal struct {
	term uint64
	done func(err error)
}

// Host is this process's server in a group.
type Host struct {
	config   Config
	node     *raft.Node
	driver   *drive.Driver[raft.Message]
	pending  map[uint64]pendingProposal
	role     atomic.Pointer[Role]
	slowDisk slowDiskDetector
	contact  contact
}

// Open returns a host whose server resumes from the storage.
func Open(ctx context.Context, config Config) (*Host, error) {
	h := &Host{config: config, pending: make(map[uint64]pendingProposal)}
	h.role.Store(&Role{})

	node, err := raft.Open(config.Self, config.Peers, config.Storage, (*applier)(h), config.Seed)
	if err != nil {
		return nil, err
	}

	outbox := drive.NewOutbox[raft.Message](ctx, config.Client, config.Method)
	h.node = node
	h.driver = drive.New[raft.Message](node, drive.Config[raft.Message]{
		Storage:    config.Storage,
		Send:       func(message raft.Message) { outbox.Send(message.Address, message) },
		AfterBatch: h.updateRole,
		OnAppend:   h.onAppend,
		OnTick:     h.contact.tick,
		Tick:       TickTime,
	})

	return h, nil
}

// Run participates in the group until the context ends or the storage fails.
func (h *Host) Run(ctx context.Context) error {
	return h.driver.Run(ctx)
}

// Register adds the handler of the group's messages to a server.
func (h *Host) Register(server *wire.Server) {
	drive.HandleBatches(server, h.config.Method, h.deliver)
}

// Role returns this process's current role.
func (h *Host) Role() Role {
	return *h.role.Load()
}

// SinceContact returns how long ago, at most, a majority of the voters answered this process as their leader. It is long
// if this process does not lead, and 0 if no other process could.
func (h *Host) SinceContact() time.Duration {
	role := h.role.Load()
	if role.Leading && len(role.Members.Servers) == 1 {
		return 0
	}

	return h.contact.since()
}

// Enqueue queues an event to run on the driver's goroutine, or returns mill.ErrFull.
func (h *Host) Enqueue(event func()) error {
	return h.driver.Enqueue(event)
}

// Propose appends data to the log. It calls done once: with nil on the driver's goroutine,
// right after the data was applied; with mill.ErrNotPrimary or mill.ErrFull if it never
// will be; and with mill.ErrUnavailable if the outcome is unknown.
func (h *Host) Propose(data []byte, done func(err error)) {
	if err := h.driver.Enqueue(func() { h.startProposal(data, done) }); err != nil {
		done(err)
	}
}

// SetPeers replaces the servers that a non-voter asks for admission to the group.
func (h *Host) SetPeers(peers []raft.Server) error {
	return h.driver.Enqueue(func() { h.node.SetPeers(peers) })
}

// TransferLeadership transfers leadership before a planned stop, and waits until another server
// leads or the context ends.
func (h *Host) TransferLeadership(ctx context.Context) {
	if err := h.driver.Enqueue(func() { h.node.TransferLeadership() }); err != nil {
		return
	}

	for h.role.Load().Leader.Identity == h.config.Self.Identity && ctx.Err() == nil {
		drive.Pause(ctx, TickTime)
	}
}

func (h *Host) startProposal(data []byte, done func(err error)) {
	index, term, err := h.node.Propose(data)
	if err != nil {
		done(err)

		return
	}

	h.pending[index] = pendingProposal{term: term, done: done}
}

// onAppend transfers leadership if this server's disk slows the group down.
func (h *Host) onAppend(took time.Duration) {
	if !h.node.Leading() || !h.slowDisk.observe(took, time.Now()) {
		return
	}

	transferred := h.node.TransferLeadership()
	log.Warn().Dur("took", took).Bool("passed", transferred).Msg("slow disk, transferring leadership")
}

// updateRole publishes the server's role after events were processed. It runs on the driver's goroutine.
func (h *Host) updateRole() {
	leader, _ := h.node.Leader()
	h.role.Store(&Role{
		Leading:         h.node.Leading(),
		CommittedInTerm: h.node.CommittedInTerm(),
		Term:            h.node.Term(),
		Leader:          leader,
		CommitIndex:     h.node.CommitIndex(),
		Members:         h.node.Membership(),
	})

	if h.node.Leading() {
		h.contact.answered(h.node.TicksSinceQuorum())
	} else {
		h.contact.lost()
		h.failPending()
	}

	if h.config.OnUpdate != nil {
		h.config.OnUpdate()
	}
}

// failPending fails the proposals whose entries another leader may replace.
func (h *Host) failPending() {
	for index, proposal := range h.pending {
		proposal.done(errLeaderChanged())

		delete(h.pending, index)
	}
}

func errLeaderChanged() error {
	return merry.Prepend(mill.ErrUnavailable, "the leader changed", merry.NoCaptureStack())
}

func (h *Host) deliver(messages []raft.Message) {
	for _, message := range messages {
		h.driver.Deliver(message)
	}
}

// applier implements raft.StateMachine for a Host.
type applier Host

// Apply applies committed data and completes its proposal, if it was made here.
func (a *applier) Apply(index uint64, data []byte) {
	a.config.StateMachine.Apply(index, data)

	proposal, ok := a.pending[index]
	if !ok {
		return
	}

	delete(a.pending, index)

	// Another leader may have replaced the proposal with its own entry.
	if !a.node.Leading() || a.node.Term() != proposal.term {
		proposal.done(errLeaderChanged())

		return
	}

	proposal.done(nil)
}

// Save returns a snapshot of the state.
func (a *applier) Save() ([]byte, error) {
	return a.config.StateMachine.Save()
}

// Load replaces the state with a snapshot.
func (a *applier) Load(data []byte) error {
	return a.config.StateMachine.Load(data)
}
