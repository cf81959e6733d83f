package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	executors   = 35
	jobsEvery   = 50 * time.Millisecond
	jobTasks    = 6
	taskTime    = 560 * time.Millisecond
	trafficTime = 75 * time.Second
	// atOnce is the share 0.14 of the executors, and downTime how long they are down.
	atOnce   = 5
	downTime = 2 * time.Second
	// finishTime is finish_s of the settings.
	finishTime = 14 * time.Second
)

// job is one job of a client.
type job struct {
	id    string
	front int
	state string
}

// crashes plays short jobs while executors crash at random, and looks for jobs that are shown as failed: no run ends
// "failed" on these executors.
func crashes(s *scene) (int, error) {
	random := rand.New(rand.NewPCG(s.seed, s.seed))
	f := newFleet(s.record, "booking", s.cluster.controls)

	if err := s.cluster.start(); err != nil {
		return 0, err
	}

	stopProvider, err := serve(s.cluster.provider(), http.NotFoundHandler())
	if err != nil {
		return 0, err
	}
	defer stopProvider()

	for i := range executors {
		if err := f.add(address(fmt.Sprintf("%s%d", s.cluster.network, 100+i), s.cluster.outside)); err != nil {
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

	var (
		group sync.WaitGroup
		mu    sync.Mutex
		jobs  []*job
	)

	end := time.Now().Add(trafficTime)

	if s.trouble {
		group.Go(func() { f.crashUntil(end, random) })
	}

	for number := 0; time.Now().Before(end); number++ {
		j := &job{id: fmt.Sprintf("%016x", s.seed<<32+uint64(number)+1), front: number % zones}

		group.Go(func() {
			if s.runJob(f, j, end.Add(finishTime)) {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		})

		time.Sleep(jobsEvery)
	}

	group.Wait()

	return s.judge(f, jobs), nil
}

// crashUntil has executors crash, a share of them at a time, until a time.
func (f *fleet) crashUntil(end time.Time, random *rand.Rand) {
	for time.Now().Add(downTime).Before(end) {
		picked := random.Perm(len(f.places))[:atOnce]
		for _, at := range picked {
			f.places[at].crash()
		}

		time.Sleep(downTime)

		for _, at := range picked {
			if err := f.places[at].begin(); err != nil {
				f.record.line("executor %d does not begin again: %v", at, err)
			}
		}

		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
	}
}

// runJob submits a job and asks for its state until it has an outcome. It reports whether the job was accepted.
func (s *scene) runJob(f *fleet, j *job, end time.Time) bool {
	f.mu.Lock()
	f.works[j.id] = taskTime
	f.mu.Unlock()

	body := map[string]any{
		"spec":  "check " + j.id,
		"steps": []map[string]any{{"count": jobTasks, "cpu": 1500, "mem_mb": 1600, "estimate_ms": taskTime.Milliseconds()}},
	}
	front, path := address(s.cluster.fronts[j.front].ip, s.cluster.front), "/avail/"+j.id

	status, _ := call(http.MethodPost, front, path, host, body, 3*time.Second)
	s.record.line("job %s is handed in: %d", j.id, status)

	if status != http.StatusOK {
		return false
	}

	for time.Now().Before(end) {
		time.Sleep(500 * time.Millisecond)

		status, answer := call(http.MethodGet, front, path, host, nil, 3*time.Second)
		state, _ := answer["state"].(string)

		if status == http.StatusOK && state != "queued" && state != "running" {
			j.state = state
			s.record.line("job %s is shown as %s", j.id, state)

			return true
		}
	}

	return true
}

// judge applies the rule to the jobs that were accepted.
func (s *scene) judge(f *fleet, jobs []*job) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	shown, broken := make(map[string]int), 0

	for _, j := range jobs {
		shown[j.state]++

		if j.state != "failed" {
			continue
		}

		most := 0

		for index := range jobTasks {
			most = max(most, f.lost[fmt.Sprintf("%s.0.0.%d", j.id, index)])
		}

		broken++
		s.record.line("LOST: job %s is shown as failed: none of its runs has ended failed, max_attempts is %d; no task lost more than %d runs with crashed executors",
			j.id, maxAttempts, most)
	}

	s.record.line("jobs accepted: %d, shown at the end as: %s", len(jobs), strings.TrimPrefix(fmt.Sprint(shown), "map"))
	s.record.line("jobs shown as failed without cause: %d", broken)

	if broken > 0 {
		return exitBroken
	}

	return exitHeld
}
