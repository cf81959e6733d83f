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

// TickTime is the duration of one tick of a ledger.
const TickTime = 50 * time.Millisecond

const (
	proposeTimeout      = 2 * time.Second
	epochRequestTimeout = 5 * time.Second
	maxChangesWait      = 10 * time.Second
)

// pendingProposal is a proposal whose entry is not committed yet.
type pendingProposal struct {
	ballot Ballot
	reply  chan proposalOutcome
}

// proposalOutcome holds the results of a proposal or the error it failed with.
type proposalOutcome struct {
	results []Result
	err     error
}

// Node runs a replica of a ledger and serves its RPC methods.
type Node struct {
	ledger    string
	replica   *Replica
	driver    *drive.Driver[Message]
	control   *ctrl.Watcher
	proposals map[uint64]pendingProposal
	ctx       context.Context
	mu        sync.Mutex
	changed   chan struct{}
	status    StatusReply
}

// OpenNode restores a replica from its storage. batch is the maximum number of
// events that share one sync; 0 means the default.
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
		ledger:    ledger,
		replica:   replica,
		control:   control,
		proposals: make(map[uint64]pendingProposal),
		ctx:       ctx,
		changed:   make(chan struct{}),
	}
	n.driver = drive.New[Message](replica, drive.Config[Message]{
		Storage:    storage,
		Send:       func(message Message) { outbox.Send(message.Address, message) },
		AfterBatch: n.afterBatch,
		Tick:       TickTime,
		MaxBatch:   batch,
	})

	return n, nil
}

// Run runs the replica until the context ends or the storage fails.
func (n *Node) Run(ctx context.Context) error {
	go n.followEpochs(ctx)

	return n.driver.Run(ctx)
}

// TransferPrimary makes another replica the primary before a planned stop. It waits
// until the new epoch is in force or the context ends.
func (n *Node) TransferPrimary(ctx context.Context) {
	for n.leadsBackups() && ctx.Err() == nil {
		_ = n.driver.Enqueue(n.replica.TransferPrimary)

		time.Sleep(TickTime)
	}
}

func (n *Node) leadsBackups() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.status.Leading && len(n.status.Epoch.Replicas) > 1
}

// Register registers the RPC methods of the ledger with a server.
func (n *Node) Register(server *wire.Server) {
	wire.HandleStream(server, MethodDeliver, n.deliver)
	wire.Handle(server, MethodPropose, n.Propose)
	wire.Handle(server, MethodChanges, n.Changes)
	wire.Handle(server, MethodFind, n.find)
	wire.Handle(server, MethodStatus, n.getStatus)
}

// Propose commits commands and returns the result of each. After
// mill.ErrUnavailable they may or may not be committed later.
func (n *Node) Propose(ctx context.Context, request *ProposeRequest) (*ProposeReply, error) {
	if request.Ledger != n.ledger {
		return nil, merry.Prependf(mill.ErrNotFound, "ledger %q", request.Ledger)
	}

	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()

	reply := make(chan proposalOutcome, 1)

	if err := n.driver.Enqueue(func() { n.startProposal(request.Commands, reply) }); err != nil {
		return nil, err
	}

	select {
	case outcome := <-reply:
		return &ProposeReply{Results: outcome.results}, outcome.err
	case <-ctx.Done():
		return nil, merry.Prepend(mill.ErrUnavailable, ctx.Err().Error(), merry.NoCaptureStack())
	}
}

// Changes returns as soon as a job has changed after the caller's index, or when
// the wait has timed out.
func (n *Node) Changes(ctx context.Context, request *ChangesRequest) (*ChangesReply, error) {
	timer := time.NewTimer(min(time.Duration(request.WaitMilli)*time.Millisecond, maxChangesWait))
	defer timer.Stop()

	for {
		changed := n.changeSignal()

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
		reply.Commit = n.replica.CommitIndex()
		reply.Jobs, reply.Index = state.Changes(request.Since, request.Limit, reply.Commit)
		reply.Leader = state.scheduler
		reply.Term = state.term
		reply.Renewals = state.renewals
	})

	return reply, err
}

// read runs a reader on the driver's goroutine if this replica is the primary.
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

