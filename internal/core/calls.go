package core

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/lead"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/internal/relay"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func (c *Core) registerHandlers(server *wire.Server) {
	c.host.Register(server)
	drive.HandleBatches(server, MethodForward, c.receiveUpdates)
	wire.Handle(server, MethodSubmit, withDenials(c.callMetrics, "submit", c.submit))
	wire.Handle(server, MethodState, withDenials(c.callMetrics, "state", c.state))
	wire.Handle(server, MethodCancel, withDenials(c.callMetrics, "cancel", c.cancel))
	wire.Handle(server, MethodPending, withDenials(c.callMetrics, "pending", c.pending))
	wire.Handle(server, MethodConfigure, c.configure)
	wire.Handle(server, MethodConfigurePacked, c.configurePacked)
	wire.Handle(server, MethodSetup, c.setup)
	wire.Handle(server, MethodWave, c.wave)
	wire.Handle(server, MethodWaveState, c.waveState)
	wire.Handle(server, MethodContact, c.contact)
	wire.Handle(server, MethodFollow, c.follow)
	wire.Handle(server, MethodAdvise, NewAdviseHandler(c.config.Advisor))

	if c.relaySender != nil {
		wire.HandleStream(server, relay.MethodOrder, c.relayServer.Receive)
		wire.HandleStream(server, relay.MethodReply, c.relaySender.Receive)
	}
}

// NewAdviseHandler returns the handler of MethodAdvise, which asks the advisor.
func NewAdviseHandler(advisor mill.Advisor) func(ctx context.Context, request *AdviseRequest) (*AdviseReply, error) {
	return func(ctx context.Context, request *AdviseRequest) (*AdviseReply, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(request.LimitMilli)*time.Millisecond)
		defer cancel()

		advice, err := advisor.Advise(ctx, request.Step, request.Workers)
		if err != nil {
			return nil, err
		}

		return &AdviseReply{Advice: *advice}, nil
	}
}

// leadingRunner returns the runner if this process leads, and has shown so since it last stood still; else nil.
func (c *Core) leadingRunner() *lead.Runner {
	runner := c.runner.Load()
	if runner == nil || !runner.MayAct() {
		return nil
	}

	return runner
}

// checkLeading returns ErrNotPrimary unless this process leads and knows all committed entries.
func (c *Core) checkLeading() error {
	if c.leadingRunner() == nil {
		return merry.Prepend(mill.ErrNotPrimary, c.config.VM, merry.NoCaptureStack())
	}

	return nil
}

// confirmLeadership returns nil if this process knows all that any leader had committed when it was called.
func (c *Core) confirmLeadership(ctx context.Context) error {
	if err := c.checkLeading(); err != nil {
		return err
	}

	return c.confirmer.wait(ctx)
}

func (c *Core) receiveUpdates(updates []WorkerUpdate) {
	now := time.Now()

	for i := range updates {
		c.recordUpdate(&updates[i], now.Add(-time.Duration(updates[i].AgeMilli)*time.Millisecond))
	}
}

// recordUpdate records an update about a worker that a process received at the given time, and reports whether it was
// new.
func (c *Core) recordUpdate(update *WorkerUpdate, at time.Time) bool {
	runner := c.runner.Load()

	if update.Status == nil {
		c.workers.remove(update.Removed)

		if runner != nil {
			runner.WorkerLeaving(update.Removed)
		}

		return true
	}

	if !c.workers.add(update.Status, at) {
		return false
	}

	if runner != nil {
		runner.Report(update.Status, at)
	}

	return true
}

// peerAddresses returns the other core processes: from the membership in the log, or as
// learned from the leader while this process has no log.
func (c *Core) peerAddresses() []string {
	var addresses []string

	for _, server := range c.role().Members.Servers {
		addresses = append(addresses, server.Address)
	}

	if len(addresses) == 0 {
		addresses = c.leaderClient.addresses()
	}

	return slices.DeleteFunc(addresses, func(address string) bool { return address == c.config.Address })
}

// updateTargets returns the processes that need updates about workers: the leader alone, since
// what its successor must know is in the log, or all while no leader is known.
func (c *Core) updateTargets() []string {
	switch leader := c.role().Leader.Address; leader {
	case "":
		return c.peerAddresses()
	case c.config.Address:
		return nil
	default:
		return []string{leader}
	}
}

// forwardAll sends all recent worker statuses to a new leader.
func (c *Core) forwardAll() {
	for _, update := range c.recentUpdates(time.Now()) {
		c.forward(update)
	}
}

// recentUpdates returns updates with all recent worker statuses.
func (c *Core) recentUpdates(now time.Time) []WorkerUpdate {
	recent := c.workers.recent(now)
	updates := make([]WorkerUpdate, 0, len(recent))

	for _, known := range recent {
		updates = append(updates, WorkerUpdate{Status: known.status, AgeMilli: now.Sub(known.receivedAt).Milliseconds()})
	}

	return updates
}

// forward sends an update to the processes that need it. It does nothing before the data folder is open.
func (c *Core) forward(update WorkerUpdate) {
	c.mu.Lock()
	outbox := c.outbox
	c.mu.Unlock()

	if outbox == nil {
		return
	}

	for _, address := range c.updateTargets() {
		outbox.Send(address, update)
	}
}

// ReportWorker records a worker's report and forwards its status. If orders are returned in
// the replies to reports, it refers the worker to the leader.
func (c *Core) ReportWorker(_ context.Context, report *mill.WorkerReport) (*mill.ReportReply, error) {
	now := time.Now()

	update := WorkerUpdate{Status: report.Status}
	if c.recordUpdate(&update, now) {
		c.forward(update)
	}

	if c.config.OrderQueue == nil {
		return &mill.ReportReply{}, nil
	}

	reply := &mill.ReportReply{ReportTo: c.role().Leader.Address}
	if c.leadingRunner() == nil {
		return reply, nil
	}

	var err error

	if reply.Orders, err = c.config.OrderQueue.HandleReport(report, now); err != nil {
		return nil, err
	}

	reply.Orders.ReportAfter = plan.ReportInterval(c.workers.len())

	return reply, nil
}

// RemoveWorker records and forwards a worker's planned shutdown.
func (c *Core) RemoveWorker(_ context.Context, id string) error {
	log.Info().Str("worker", id).Msg("worker is shutting down")

	if c.config.OrderQueue != nil {
		c.config.OrderQueue.Forget(id)
	}

	update := WorkerUpdate{Removed: id}
	c.recordUpdate(&update, time.Now())
	c.forward(update)

	return nil
}
