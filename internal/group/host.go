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

// Config holds what a Host needs.
type Config struct {
	Self raft.Server
	// Peers are the addresses at which a server that is no voter asks for admission.
	Peers   []raft.Server
	Storage mill.Storage
	Client  *wire.Client
	// Method names the stream by which servers deliver messages to each other.
	Method  string
	Seed    uint64
	Machine raft.StateMachine
	// Settled runs on the driver's goroutine each time the server has settled; it may be nil.
	Settled func()
}

// Role is what this process is to the group.
type Role struct {
	Leading bool
	// Current says that an entry of the term is committed: a leader then knows all
	// that earlier ones have committed.
	Current bool
	Term    uint64
	// Leader is empty while none is known.
	Leader  raft.Server
	Commit  uint64
	Members raft.Membership
}

// waiter is a proposal that waits for its entry to be committed.
type waiter struct {
	term uint64
	done func(err error)
}

// Host is this process's server of a group.
type Host struct {
	config  Config
	node    *raft.Node
	driver  *drive.Driver[raft.Message]
	waiters map[uint64]waiter
	role    atomic.Pointer[Role]
	disk    slowDisk
}

// Open returns the server that the storage holds.
func Open(ctx context.Context, config Config) (*Host, error) {
	h := &Host{config: config, waiters: make(map[uint64]waiter)}
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
		AfterBatch: h.settle,
		OnAppend:   h.stored,
		Tick:       TickTime,
	})

	return h, nil
}

// Run takes part in the group until the context ends or the storage fails.
func (h *Host) Run(ctx context.Context) error {
	return h.driver.Run(ctx)
}

// Register adds the group's stream to a server.
func (h *Host) Register(server *wire.Server) {
	wire.HandleStream(server, h.config.Method, h.deliver)
}

// Role returns what this process is to the group as far as it knows.
func (h *Host) Role() Role {
	return *h.role.Load()
}

// Do runs an event on the driver's goroutine later, or returns mill.ErrFull.
func (h *Host) Do(event func()) error {
	return h.driver.Enqueue(event)
}

// Propose adds data to the log. It calls done once: with nil on the driver's
// goroutine, right after the data was applied, with mill.ErrNotPrimary or
// mill.ErrFull when it never will be, and with mill.ErrUnavailable when that is open.
func (h *Host) Propose(data []byte, done func(err error)) {
	if err := h.driver.Enqueue(func() { h.start(data, done) }); err != nil {
		done(err)
	}
}

// SetPeers replaces the addresses at which a server that is no voter asks for admission.
func (h *Host) SetPeers(peers []raft.Server) error {
	return h.driver.Enqueue(func() { h.node.SetPeers(peers) })
}

// HandOver passes the lead on before a planned stop, and waits until another
// server has it or the context ends.
func (h *Host) HandOver(ctx context.Context) {
	if err := h.driver.Enqueue(func() { h.node.TransferLeadership() }); err != nil {
		return
	}

	for h.role.Load().Leader.Identity == h.config.Self.Identity && ctx.Err() == nil {
		drive.Pause(ctx, TickTime)
	}
}

func (h *Host) start(data []byte, done func(err error)) {
	index, term, err := h.node.Propose(data)
	if err != nil {
		done(err)

		return
	}

	h.waiters[index] = waiter{term: term, done: done}
}

// stored passes the lead on when this server's disk holds the group up.
func (h *Host) stored(took time.Duration) {
	if !h.node.Leading() || !h.disk.observe(took, time.Now()) {
		return
	}

	passed := h.node.TransferLeadership()
	log.Warn().Dur("took", took).Bool("passed", passed).Msg("slow disk: passing the lead on")
}

// settle publishes what the server has come to; it runs on the driver's goroutine.
func (h *Host) settle() {
	leader, _ := h.node.Leader()
	h.role.Store(&Role{
		Leading: h.node.Leading(),
		Current: h.node.CommittedInTerm(),
		Term:    h.node.Term(),
		Leader:  leader,
		Commit:  h.node.CommitIndex(),
		Members: h.node.Membership(),
	})

	if !h.node.Leading() {
		h.dropWaiters()
	}

	if h.config.Settled != nil {
		h.config.Settled()
	}
}

// dropWaiters gives up on entries that another leader may replace.
func (h *Host) dropWaiters() {
	for index, w := range h.waiters {
		w.done(errLeaderChanged())

		delete(h.waiters, index)
	}
}

func errLeaderChanged() error {
	return merry.Prepend(mill.ErrUnavailable, "the leader changed", merry.NoCaptureStack())
}

func (h *Host) deliver(_ context.Context, batch *drive.Batch[raft.Message]) (*drive.Receipt, error) {
	for _, message := range batch.Messages {
		h.driver.Deliver(message)
	}

	return &drive.Receipt{}, nil
}

// applier is the Host as the state machine of its node.
type applier Host

// Apply executes committed data and ends the proposal that it came by.
func (a *applier) Apply(index uint64, data []byte) {
	a.config.Machine.Apply(index, data)

	w, ok := a.waiters[index]
	if !ok {
		return
	}

	delete(a.waiters, index)

	// Another leader may have put its own entry in the place of the proposal.
	if !a.node.Leading() || a.node.Term() != w.term {
		w.done(errLeaderChanged())

		return
	}

	w.done(nil)
}

// Save returns the stored form of the state.
func (a *applier) Save() ([]byte, error) {
	return a.config.Machine.Save()
}

// Load replaces the state by a stored form.
func (a *applier) Load(data []byte) error {
	return a.config.Machine.Load(data)
}
