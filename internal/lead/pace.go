package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// sharedReportWait is how long a worker that runs best-effort tasks beside serving tasks may delay its
// report: tail latencies are measured over the last half second.
const sharedReportWait = 500 * time.Millisecond

// hasTailTarget reports whether the run has a target for its tail latency.
func (r *run) hasTailTarget() bool {
	return r.step.TailLatencyTarget > 0
}

// mixesBestEffort reports whether the worker runs best-effort tasks beside serving tasks.
func (w *worker) mixesBestEffort() bool {
	return w.bestEffortMilliCores > 0 && w.servingRuns > 0
}

// highestTail returns the highest tail latency of the worker's serving tasks, each as a share of its
// target.
func (w *worker) highestTail() float64 {
	highest := 0.0

	for _, r := range w.runs {
		if r.hasTailTarget() && r.phase == runStarted {
			target := float64(r.step.TailLatencyTarget) / float64(time.Millisecond)
			highest = max(highest, r.tailMilli/target)
		}
	}

	return highest
}

// addPaces adds the pace orders that are due on a worker that has reported since the last call.
func (s *Scheduler) addPaces(actions *Actions, w *worker, now time.Time) {
	if !w.freshReport || w.bestEffortMilliCores == 0 {
		return
	}

	w.freshReport = false
	tail := w.highestTail()

	for _, r := range w.runs {
		if !r.step.BestEffort || r.phase != runStarted || r.stopping || now.Sub(r.paceSentAt) < plan.MinPaceInterval {
			continue
		}

		next := plan.NextPace(r.pace(), tail)
		if next == r.pace() {
			continue
		}

		r.paceSentAt = now
		actions.Paces = append(actions.Paces, Pace{To: w.ref(), epoch: w.incarnations.epoch, Order: mill.PaceOrder{
			RunRef: r.ref(), FencingToken: s.fencingToken(w), Percent: next,
		}})
	}
}

// pace returns the run's pace in percent of full pace.
func (r *run) pace() int {
	return plan.FullPace - r.slowedPercent
}

// PaceAnswered records a worker's reply to a pace order. An unanswered order may be in effect; the
// next one sets the pace anew.
func (s *Scheduler) PaceAnswered(pace *Pace, reply mill.OrderReply, now time.Time) {
	r, ok := s.runs[pace.Order.Task]
	if !ok || r.number != pace.Order.Run || r.worker.status.ID != pace.To.ID {
		return
	}

	if reply.Outcome != mill.OutcomeAccepted || r.worker.incarnations.mayBeEarlier(pace.epoch) {
		return
	}

	r.worker.clock.observe(reply.ClockMilli, now)
	r.slowedPercent = plan.FullPace - pace.Order.Percent
	s.addEvent(EventPace, r, reply.Outcome.String())
}
