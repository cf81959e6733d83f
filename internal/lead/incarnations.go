package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// incarnations tells the answers of a worker's known incarnation from those of earlier ones, which may arrive late. Start
// times alone do not, because the wall clock of a worker may be set back. Orders carry the epoch in which they were
// created: whoever answers an order that was created after an incarnation was learned of is that incarnation or a later
// one. Its zero value is that of a worker of which no restart is known.
type incarnations struct {
	// epoch counts the restarts that were observed, and the reports that raise the question which incarnation runs.
	epoch uint64
	// knownSince is the epoch that began when the known incarnation was learned of.
	knownSince uint64
	// confirmed is the latest epoch in which an order was created whose answer shows which incarnation runs.
	confirmed uint64
}

// learn records that another incarnation is known from now on.
func (i *incarnations) learn() {
	i.epoch++
	i.knownSince = i.epoch
}

// question records that another incarnation than the known one may be running.
func (i *incarnations) question() {
	i.epoch++
}

// confirm records that the known incarnation has answered an order of an epoch.
func (i *incarnations) confirm(epoch uint64) {
	i.confirmed = max(i.confirmed, epoch)
}

// mayBeEarlier reports whether an answer to an order of an epoch may be that of an incarnation before the known one.
func (i *incarnations) mayBeEarlier(epoch uint64) bool {
	return epoch < i.knownSince
}

// unclear reports whether the worker has to be asked which incarnation runs.
func (i *incarnations) unclear() bool {
	return i.confirmed < i.epoch
}

// earlierListArrived reads an answer to a renewal that may be that of an earlier incarnation. Only the ends as done are
// certain: a delayed order may have started a run that has ended otherwise once more. The worker is asked again.
func (s *Scheduler) earlierListArrived(w *worker, reply *mill.RenewReply, now time.Time) {
	w.nextRenewal = now

	if reply.Outcome != mill.OutcomeAccepted {
		return
	}

	for i := range reply.Finished {
		f := &reply.Finished[i]

		if r, ok := s.listedRun(w, f.RunRef); ok && f.Cause == mill.FinishDone {
			s.finishRun(r, f.Cause)
		}
	}
}

// earlierStartAnswered records an answer to a start order that may be that of an earlier incarnation. The run is being
// stopped since the restart was observed.
func (s *Scheduler) earlierStartAnswered(r *run, outcome mill.OrderOutcome, now time.Time) {
	if outcome == mill.OutcomeNotSent {
		r.startAttempts--
	}

	if r.phase == runStarting {
		s.retryStart(r, now)
	}
}

// answeredAt returns when the worker has sent an answer that arrives now, by its clock, or when it was asked if its clock is
// not known.
func (w *worker) answeredAt(clockMilli int64, askedAt, now time.Time) time.Time {
	if !w.clock.known() || clockMilli <= 0 {
		return askedAt
	}

	age := time.Duration(w.clock.estimate(now)-clockMilli) * time.Millisecond
	if at := now.Add(-max(0, age)); at.After(askedAt) {
		return at
	}

	return askedAt
}
