package lead

import (
	"math"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
)

const (
	// learnedInterval is the least time between two records of what was learned: a new leader then misses a second of it at
	// most, and the records take little of the log.
	learnedInterval = time.Second
	// maxLearnedWorkers bounds the workers of one record, so that it does not delay placements.
	maxLearnedWorkers = 64
	// minSlownessChange is the change of a worker's slowness that is worth a record: less has no effect on where tasks go,
	// and run times differ by as much from one run to the next.
	minSlownessChange = 0.15
	// minQueueChange is the change of the number of a queue's runs, as a share, that is worth a record.
	minQueueChange = 0.2
	// maxRestoredRuns limits the weight of what an earlier leader has learned of a worker, which may have changed since.
	maxRestoredRuns = 10
	thousandths     = 1000
)

// learned is what was recorded last of what the scheduler learns. A new leader starts from there, since the first seconds
// after a change of leader are when callers need its decisions most.
type learned struct {
	recordedAt time.Time
	// pending says that a record is being committed.
	pending bool
	// slowness holds the slowness of workers, and runs the number of runs of queues, as they were recorded.
	slowness map[string]float64
	runs     map[string]float64
}

// loadLearned takes over what earlier leaders have learned.
func (s *Scheduler) loadLearned(known *jobs.Learned) {
	s.learned = learned{slowness: make(map[string]float64), runs: make(map[string]float64)}

	for id, speed := range known.Workers {
		w, ok := s.workers[id]
		if !ok || speed.Slowness <= 0 || speed.Runs <= 0 {
			continue
		}

		mean := float64(speed.Slowness) / thousandths
		w.slowness = plan.RestoreSlowness(mean, float64(min(speed.Runs, maxRestoredRuns)))
		s.learned.slowness[id] = mean
	}

	for name, history := range known.Queues {
		s.estimates.Restore(name, history.Sums)
		s.failureRates.Restore(name, float64(history.FailureRate)/thousandths)

		if history.AllowedShare > 0 {
			s.allowedShares.Restore(name, float64(history.AllowedShare)/thousandths)
		}

		if len(history.Sums) > 0 {
			s.learned.runs[name] = history.Sums[0]
		}
	}
}

// recordLearned returns the command that records what has been learned since the last one, if enough has.
func (s *Scheduler) recordLearned(now time.Time) []jobs.Command {
	if s.learned.pending || now.Sub(s.learned.recordedAt) < learnedInterval {
		return nil
	}

	changes := &jobs.Learned{Workers: s.changedSpeeds(), Queues: s.changedHistories()}
	if len(changes.Workers)+len(changes.Queues) == 0 {
		return nil
	}

	s.learned.recordedAt, s.learned.pending = now, true

	return []jobs.Command{{RecordLearned: changes}}
}

// changedSpeeds returns the speeds of recorded workers that differ from what was recorded of them.
func (s *Scheduler) changedSpeeds() map[string]jobs.WorkerSpeed {
	speeds := make(map[string]jobs.WorkerSpeed)

	for _, w := range s.workersByID() {
		if len(speeds) == maxLearnedWorkers {
			break
		}

		id := w.status.ID
		mean, runs := w.slowness.Mean()

		recorded, known := s.learned.slowness[id]
		if w.recorded == nil || runs < 2 || known && math.Abs(mean-recorded) < minSlownessChange {
			continue
		}

		s.learned.slowness[id] = mean
		speeds[id] = jobs.WorkerSpeed{Slowness: int(mean * thousandths), Runs: int(runs)}
	}

	return speeds
}

// changedHistories returns the histories of queues that have grown since they were recorded.
func (s *Scheduler) changedHistories() map[string]jobs.QueueHistory {
	histories := make(map[string]jobs.QueueHistory)

	for _, name := range s.estimates.Queues() {
		sums := s.estimates.History(name)
		if math.Abs(sums[0]-s.learned.runs[name]) <= minQueueChange*s.learned.runs[name] {
			continue
		}

		s.learned.runs[name] = sums[0]
		histories[name] = jobs.QueueHistory{
			Sums:         sums,
			FailureRate:  int(s.failureRates.Rate(name) * thousandths),
			AllowedShare: int(s.allowedShares.Share(name) * thousandths),
		}
	}

	return histories
}
