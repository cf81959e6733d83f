package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// sharedLook is how long the report of a worker may be held back on which tasks that
// fill run beside serving ones: their tails are given for the last half second.
const sharedLook = 500 * time.Millisecond

// serves reports whether the run's response times have a target.
func (r *run) serves() bool {
	return r.step.TailLatencyTarget > 0
}

// shared reports whether tasks that fill run beside serving ones.
func (w *worker) shared() bool {
	return w.fillers > 0 && w.serving > 0
}

// tail returns the highest tail of the worker's serving tasks as a share of its target.
func (w *worker) tail() float64 {
	highest := 0.0

	for _, r := range w.runs {
		if r.serves() && r.phase == runAlive {
			target := float64(r.step.TailLatencyTarget) / float64(time.Millisecond)
			highest = max(highest, r.gauge/target)
		}
	}

	return highest
}

// givePaces adds the changes of pace that are due on a worker whose report has come.
func (s *Scheduler) givePaces(actions *Actions, w *worker, now time.Time) {
	if !w.looked || w.fillers == 0 {
		return
	}

	w.looked = false
	tail := w.tail()

	for _, r := range w.runs {
		if !r.step.BestEffort || r.phase != runAlive || r.stopping || now.Sub(r.paceSent) < plan.MinPaceInterval {
			continue
		}

		next := plan.NextPace(r.pace(), tail)
		if next == r.pace() {
			continue
		}

		r.paceSent = now
		actions.Paces = append(actions.Paces, Pace{To: w.ref(), Order: mill.PaceOrder{
			RunRef: r.ref(), FencingToken: s.fenceOf(w), Percent: next,
		}})
	}
}

// pace returns the share at which the run works, in percent.
func (r *run) pace() int {
	return plan.FullPace - r.slowed
}

// PaceAnswered takes note of a worker's answer to a change of pace. One without an answer
// may be in force: the next one says again what the pace is to be.
func (s *Scheduler) PaceAnswered(pace *Pace, reply mill.OrderReply, now time.Time) {
	r, ok := s.runs[pace.Order.Task]
	if !ok || r.number != pace.Order.Run || r.worker.status.ID != pace.To.ID {
		return
	}

	if reply.Outcome != mill.OutcomeAccepted {
		return
	}

	r.worker.clock.observe(reply.ClockMilli, now)
	r.slowed = plan.FullPace - pace.Order.Percent
	s.note(EventPace, r, reply.Outcome.String())
}
