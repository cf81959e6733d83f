package main

import (
	"fmt"
	"net/http"
	"time"
)

// cancelCase removes the route of an accepted job, and then cancels the job.
func cancelCase(record *recorder, trouble bool) ([]string, error) {
	const (
		applyTime  = 2500 * time.Millisecond
		ackTime    = 4 * time.Second
		cancelTime = 3 * time.Second
		// stopBound is stop_ms.
		stopBound = 400 * time.Millisecond
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	if err := s.addExecutor([]string{"a", "r1-1"}, 16000).begin("i-0"); err != nil {
		return nil, err
	}

	id := "0000000000000aa1"
	body := jobWith(time.Minute, 1000, "")
	body.Spec, body.Steps[0].LongRunning = "lasts", true

	if err := s.submit(id, body); err != nil {
		return nil, err
	}

	if _, err := s.awaitStart(id); err != nil {
		return nil, err
	}

	if trouble {
		if err := s.configure(8, "/other/"); err != nil {
			return nil, err
		}
	}

	time.Sleep(applyTime + 500*time.Millisecond)

	// A cancelling that gets no ack counts from ack_ms on.
	for begun := time.Now(); time.Since(begun) < ackTime; time.Sleep(500 * time.Millisecond) {
		got := call(http.MethodDelete, s.front(s.fronts[0]), prefix+id, clientHeaders, nil, 3*time.Second)
		record.logf("client: DELETE of job %s got status %d", id, got.status)

		if got.ok() || got.status == http.StatusGone {
			break
		}
	}

	time.Sleep(cancelTime + stopBound + 500*time.Millisecond)

	if s.history.idle(id+".0.0.0") == 0 {
		return []string{fmt.Sprintf("UNASKED: the task of job %s runs on after its cancelling had waited for its ack", id)}, nil
	}

	return nil, nil
}

// unreadCase has an executor crash twice at the moment at which the run of a task is done, before its end can be read.
func unreadCase(record *recorder, trouble bool) ([]string, error) {
	const (
		executors = 8
		crashes   = 2
		downTime  = 500 * time.Millisecond
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	for i := range executors {
		e := s.addExecutor([]string{"a", "r1-1"}, 16000)
		name := fmt.Sprintf("i-%d", i)

		e.onDone = func(l *life, run *activeRun) {
			if !trouble || run.number > crashes || e.life != l {
				return
			}

			e.history.record.logf("executor %s: %s, run %d, is done", l.id, run.task, run.number)
			e.life = nil // From now on it answers nothing.
			close(l.over)

			go func() {
				e.stop()
				e.history.ended(run.task, run.number, name, "crashed")
				time.Sleep(downTime)

				if err := e.begin(name); err != nil {
					record.logf("executor %s does not start: %v", name, err)
				}
			}()
		}

		if err := e.begin(name); err != nil {
			return nil, err
		}
	}

	id := "0000000000000bb2"
	if err := s.submit(id, jobWith(150*time.Millisecond, 1000, "")); err != nil {
		return nil, err
	}

	var state string

	if err := eventually(20*time.Second, "the job does not end", func() bool {
		time.Sleep(300 * time.Millisecond)

		state = s.state(id)

		return state == "completed" || state == "failed"
	}); err != nil {
		return nil, err
	}

	if failed := s.history.count(id, "failed"); state == "failed" && failed < maxAttempts {
		return []string{fmt.Sprintf("LOST: job %s is shown as failed after %d ends %q; max_attempts is %d",
			id, failed, "failed", maxAttempts)}, nil
	}

	return nil, nil
}
