package lead

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestPausedLeaderConfirmsFirst guards against a leader that acts after a pause in which another one was elected.
func TestPausedLeaderConfirmsFirst(t *testing.T) {
	var (
		clock    atomic.Int64
		answer   error
		attempts int
	)

	pause := func(length time.Duration) { clock.Add(length.Milliseconds()) }
	guard := newPauseGuard(func(context.Context) error {
		attempts++

		return answer
	}, nil)
	guard.clockMilli = clock.Load

	check := func(want bool) {
		t.Helper()
		guard.check(context.Background())
		assert.Equal(t, guard.mayAct(), want)
	}

	clock.Store(1)
	assert.Assert(t, !guard.mayAct(), "a new leader has not confirmed that it leads")
	check(true)
	assert.Equal(t, attempts, 1)

	pause(maxPause / 2)
	check(true)
	assert.Equal(t, attempts, 1)

	pause(maxPause + time.Millisecond)
	assert.Assert(t, !guard.mayAct())

	answer = mill.ErrNotPrimary

	check(false)
	check(false)

	answer = nil

	check(true)
	assert.Equal(t, attempts, 4)

	// A pause while it is being confirmed counts.
	guard.confirm = func(context.Context) error {
		pause(2 * maxPause)

		return nil
	}

	pause(2 * maxPause)
	check(false)

	clock.Store(0) // The clock cannot be read.
	assert.Assert(t, !guard.mayAct())
}

// countingProvider counts maintenance orders.
type countingProvider struct {
	orders atomic.Int64
}

func (p *countingProvider) List(context.Context) ([]mill.Machine, error) { return nil, nil }

func (p *countingProvider) BeginMaintenance(context.Context, string, int, uint64) mill.MaintenanceOutcome {
	p.orders.Add(1)

	return mill.MaintenanceBegun
}

// TestPausedLeaderSendsNoOrders guards against orders that a leader had decided on before a pause, and sends after it beside
// those of its successor: two machines of a wave were down that allows one.
func TestPausedLeaderSendsNoOrders(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	pool, err := ants.NewPool(8, ants.WithNonblocking(true))
	assert.NilError(t, err)

	defer pool.Release()

	provider, orders := &countingProvider{}, &panickingOrders{}
	orders.starts.Store(1) // Nothing panics.
	orders.stops.Store(1)
	orders.renewals.Store(1)

	leads := true
	runner := NewRunner(ctx, New(Bounds{}, 1, time.Now(), jobs.NewState(), place.Pack{}), Dependencies{
		Orders: orders, Machines: provider, Pool: pool,
		Confirm: func(context.Context) error {
			if leads {
				return nil
			}

			return mill.ErrNotPrimary
		},
	})

	var clock atomic.Int64

	clock.Store(1)

	runner.guard.clockMilli = clock.Load
	send := func() [4]int64 {
		runner.guard.check(ctx)
		runner.start(&Start{})
		runner.stop(&Stop{})
		runner.renew(&Renew{})
		runner.startMaintenance(&Maintenance{})

		return [4]int64{orders.starts.Load(), orders.stops.Load(), orders.renewals.Load(), provider.orders.Load()}
	}

	assert.Equal(t, send(), [4]int64{2, 2, 2, 1})

	leads = false

	clock.Add(2 * maxPause.Milliseconds())
	assert.Equal(t, send(), [4]int64{2, 2, 2, 1})

	leads = true

	assert.Equal(t, send(), [4]int64{3, 3, 3, 2})
}

// TestLeaderWithoutContactConfirmsFirst guards against a leader whose disk hangs and that goes on sending orders: the
// process does not stand still, but its consensus does. A disk that takes 1 s must not stop the orders.
func TestLeaderWithoutContactConfirmsFirst(t *testing.T) {
	var (
		clock   atomic.Int64
		contact time.Duration
		answer  error
	)

	guard := newPauseGuard(func(context.Context) error { return answer }, func() time.Duration { return contact })
	guard.clockMilli = clock.Load
	check := func(since time.Duration, want bool) {
		t.Helper()

		contact = since
		clock.Add(guardInterval.Milliseconds())
		assert.Equal(t, guard.mayAct(), want)
		guard.check(context.Background())
	}

	clock.Store(1)
	check(0, false)
	check(0, true)

	answer = mill.ErrUnavailable // No entry is committed while the disk hangs.

	for since := time.Duration(0); since <= 1300*time.Millisecond; since += guardInterval {
		check(since, true)
	}

	for since := maxSilence + guardInterval; since < 5*time.Second; since += guardInterval {
		check(since, false)
	}

	check(0, false) // The contact alone may be from before the answers were read.

	answer = nil

	check(0, false)
	check(0, true)
}

// TestNewLeaderPlansOnceConfirmed guards against a new leader whose first orders are not sent because it has not confirmed
// that it leads, so that all workers seem silent.
func TestNewLeaderPlansOnceConfirmed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	confirmed := make(chan error, 1)
	guard := newPauseGuard(func(context.Context) error { return <-confirmed }, nil)
	done := make(chan bool, 1)

	go func() {
		guard.awaitConfirmation(ctx)

		done <- guard.mayAct()
	}()

	confirmed <- mill.ErrUnavailable

	select {
	case <-done:
		t.Fatal("the guard does not wait")
	case confirmed <- nil:
	}

	assert.Assert(t, <-done)
}

// TestMaintenanceOrderEndsBeforeTheSuccessorsBegin checks that a maintenance order that was sent just before the end of
// maxPause is answered, or given up, while a successor still waits.
func TestMaintenanceOrderEndsBeforeTheSuccessorsBegin(t *testing.T) {
	for _, lease := range []time.Duration{2 * time.Second, 3 * time.Second, 10 * time.Second} {
		bounds := Bounds{HolderLease: lease}
		assert.Assert(t, maxPause+bounds.maintenanceTimeout() <= lease, "%s", lease)
	}
}
