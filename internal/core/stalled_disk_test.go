package core_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// sentOrder is a maintenance order as it arrived at the provider.
type sentOrder struct {
	token uint64
	at    time.Time
}

// silentProvider has one machine and answers no maintenance order, so that a leader repeats it.
type silentProvider struct {
	mu     sync.Mutex
	orders []sentOrder
}

func (*silentProvider) List(context.Context) ([]mill.Machine, error) {
	return []mill.Machine{{ID: "m", State: mill.MachineUp}}, nil
}

func (p *silentProvider) BeginMaintenance(_ context.Context, _ string, _ int, token uint64) mill.MaintenanceOutcome {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.orders = append(p.orders, sentOrder{token: token, at: time.Now()})

	return mill.MaintenanceUnanswered
}

func (p *silentProvider) received() []sentOrder {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.orders)
}

// stallLeader makes the disk of the core process that leads hang until resume is called.
func (c *testCluster) stallLeader() (resume func()) {
	for at, process := range c.cores {
		if process.Leading() {
			return c.disks[at].Stall()
		}
	}

	c.t.Fatal("no core process leads")

	return nil
}

// TestLeaderWithStalledDiskSendsNoOrders guards against a leader whose disk hangs and that goes on sending maintenance
// orders: its consensus is held up too and does not notice its successor, so that a provider that checks no fencing tokens
// got an order with a lower token after one with a higher token.
func TestLeaderWithStalledDiskSendsNoOrders(t *testing.T) {
	const holderLease = time.Second

	provider := &silentProvider{}
	cluster := newTestClusterWith(t, provider, holderLease)

	cluster.eventually("wave", func() error {
		return cluster.running().StartWave(callContext(), &mill.Wave{
			Number: 1, Machines: []string{"m"}, Duration: time.Minute, MaxAtOnce: 1,
		})
	})
	cluster.eventually("order", func() error {
		if len(provider.received()) == 0 {
			return errors.New("no order yet")
		}

		return nil
	})

	before := provider.received()
	successors := func(o sentOrder) bool { return o.token > before[len(before)-1].token }
	resume := cluster.stallLeader()

	cluster.eventually("order of a successor", func() error {
		// A read commits an entry, which the disk has to store.
		go func() { _, _ = cluster.cores[0].WaveComplete(callContext(), 1) }()

		time.Sleep(100 * time.Millisecond)

		if !slices.ContainsFunc(provider.received(), successors) {
			return errors.New("no order yet")
		}

		return nil
	})
	time.Sleep(time.Second)
	resume()

	orders := provider.received()
	first := slices.IndexFunc(orders, successors)

	for _, o := range orders[first:] {
		assert.Assert(t, o.token >= orders[first].token, "an order of the earlier leader arrived %s after its successor's first",
			o.at.Sub(orders[first].at))
	}

	pause := orders[first].at.Sub(orders[first-1].at)
	assert.Assert(t, pause >= holderLease, "the leaders' orders are %s apart", pause)
}
