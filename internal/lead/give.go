package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// stopUnwanted stops the runs of jobs that were canceled or have failed, and the
// rest of a gang that has lost a member.
func (s *Scheduler) stopUnwanted(state *jobs.State) {
	for _, job := range state.OpenJobs() {
		if job.Outcome != mill.JobCanceled && job.Outcome != mill.JobFailed {
			continue
		}

		for number, occurrence := range job.Occurrences {
			for index := range occurrence.Steps {
				s.stopStep(mill.StepID{Job: job.ID, Occurrence: number, Step: index}, &occurrence.Steps[index])
			}
		}
	}
}

func (s *Scheduler) stopStep(id mill.StepID, step *jobs.Step) {
	if step.Placed == 0 {
		return
	}

	for index := range step.Tasks {
		if r, ok := s.runs[id.Task(index)]; ok {
			r.stopping = true
		}
	}
}

// stopGang stops the other members of a run of a gang.
func (s *Scheduler) stopGang(r *run) {
	for index := range r.step.Count {
		member, ok := s.runs[r.task.Task(index)]
		if ok && member.number == r.number {
			member.stopping = true
		}
	}
}

// give adds the orders that are due.
func (s *Scheduler) give(actions *Actions, now time.Time) {
	for _, r := range s.runs {
		switch {
		case r.cause != "" || r.phase == runProposed:
		case r.stopping:
			s.giveStop(actions, r, now)
		case r.phase == runStarting:
			s.giveStart(actions, r, now)
		default:
		}
	}

	for _, w := range s.workers {
		s.giveRenew(actions, w, now)
		s.givePaces(actions, w, now)
	}

	s.giveStrays(actions, now)
}

func (s *Scheduler) giveStart(actions *Actions, r *run, now time.Time) {
	if r.inFlight || now.Before(r.next) || !r.worker.clock.known() {
		return
	}

	r.inFlight = true
	r.tries++

	actions.Starts = append(actions.Starts, Start{
		To: r.worker.ref(),
		Order: mill.StartOrder{
			Task:             r.task,
			Run:              r.number,
			Spec:             r.spec,
			LeaseExpiryMilli: r.worker.extend(now, s.bounds.Lease()),
			FencingToken:     s.fenceOf(r.worker),
			Checkpoint:       r.resume,
			Ticket:           r.ticket,
		},
	})
}

func (s *Scheduler) giveStop(actions *Actions, r *run, now time.Time) {
	if r.barred || now.Sub(r.stopSent) < s.bounds.orderTime() || r.worker.status.Address == "" {
		return
	}

	r.stopSent = now

	actions.Stops = append(actions.Stops, Stop{To: r.worker.ref(), Run: r.ref(), Fence: s.fenceOf(r.worker)})
}

func (s *Scheduler) giveStrays(actions *Actions, now time.Time) {
	for ref, found := range s.strays {
		if now.Sub(found.sent) < s.bounds.orderTime() {
			continue
		}

		if found.worker.gone || s.workers[found.worker.status.ID] != found.worker {
			delete(s.strays, ref)

			continue
		}

		found.sent = now
		s.strays[ref] = found
		actions.Stops = append(actions.Stops, Stop{To: found.worker.ref(), Run: ref, Fence: s.fenceOf(found.worker)})
	}
}

func (s *Scheduler) giveRenew(actions *Actions, w *worker, now time.Time) {
	if !w.canRenew(now) {
		return
	}

	holding, settled := w.holding()
	if !holding && !w.owes(now) && !w.unmet() {
		return
	}

	w.renewing = true

	actions.Renews = append(actions.Renews, Renew{To: w.ref(), Order: s.renewOrder(w, holding, settled, now)})
}

// renewOrder returns what a worker is asked, which holds runs or not, all of them settled or not.
func (s *Scheduler) renewOrder(w *worker, holding, settled bool, now time.Time) mill.RenewOrder {
	order := mill.RenewOrder{FencingToken: s.fenceOf(w)}

	// After a silence another life may have begun under the id, and numbers its ends anew.
	if now.Sub(w.answered) < sameLife {
		order.Acknowledged = w.seen
	}

	// A worker that does not answer gets no longer leases: they have to lapse before
	// its tasks can run elsewhere.
	if holding && w.failures == 0 && w.clock.known() {
		order.LeaseExpiryMilli = w.extend(now, s.bounds.Lease())
	}

	if holding && settled && w.contacted && w.failures == 0 {
		order.Wait = min(renewWait, s.bounds.Lease()/3)
	}

	if w.shared() {
		order.Wait = min(order.Wait, sharedLook)
	}

	return order
}

// canRenew reports whether the worker can be asked for a report. It waits until
// ends are committed, so that the next call can acknowledge them.
func (w *worker) canRenew(now time.Time) bool {
	if w.renewing || w.gone || w.committing > 0 {
		return false
	}

	return w.status.Address != "" && !now.Before(w.nextRenew)
}

// holding reports whether runs may be alive on the worker, and whether it is
// known of all of them how they stand.
func (w *worker) holding() (holding, settled bool) {
	settled = true

	for _, r := range w.runs {
		switch r.phase {
		case runProposed:
		case runStarting:
			holding = true
		case runAlive:
			holding = true
			settled = settled && !r.answered.After(w.heard)
		default:
			holding = true
			settled = false
		}
	}

	return holding, settled
}

// sameLife is how long after an answer a worker cannot have ended and started
// again: a process takes longer than that to start.
const sameLife = 500 * time.Millisecond

// ackPause is how long an idle worker waits to hear that its last ends are
// committed; a start that comes before makes a call of its own needless.
const ackPause = 300 * time.Millisecond

// owes reports whether the worker should be told that its ends are committed, or
// be tried again since it did not answer.
func (w *worker) owes(now time.Time) bool {
	if w.failures > 0 {
		return now.Sub(w.heard) < time.Second
	}

	return w.acked < w.seen && now.Sub(w.nextRenew) > ackPause
}
