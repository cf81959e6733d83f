package main

import (
	"fmt"
	"sync"
	"time"
)

// interval is one run of a task on an executor, as the executor saw it.
type interval struct {
	task     string
	run      int
	executor string
	began    time.Time
	ended    time.Time
	how      string
}

// history holds all runs of all executors.
type history struct {
	record *recorder
	mu     sync.Mutex
	runs   []*interval
}

func (h *history) started(task string, run int, executor string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.runs = append(h.runs, &interval{task: task, run: run, executor: executor, began: time.Now()})
	h.record.logf("executor %s starts %s, run %d", executor, task, run)
}

func (h *history) ended(task string, run int, executor, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, r := range h.runs {
		if r.task == task && r.run == run && r.executor == executor && r.ended.IsZero() {
			r.ended, r.how = time.Now(), how
		}
	}

	h.record.logf("executor %s ends %s, run %d: %s", executor, task, run, how)
}

// latest returns how many runs of a job have started, and the executor of the latest.
func (h *history) latest(job string) (count int, executor string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, r := range h.runs {
		if jobOf(r.task) == job {
			count++
			executor = r.executor
		}
	}

	return count, executor
}

// idle returns for how long a task has had nothing running.
func (h *history) idle(task string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()

	var last time.Time

	for _, r := range h.runs {
		if r.task != task {
			continue
		}

		if r.ended.IsZero() {
			return 0
		}

		if r.ended.After(last) {
			last = r.ended
		}
	}

	return time.Since(last)
}

// count returns how many runs of a job have ended in that way.
func (h *history) count(job, how string) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	count := 0

	for _, r := range h.runs {
		if jobOf(r.task) == job && r.how == how {
			count++
		}
	}

	return count
}

// overlaps returns the pairs of runs of one task that were active at the same time.
func (h *history) overlaps() [][2]*interval {
	h.mu.Lock()
	defer h.mu.Unlock()

	var found [][2]*interval

	for i, a := range h.runs {
		for _, b := range h.runs[i+1:] {
			if a.task == b.task && a.began.Before(endOf(b)) && b.began.Before(endOf(a)) {
				found = append(found, [2]*interval{a, b})
			}
		}
	}

	return found
}

func endOf(r *interval) time.Time {
	if r.ended.IsZero() {
		return time.Now()
	}

	return r.ended
}

// endedTogether describes the runs of a job that ended with their machine while another task of the job was away: ended
// so, and not at work again since.
func (h *history) endedTogether(job string, startup time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()

	var found []string

	for _, r := range h.runs {
		if jobOf(r.task) != job || r.how != "left" {
			continue
		}

		for _, other := range h.runs {
			if jobOf(other.task) != job || other.how != "left" || other.task == r.task || other.ended.After(r.ended) {
				continue
			}

			if !h.atWork(other.task, r.ended, startup) {
				found = append(found, fmt.Sprintf("AVAIL: the upkeep of %s ends %s at work, while %s is away; may_miss is 1",
					r.executor, r.task, other.task))
			}
		}
	}

	return found
}

// atWork reports whether a task was at work at a time. The caller holds the lock.
func (h *history) atWork(task string, at time.Time, startup time.Duration) bool {
	for _, r := range h.runs {
		if r.task == task && r.began.Add(startup).Before(at) && (r.ended.IsZero() || r.ended.After(at)) {
			return true
		}
	}

	return false
}
