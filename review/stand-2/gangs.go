package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	gangExecutors = 24
	// greyAtOnce of gangExecutors is the share 0.085, and greySpan how long they are grey.
	greyAtOnce   = 2
	greySpan     = 6500 * time.Millisecond
	gangWork     = 1500 * time.Millisecond
	gangJobs     = 3
	gangPatience = 15 * time.Second
)

// gangs plays jobs whose tasks work only together, on all executors, two of which fail all that they start for some time.
// It looks for jobs that are shown as failed before their gang has failed max_attempts times.
func gangs(s *scene) (int, error) {
	f := newFleet(s.record, "booking", s.cluster.controls)

	if err := s.cluster.start(); err != nil {
		return 0, err
	}

	stopProvider, err := serve(s.cluster.provider(), http.NotFoundHandler())
	if err != nil {
		return 0, err
	}
	defer stopProvider()

	for i := range gangExecutors {
		if err := f.add(address(fmt.Sprintf("%s%d", s.cluster.network, 100+i), s.cluster.outside)); err != nil {
			return 0, err
		}
	}

	if err := s.configure(manifest(1, []map[string]any{route("all-at-once", "/all/", "booking")}, []map[string]any{service("booking")})); err != nil {
		return 0, err
	}

	if err := s.awaitReady(); err != nil {
		return 0, err
	}

	time.Sleep(2 * beat)

	broken := 0

	for number := range gangJobs {
		id := fmt.Sprintf("%016x", s.seed<<32+uint64(number)+1)

		lost, err := s.runGang(f, id, number%zones)
		if err != nil {
			return 0, err
		}

		if lost {
			broken++
		}
	}

	s.record.line("jobs shown as failed without cause: %d of %d", broken, gangJobs)

	if broken > 0 {
		return exitBroken, nil
	}

	return exitHeld, nil
}

// setGrey has two executors fail all that they start, or no longer.
func (f *fleet) setGrey(grey bool) {
	for _, p := range f.places[:greyAtOnce] {
		p.current.mu.Lock()
		p.grey = grey
		p.current.mu.Unlock()
		f.record.line("executor %s fails all that it starts: %t", p.current.id, grey)
	}
}

// runGang plays one job and reports whether it is shown as failed without cause.
func (s *scene) runGang(f *fleet, id string, front int) (bool, error) {
	if s.trouble {
		f.setGrey(true)

		timer := time.AfterFunc(greySpan, func() { f.setGrey(false) })
		defer timer.Stop()
	}

	f.mu.Lock()
	f.works[id], f.together[id] = gangWork, gangExecutors
	f.mu.Unlock()

	body := map[string]any{
		"spec": "all at once " + id,
		"steps": []map[string]any{{
			"count": gangExecutors, "cpu": 8000, "mem_mb": 4096, "estimate_ms": gangWork.Milliseconds(), "gang": true, "anti_affinity": 1,
		}},
	}
	at, path := address(s.cluster.fronts[front].ip, s.cluster.front), "/all/"+id

	status, _ := call(http.MethodPost, at, path, host, body, 3*time.Second)
	s.record.line("job %s is handed in: %d", id, status)

	if status != http.StatusOK {
		return false, fmt.Errorf("job %s was not accepted: %d", id, status)
	}

	state := ""

	for begun := time.Now(); time.Since(begun) < gangPatience && state != "completed" && state != "failed"; time.Sleep(50 * time.Millisecond) {
		_, answer := call(http.MethodGet, at, path, host, nil, 3*time.Second)
		state, _ = answer["state"].(string)
	}

	f.mu.Lock()
	failures := len(f.failedGangs[id])
	most := 0

	for index := range gangExecutors {
		most = max(most, f.failed[fmt.Sprintf("%s.0.0.%d", id, index)])
	}
	f.mu.Unlock()

	s.record.line("job %s is shown as %s; its gang has failed %d times, no task of it more than %d times, max_attempts is %d",
		id, state, failures, most, maxAttempts)

	if s.trouble {
		time.Sleep(greySpan) // The next job begins when the executors are well again.
	}

	return state == "failed" && failures < maxAttempts, nil
}
