package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TickTime is the length of one tick of a ledger.
const TickTime = 50 * time.Millisecond

const (
	proposeTime = 2 * time.Second
	wishTime    = 5 * time.Second
	maxWait     = 10 * time.Second
)

// waiter is a proposal that waits for its entry to be committed.
type waiter struct {
	ballot Ballot
	reply  chan proposed
}

// proposed is how a proposal ended.
type proposed struct {
	results []Result
	err     error
}

// Node is one copy of a ledger with its calls.
type Node struct {
	ledger  string
	replica *Replica
	driver  *drive.Driver[Message]
	control *ctrl.Watcher
	waiters map[uint64]waiter
	ctx     context.Context
	mu      sync.Mutex
	changed chan struct{}
	status  StatusReply
}

// OpenNode returns the copy that the storage holds; batch bounds the events
// that share one sync, 0 means the default.
func OpenNode(
	ctx context.Context, ledger string, self mill.Member, storage mill.Storage,
	client *wire.Client, control *ctrl.Watcher, batch int,
) (*Node, error) {
	replica, err := Open(ledger, self, storage)
	if err != nil {
		return nil, err
	}

	outbox := drive.NewOutbox[Message](ctx, client, MethodDeliver)
	n := &Node{
		ledger:  ledger,
		replica: replica,
		control: control,
		waiters: make(map[uint64]waiter),
		ctx:     ctx,
		changed: make(chan struct{}),
	}
	n.driver = drive.New[Message](replica, drive.Config[Message]{
		Storage:    storage,
		Send:       func(message Message) { outbox.Send(message.Address, message) },
		AfterBatch: n.settle,
		Tick:       TickTime,
		MaxBatch:   batch,
	})

	return n, nil
}

// Run replicates until the context ends or the storage fails.
func (n *Node) Run(ctx context.Context) error {
	go n.followEpochs(ctx)

	return n.driver.Run(ctx)
}

// HandOver passes the primacy on before a planned stop, and waits until that is
// in force or the context ends.
func (n *Node) HandOver(ctx context.Context) {
	for n.leadsOthers() && ctx.Err() == nil {
		_ = n.driver.Enqueue(n.replica.HandOver)

		time.Sleep(TickTime)
	}
}

func (n *Node) leadsOthers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.status.Leading && len(n.status.Epoch.Replicas) > 1
}

// Register adds the calls of the ledger to a server.
func (n *Node) Register(server *wire.Server) {
	wire.HandleStream(server, MethodDeliver, n.deliver)
	wire.Handle(server, MethodPropose, n.Propose)
	wire.Handle(server, MethodChanges, n.Changes)
	wire.Handle(server, MethodFind, n.find)
	wire.Handle(server, MethodStatus, n.answerStatus)
}

