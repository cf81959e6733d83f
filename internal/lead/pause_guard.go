package lead

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/boot"
	"github.com/cranberrymill/cranberrymill/internal/drive"
)

const (
	// maxPause is how long a leader may stand still and go on without a proof that it still leads. It equals takeoverMargin,
	// for which successors wait beyond the longest lease.
	maxPause = takeoverMargin
	// guardInterval is how often the guard looks at the clock.
	guardInterval = 100 * time.Millisecond
	// confirmTimeout bounds one attempt to prove that this process leads: several round trips between regions.
	confirmTimeout = time.Second
)

// pauseGuard tells whether a leader may act. One that was paused may have been replaced: its clocks may not have counted
// the time, and what was sent to it before is read after it, so that consensus takes a moment to notice. It acts again
// once it has committed an entry that was proposed after the pause.
type pauseGuard struct {
	// activeMilli is the latest time, by the clock, at which the process was known to lead.
	activeMilli atomic.Int64
	clockMilli  func() int64
	// confirm returns nil if this process still leads.
	confirm func(ctx context.Context) error
}

func newPauseGuard(confirm func(ctx context.Context) error) *pauseGuard {
	g := &pauseGuard{clockMilli: boot.Milli, confirm: confirm}
	g.activeMilli.Store(math.MinInt32) // A new leader may have been paused since it was elected.

	return g
}

// mayAct reports whether the process has stood still for less than maxPause since it was known to lead.
func (g *pauseGuard) mayAct() bool {
	now := g.clockMilli()

	return now > 0 && now-g.activeMilli.Load() <= maxPause.Milliseconds()
}

// awaitConfirmation returns once the process may act or the context ends.
func (g *pauseGuard) awaitConfirmation(ctx context.Context) {
	for ctx.Err() == nil {
		if g.check(ctx); g.mayAct() {
			return
		}

		drive.Pause(ctx, guardInterval)
	}
}

// run watches for pauses until the context ends.
func (g *pauseGuard) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.check(ctx)
		drive.Pause(ctx, guardInterval)
	}
}

func (g *pauseGuard) check(ctx context.Context) {
	// The time is read before the check, so that a pause between them counts.
	now := g.clockMilli()

	if !g.mayAct() {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()

		if err := g.confirm(ctx); err != nil {
			log.Warn().Err(err).Int64("activeMilli", g.activeMilli.Load()).Int64("nowMilli", now).
				Msg("leadership is not confirmed, no orders are sent")

			return
		}

		log.Info().Int64("activeMilli", g.activeMilli.Load()).Int64("nowMilli", now).Msg("leadership confirmed")
	}

	g.activeMilli.Store(now)
}