func (n *Node) startProposal(commands []Command, reply chan proposalOutcome) {
	epoch := n.replica.Epoch()
	if !epoch.Durable() {
		markDryRun(commands)
	}

	index, ballot, err := n.replica.Propose(commands)
	if err != nil {
		reply <- proposalOutcome{err: err}

		return
	}

	n.proposals[index] = pendingProposal{ballot: ballot, reply: reply}
}

// markDryRun keeps intents from being recorded when no replica has a disk. The
// commands still go through the log, since only a committed command gives a
// reliable answer about its key.
func markDryRun(commands []Command) {
	for i := range commands {
		if commands[i].Begin != nil {
			commands[i].Begin.DryRun = true
		}
	}
}

// replaceNewByNotSynced revokes the permission to run requests whose intents no
// disk has recorded, since the durable replicas were lost before the commit.
func replaceNewByNotSynced(results []Result) {
	for i := range results {
		if results[i].Status == StatusNew {
			results[i].Status = StatusNotSynced
		}
	}
}

// afterBatch completes the proposals whose entries were committed. It runs on
// the driver's goroutine.
func (n *Node) afterBatch() {
	applied := n.replica.TakeApplied()

	for i := range applied {
		n.completeProposal(&applied[i])
	}

	if !n.replica.Leading() {
		n.failProposals()
	}

	if epoch, ok := n.replica.TakeEpochRequest(); ok {
		go n.requestEpoch(epoch)
	}

	n.publish(len(applied) > 0)
}

func (n *Node) completeProposal(applied *Applied) {
	proposal, ok := n.proposals[applied.Entry.Index]
	if !ok {
		return
	}

	delete(n.proposals, applied.Entry.Index)

	if proposal.ballot != applied.Entry.Ballot {
		proposal.reply <- proposalOutcome{err: mill.ErrUnavailable}

		return
	}

	if epoch := n.replica.Epoch(); !epoch.Durable() {
		replaceNewByNotSynced(applied.Results)
	}

	proposal.reply <- proposalOutcome{results: applied.Results}
}

func (n *Node) failProposals() {
	for index, proposal := range n.proposals {
		proposal.reply <- proposalOutcome{err: merry.Prepend(mill.ErrUnavailable, "the primary changed", merry.NoCaptureStack())}

		delete(n.proposals, index)
	}
}

// requestEpoch proposes an epoch to the control log until it is accepted or refused.
func (n *Node) requestEpoch(epoch mill.Epoch) {
	log.Info().Str("ledger", n.ledger).Uint64("epoch", epoch.Number).Str("primary", epoch.Primary.VM).
		Int("replicas", len(epoch.Replicas)).Msg("requesting a new epoch")

	for n.ctx.Err() == nil {
		verdict, err := n.proposeEpoch(&epoch)
		if err != nil {
			continue
		}

		if !verdict.Accepted {
			log.Info().Str("ledger", n.ledger).Uint64("epoch", epoch.Number).Str("reason", verdict.Reason).
				Msg("epoch refused")

			n.enqueueWithRetry(func() { n.replica.EpochRefused(epoch) })
		}

		return
	}
}

func (n *Node) proposeEpoch(epoch *mill.Epoch) (*ctrl.Verdict, error) {
	ctx, cancel := context.WithTimeout(n.ctx, epochRequestTimeout)
	defer cancel()

	return n.control.Propose(ctx, &ctrl.Command{Epoch: epoch, UnixMilli: time.Now().UnixMilli()})
}

func (n *Node) followEpochs(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.control.Changed()
		epoch := n.control.View().Epoch(n.ledger)

		if epoch.Number > 0 {
			n.enqueueWithRetry(func() { n.replica.SetEpoch(epoch) })
		}

		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// enqueueWithRetry queues an event that must not be dropped when the queue is full.
func (n *Node) enqueueWithRetry(event func()) {
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
		Commit:    n.replica.CommitIndex(),
		Last:      n.replica.log.last(),
		Scheduler: n.replica.State().scheduler,
		Term:      n.replica.State().term,
	}

	if changed {
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

func (n *Node) changeSignal() chan struct{} {
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

func (n *Node) getStatus(context.Context, *StatusRequest) (*StatusReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	status := n.status

	return &status, nil
}