// Propose commits commands and returns the result of each; when it returns
// mill.ErrUnavailable they may or may not be committed later.
func (n *Node) Propose(ctx context.Context, request *ProposeRequest) (*ProposeReply, error) {
	if request.Ledger != n.ledger {
		return nil, merry.Prependf(mill.ErrNotFound, "ledger %q", request.Ledger)
	}

	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()

	reply := make(chan proposed, 1)

	if err := n.driver.Enqueue(func() { n.start(request.Commands, reply) }); err != nil {
		return nil, err
	}

	select {
	case done := <-reply:
		return &ProposeReply{Results: done.results}, done.err
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

// Changes answers as soon as a job has changed after the caller's index.
func (n *Node) Changes(ctx context.Context, request *ChangesRequest) (*ChangesReply, error) {
	timer := time.NewTimer(min(time.Duration(request.WaitMilli)*time.Millisecond, maxWait))
	defer timer.Stop()

	for {
		changed := n.changes()

		reply, err := n.readChanges(ctx, request)
		if err != nil || len(reply.Jobs) > 0 {
			return reply, err
		}

		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
		}
	}
}

func (n *Node) readChanges(ctx context.Context, request *ChangesRequest) (*ChangesReply, error) {
	reply := &ChangesReply{}

	err := n.read(ctx, func() {
		state := n.replica.State()
		reply.Commit = n.replica.Commit()
		reply.Jobs, reply.Index = state.Changes(request.Since, request.Limit, reply.Commit)
		reply.Leader = state.leader
		reply.Term = state.term
		reply.Renewals = state.renewals
	})

	return reply, err
}

// read runs a reader on the driver's goroutine of the primary.
func (n *Node) read(ctx context.Context, reader func()) error {
	done := make(chan error, 1)

	err := n.driver.Enqueue(func() {
		if !n.replica.Leading() {
			done <- mill.ErrNotPrimary

			return
		}

		reader()
		done <- nil
	})
	if err != nil {
		return err
	}

	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

func (n *Node) start(commands []Command, reply chan proposed) {
	epoch := n.replica.Epoch()
	if !epoch.Durable() {
		dryRun(commands)
	}

	index, ballot, err := n.replica.Propose(commands)
	if err != nil {
		reply <- proposed{err: err}

		return
	}

	n.waiters[index] = waiter{ballot: ballot, reply: reply}
}

// dryRun keeps intents from being recorded where no disk would hold them. They
// still go through the log, since only then is the answer about their keys sure.
func dryRun(commands []Command) {
	for i := range commands {
		if commands[i].Begin != nil {
			commands[i].Begin.Dry = true
		}
	}
}

// withoutDisk takes back the leave to run what no disk has recorded, when the
// durable replicas were lost while it was under way.
func withoutDisk(results []Result) {
	for i := range results {
		if results[i].Status == StatusNew {
			results[i].Status = StatusNotSynced
		}
	}
}

// settle answers what was committed; it runs on the driver's goroutine.
func (n *Node) settle() {
	applied := n.replica.TakeApplied()

	for i := range applied {
		n.answer(&applied[i])
	}

	if !n.replica.Leading() {
		n.dropWaiters()
	}

	if epoch, ok := n.replica.Wish(); ok {
		go n.ask(epoch)
	}

	n.publish(len(applied) > 0)
}

func (n *Node) answer(applied *Applied) {
	w, ok := n.waiters[applied.Entry.Index]
	if !ok {
		return
	}

	delete(n.waiters, applied.Entry.Index)

	if w.ballot != applied.Entry.Ballot {
		w.reply <- proposed{err: mill.ErrUnavailable}

		return
	}

	if epoch := n.replica.Epoch(); !epoch.Durable() {
		withoutDisk(applied.Results)
	}

	w.reply <- proposed{results: applied.Results}
}

func (n *Node) dropWaiters() {
	for index, w := range n.waiters {
		w.reply <- proposed{err: merry.Prepend(mill.ErrUnavailable, "the primary changed", merry.NoCaptureStack())}

		delete(n.waiters, index)
	}
}

// ask brings a wish before the control log until that has accepted or refused it.
func (n *Node) ask(epoch mill.Epoch) {
	log.Info().Str("ledger", n.ledger).Uint64("epoch", epoch.Number).Str("primary", epoch.Primary.VM).
		Int("replicas", len(epoch.Replicas)).Msg("asking for a new epoch")

	for n.ctx.Err() == nil {
		verdict, err := n.propose(&epoch)
		if err != nil {
			continue
		}

		if !verdict.Accepted {
			log.Info().Str("ledger", n.ledger).Uint64("epoch", epoch.Number).Str("reason", verdict.Reason).
				Msg("epoch refused")

			n.retryDo(func() { n.replica.WishRefused(epoch) })
		}

		return
	}
}

func (n *Node) propose(epoch *mill.Epoch) (*ctrl.Verdict, error) {
	ctx, cancel := context.WithTimeout(n.ctx, wishTime)
	defer cancel()

	return n.control.Propose(ctx, &ctrl.Command{Epoch: epoch, UnixMilli: time.Now().UnixMilli()})
}

func (n *Node) followEpochs(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.control.Changed()
		epoch := n.control.View().Epoch(n.ledger)

		if epoch.Number > 0 {
			n.retryDo(func() { n.replica.SetEpoch(epoch) })
		}

		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// retryDo runs an event that must not be lost when the ring is full.
func (n *Node) retryDo(event func()) {
	for n.ctx.Err() == nil {
		if err := n.driver.Enqueue(event); !errors.Is(err, mill.ErrFull) {
			return
		}

		time.Sleep(time.Millisecond)
	}
}

func (n *Node) publish(changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.status = StatusReply{
		VM:        n.replica.self.VM,
		Identity:  n.replica.self.Identity,
		Leading:   n.replica.Leading(),
		Epoch:     n.replica.Epoch(),
		Commit:    n.replica.Commit(),
		Last:      n.replica.log.last(),
		Scheduler: n.replica.State().leader,
		Term:      n.replica.State().term,
	}

	if changed {
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

func (n *Node) changes() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.changed
}

func (n *Node) deliver(_ context.Context, batch *drive.Batch[Message]) (*drive.Receipt, error) {
	for i := range batch.Messages {
		n.driver.Deliver(batch.Messages[i])
	}

	return &drive.Receipt{}, nil
}

func (n *Node) find(ctx context.Context, request *FindRequest) (*FindReply, error) {
	reply := &FindReply{}

	err := n.read(ctx, func() {
		reply.Job, reply.Found = n.replica.State().Find(request.Job)
	})

	return reply, err
}

func (n *Node) answerStatus(context.Context, *StatusRequest) (*StatusReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	status := n.status

	return &status, nil
}
