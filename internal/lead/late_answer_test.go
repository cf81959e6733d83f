package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// restartingWorker is the worker of these tests, which takes restartTime to start again.
const (
	restartingWorker = "a"
	restartTime      = 600 * time.Millisecond
)

// TestLateAnswerAcknowledgesNothingToTheNextIncarnation guards against an answer of an earlier incarnation that arrives
// after the next one is known, and has ends of the latter acknowledged that nobody has read. The wall clock of the worker
// may be set back, and the report of the next incarnation may be late as well.
func TestLateAnswerAcknowledgesNothingToTheNextIncarnation(t *testing.T) {
	for _, startUnixMilli := range []int64{2000, 500} {
		for _, reported := range []bool{true, false} {
			s := newScriptedTest(t)
			s.addRestartingWorker()
			s.submit("first", shortStep(1))

			asked, sentAt := s.outstanding(), s.now
			s.finishUnread("first")
			late := s.list(restartingWorker)
			s.restart(startUnixMilli)

			if reported {
				s.report(restartingWorker)
			}

			s.pass(800 * time.Millisecond)
			s.scheduler.RenewAnswered(&asked, late, sentAt, s.now)

			sent := len(s.renews)
			s.submitSilently("second")
			s.pass(simStep)
			s.finishUnread("second")
			s.pass(simStep)
			s.pass(acknowledgeDelay + simStep)

			for _, renew := range s.renews[sent:] {
				assert.Equal(t, renew.Order.Acknowledged, uint64(0), "start at %d, reported %t", startUnixMilli, reported)
			}
		}
	}
}

// TestLateAnswerCompletesItsTasks expects the ends as done in an answer of an earlier incarnation to be read, and no other
// end: a delayed order may have started the same run on the next incarnation.
func TestLateAnswerCompletesItsTasks(t *testing.T) {
	for _, cause := range []mill.FinishCause{mill.FinishDone, mill.FinishStopped} {
		s := newScriptedTest(t)
		s.addRestartingWorker()
		s.submit("job", shortStep(1))

		asked, sentAt := s.outstanding(), s.now
		s.finishUnread("job")
		s.workers[restartingWorker].finished[0].Cause = cause
		late := s.list(restartingWorker)
		s.restart(2000)
		s.report(restartingWorker)
		s.scheduler.RenewAnswered(&asked, late, sentAt, s.now)
		s.pass(simStep)

		job, _ := s.state.Job("job")
		assert.Equal(t, job.Outcome == mill.JobCompleted, cause == mill.FinishDone, "%s", cause)
	}
}

// TestRestartWithEarlierClockIsNoticed guards against a worker that is silent to the leader after its wall clock was set
// back: its reports look like late ones of an earlier incarnation, and the leader has to ask.
func TestRestartWithEarlierClockIsNoticed(t *testing.T) {
	s := newScriptedTest(t)
	s.addRestartingWorker()
	s.restart(500)

	sent := len(s.renews)

	s.report(restartingWorker)
	s.pass(simStep)
	assert.Equal(t, len(s.renews), sent+1)

	asked := s.outstanding()
	s.scheduler.RenewAnswered(&asked, s.list(restartingWorker), s.now, s.now)
	s.report(restartingWorker)
	s.pass(simStep)
	assert.Equal(t, s.worker(restartingWorker).status.StartUnixMilli, int64(500))
	assert.Assert(t, s.worker(restartingWorker).usable(s.now))
}

// TestLateAnswersToOrdersSayNothingOfTheNextIncarnation guards against an answer to a start, stop or pace order of an
// earlier incarnation that sets the clock of the next one, by which leases are granted and expire, or declares it gone.
func TestLateAnswersToOrdersSayNothingOfTheNextIncarnation(t *testing.T) {
	for _, outcome := range []mill.OrderOutcome{mill.OutcomeAccepted, mill.OutcomeWorkerReplaced} {
		s := newScriptedTest(t)
		s.addRestartingWorker()
		s.submit("job", shortStep(1))

		run := s.workers[restartingWorker].running[mill.StepID{Job: "job"}.Task(0)].RunRef
		late := mill.OrderReply{Outcome: outcome, ClockMilli: 1_000_000}
		to := s.outstanding().To

		s.restart(2000)
		s.report(restartingWorker)
		s.scheduler.StartAnswered(&Start{To: to, Order: mill.StartOrder{Task: run.Task, Run: run.Run}}, late, s.now)
		s.scheduler.StopAnswered(&Stop{To: to, Run: run}, late, s.now)
		s.scheduler.PaceAnswered(&Pace{To: to, Order: mill.PaceOrder{RunRef: run}}, late, s.now)

		w := s.worker(restartingWorker)
		assert.Assert(t, !w.gone, "%s", outcome)
		assert.Assert(t, !w.clock.known() || w.clock.milli < late.ClockMilli, "%s", outcome)
		assert.Assert(t, !s.scheduler.runs[run.Task].stopAcknowledged, "%s", outcome)
	}
}

// addRestartingWorker adds a worker, which reports only when the test says so from then on.
func (s *scriptedTest) addRestartingWorker() {
	s.workers[restartingWorker] = &scriptedWorker{
		status: mill.WorkerStatus{
			ID: restartingWorker, StartUnixMilli: 1000, Service: "pool", Address: restartingWorker, Rack: "r",
			Capacity: mill.Resources{MilliCores: simCapacity, MemoryMiB: simCapacity},
		},
		running: make(map[mill.TaskID]mill.RunStatus),
	}

	s.pass(simStep)
	s.unreported = true
}

// outstanding returns the last renewal that was sent.
func (s *scriptedTest) outstanding() Renew {
	assert.Assert(s.t, len(s.renews) > 0)

	return s.renews[len(s.renews)-1]
}

// finishUnread ends the run of a job's first task as done, if it runs, without an answer that lists that.
func (s *scriptedTest) finishUnread(job string) {
	w := s.workers[restartingWorker]
	task := mill.StepID{Job: job}.Task(0)

	if status, ok := w.running[task]; ok {
		number := uint64(len(w.finished) + 1)
		w.finished = append(w.finished, mill.FinishedRun{RunRef: status.RunRef, Number: number, Cause: mill.FinishDone})
		delete(w.running, task)
	}
}

// restart begins the next incarnation of the worker under its id.
func (s *scriptedTest) restart(startUnixMilli int64) {
	w := s.workers[restartingWorker]
	w.status.StartUnixMilli, w.status.Sequence = startUnixMilli, 0
	w.running = make(map[mill.TaskID]mill.RunStatus)
	w.finished = nil

	s.now = s.now.Add(restartTime)
}

// submitSilently submits a job with one task, which may have to wait.
func (s *scriptedTest) submitSilently(id string) {
	s.state.Apply(&jobs.Command{Submit: &jobs.Submit{
		Job: id, Queue: "free", UnixMilli: s.now.UnixMilli(), Work: mill.Workload{Steps: []mill.Step{shortStep(1)}},
	}})
	s.pass(simStep)
}
