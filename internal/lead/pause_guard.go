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
	// maxSilence is how long a leader may act without an answer of a majority. It exceeds the second for which a slow disk
	// holds up the consensus, together with the time from one answer to the next, about 300 ms between regions. A successor
	// is elected an election timeout, 450 ms, after the last answer at the earliest, so that both act for less than
	// takeoverMargin.
	maxSilence = 1400 * time.Millisecond
	// guardInterval is how often the guard looks at the clock.
	guardInterval = 100 * time.Millisecond
	// confirmTimeout bounds one attempt to prove that this process leads: several round trips between regions.
	confirmTimeout = time.Second
)

// pauseGuard tells whether a leader may act. One that was paused may have been replaced: its clocks may not have counted
// the time, and what was sent to it before is read after it, so that consensus takes a moment to notice. It acts again
// once it has committed an entry that was proposed after the pause. The same holds for one without contact to a majority:
// while a write to its disk hangs, its consensus neither sends nor receives anything and does not step down, though the
// rest of the process goes on.
type pauseGuard struct {
	// activeMilli is the latest time, by the clock, at which the process was known to lead.
	activeMilli atomic.Int64
	clockMilli  func() int64
	// confirm returns nil if this process still leads.
	confirm func(ctx context.Context) error
	// contact returns how long ago a majority answered this process as their leader; nil if that need not be known.
	contact func() time.Duration
}

func newPauseGuard(confirm func(ctx context.Context) error, contact func() time.Duration) *pauseGuard {
	g := &pauseGuard{clockMilli: boot.Milli, confirm: confirm, contact: contact}
	g.activeMilli.Store(math.MinInt32) // A new leader may have been paused since it was elected.

	return g
}

// mayAct reports whether the process has stood still for less than maxPause since it was known to lead, and was in contact
// with a majority within maxSilence.
func (g *pauseGuard) mayAct() bool {
	now := g.clockMilli()
	if now <= 0 || now-g.activeMilli.Load() > maxPause.Milliseconds() {
		return false
	}

	return g.silence() <= maxSilence
}

// silence returns how long ago a majority answered this process as their leader; 0 if that need not be known.
func (g *pauseGuard) silence() time.Duration {
	if g.contact == nil {
		return 0
	}

	return g.contact()
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
			log.Warn().Err(err).Int64("activeMilli", g.activeMilli.Load()).Int64("nowMilli", now).Dur("silence", g.silence()).
				Msg("leadership is not confirmed, no orders are sent")

			return
		}

		log.Info().Int64("activeMilli", g.activeMilli.Load()).Int64("nowMilli", now).Msg("leadership confirmed")
	}

	g.activeMilli.Store(now)
}
