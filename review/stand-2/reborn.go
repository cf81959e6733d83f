package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	rebornExecutors = 7
	// ownRack is a label that only the executor has that starts again.
	ownRack = "r-own"
	// warmJobs have run before on the executor, one after the other.
	warmJobs = 12
	longWork = 20 * time.Second
	// restartTime is how long the executor is down, and lateTime how long its last answer is on its way.
	restartTime = 600 * time.Millisecond
	lateTime    = 1400 * time.Millisecond
	quickWork   = 250 * time.Millisecond
	slowerWork  = 400 * time.Millisecond
	maxTries    = 8
	newJobs     = 6
)

// reborn plays an executor that crashes and starts again under its id, whose last answer arrives late. It looks for tasks
// that are started again after an end "done" of theirs was taken note of.
func reborn(s *scene) (int, error) {
	f := newFleet(s.record, "booking", s.cluster.controls)

	if err := s.cluster.start(); err != nil {
		return 0, err
	}

	stopProvider, err := serve(s.cluster.provider(), http.NotFoundHandler())
	if err != nil {
		return 0, err
	}
	defer stopProvider()

	for i := range rebornExecutors {
		p := &place{fleet: f, number: i, address: address(fmt.Sprintf("%s%d", s.cluster.network, 100+i), s.cluster.outside)}
		if i == 0 {
			p.rack, p.keepsID = ownRack, true
		}

		f.places = append(f.places, p)

		if err := p.begin(); err != nil {
			return 0, err
		}
	}

	if err := s.configure(manifest(1, []map[string]any{route("avail-check", "/avail/", "booking")}, []map[string]any{service("booking")})); err != nil {
		return 0, err
	}

	if err := s.awaitReady(); err != nil {
		return 0, err
	}

	time.Sleep(2 * beat)

	number := 0
	submit := func(work time.Duration) {
		number++
		s.submitTo(f, fmt.Sprintf("%016x", s.seed<<32+uint64(number)), work, number%zones)
	}

	for range warmJobs {
		submit(quickWork)
		time.Sleep(400 * time.Millisecond)
	}

	submit(longWork)
	time.Sleep(2 * time.Second)

	l := f.places[0].current
	l.mu.Lock()
	l.sent = make(chan struct{})

	if s.trouble {
		l.late = lateTime
	}
	l.mu.Unlock()

	for range maxTries {
		submit(quickWork)
		submit(slowerWork) // Its end comes soon after the hold that acknowledges the first one's.

		if !s.trouble {
			break
		}

		select {
		case <-l.sent:
			s.trouble = false // Once is enough.
		case <-time.After(1500 * time.Millisecond):
			continue
		}

		f.places[0].crash()
		time.Sleep(restartTime)

		if err := f.places[0].begin(); err != nil {
			return 0, err
		}
	}

	for range newJobs {
		submit(quickWork)
		time.Sleep(50 * time.Millisecond)
	}

	time.Sleep(12 * time.Second)

	f.mu.Lock()
	defer f.mu.Unlock()

	s.record.line("tasks started after an end done of theirs was taken note of: %d", len(f.twice))

	if len(f.twice) > 0 {
		return exitBroken, nil
	}

	return exitHeld, nil
}

// submitTo submits a job with one task for the executor with the label ownRack.
func (s *scene) submitTo(f *fleet, id string, work time.Duration, front int) {
	f.mu.Lock()
	f.works[id] = work
	f.mu.Unlock()

	body := map[string]any{
		"spec": "check " + id,
		"steps": []map[string]any{{
			"count": 1, "cpu": 1500, "mem_mb": 1600, "estimate_ms": work.Milliseconds(), "requirements": ownRack,
		}},
	}

	status, _ := call(http.MethodPost, address(s.cluster.fronts[front].ip, s.cluster.front), "/avail/"+id, host, body, 3*time.Second)
	s.record.line("job %s is handed in: %d", id, status)
}
