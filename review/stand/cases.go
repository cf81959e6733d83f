package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// waveCase freezes the leader while it drains a machine for a wave of upkeep, and thaws it after its successor has begun
// the upkeep of another machine. Whether the thawed process orders or learns of its successor first is a race, so it plays
// up to three waves.
func waveCase(record *recorder, trouble bool) ([]string, error) {
	const waves = 3

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	s.provider.limit = 1

	for _, label := range []string{"left", "right"} {
		if err := s.provider.add("m-"+label, s.addExecutor([]string{label, "r1-1"}, 16000)); err != nil {
			return nil, err
		}
	}

	for number := 1; number <= waves && len(s.provider.breaches()) == 0; number++ {
		if err := s.playWave(number, trouble); err != nil {
			return nil, err
		}
	}

	return s.provider.breaches(), nil
}

// playWave plays one wave of both machines, of which one may be down at a time.
func (s *scene) playWave(number int, trouble bool) error {
	const (
		// freezeTime is within the 6.8 s of the site file.
		freezeTime = 5500 * time.Millisecond
		// leaderAge is more than lease_ms, for which a new leader orders no upkeep.
		leaderAge = 3500 * time.Millisecond
		duration  = 20
	)

	if number > 1 {
		time.Sleep(upkeepTime + beatInterval) // The machines of the wave before are back by then.
	}

	// The machine with less to do is drained first. Its task is still at work when its upkeep is due.
	long, short := fmt.Sprintf("%016x", 0xa0+number), fmt.Sprintf("%016x", 0xb0+number)

	if err := s.submit(long, jobWith(20*time.Second, 1000, "left")); err != nil {
		return err
	}

	if _, err := s.awaitStart(long); err != nil {
		return err
	}

	if err := s.submit(short, jobWith(5500*time.Millisecond, 8000, "right")); err != nil {
		return err
	}

	if _, err := s.awaitStart(short); err != nil {
		return err
	}

	time.Sleep(leaderAge)

	leader, err := s.leader()
	if err != nil {
		return err
	}

	if err := s.startWave(number, 1, duration, "m-left", "m-right"); err != nil {
		return err
	}

	time.Sleep(time.Second)

	if trouble {
		s.freeze(leader)
		time.Sleep(freezeTime)
		s.thaw(leader)
	}

	return s.awaitWave(number, duration)
}

// addedCase plays a wave, adds a machine, and plays a wave of that machine.
func addedCase(record *recorder, trouble bool) ([]string, error) {
	const (
		// machines is such that one more is within the share of 0.25 that may be added.
		machines  = 4
		leaderAge = 3500 * time.Millisecond
		duration  = 10
		added     = "m-added"
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	s.provider.limit = 1

	for i := range machines {
		if err := s.provider.add(fmt.Sprintf("m-%d", i), s.addExecutor([]string{"a", "r1-1"}, 16000)); err != nil {
			return nil, err
		}
	}

	add := func() error {
		record.logf("provider: %s is added", added)

		return s.provider.add(added, s.addExecutor([]string{"a", "r1-1"}, 16000))
	}

	if !trouble {
		if err := add(); err != nil {
			return nil, err
		}
	}

	time.Sleep(leaderAge)

	if err := s.startWave(1, 1, duration, "m-0"); err != nil {
		return nil, err
	}

	if err := s.awaitWave(1, duration); err != nil {
		return nil, err
	}

	if trouble {
		if err := add(); err != nil {
			return nil, err
		}
	}

	time.Sleep(upkeepTime + 2*beatInterval)

	if err := s.startWave(2, 1, duration, added); err != nil {
		return nil, err
	}

	if err := s.awaitWave(2, duration); err != nil {
		return nil, err
	}

	// An order that is under way arrives meanwhile.
	time.Sleep(10 * time.Second)

	if s.provider.hasHad(added, 2) {
		return nil, nil
	}

	return []string{fmt.Sprintf("MIXED: wave 2 is said to be completed, and its machine %s, which stays, has not begun its upkeep",
		added)}, nil
}

// startWave has the operator start a wave of some machines, of which so many may be down at once.
func (s *scene) startWave(number, most, duration int, machines ...string) error {
	leader, err := s.leader()
	if err != nil {
		return err
	}

	wave := map[string]any{"wave": number, "machines": machines, "duration_s": duration, "max_count": most}
	if got := call(http.MethodPost, s.control(leader), "/cranberrymill/wave-start", nil, wave, time.Second); !got.ok() {
		return fmt.Errorf("%w: wave got status %d", errNotMet, got.status)
	}

	s.record.logf("operator: wave %d of %v is acknowledged", number, machines)

	return nil
}

// awaitWave asks for the state of a wave until it is completed.
func (s *scene) awaitWave(number, duration int) error {
	return eventually(time.Duration(duration+5)*time.Second, "the wave is not completed", func() bool {
		time.Sleep(500 * time.Millisecond)

		got := call(http.MethodGet, s.control(s.cores[0]), fmt.Sprintf("/cranberrymill/wave-get/%d", number), nil, nil, time.Second)
		s.record.logf("operator: GET of wave %d got status %d: %s", number, got.status, bytes.TrimSpace(got.body))

		return bytes.Contains(got.body, []byte("completed"))
	})
}

// servingCase has a wave take down the machines on which the tasks of one step are at work, of which one may be away. With
// trouble, there was a wave before.
func servingCase(record *recorder, trouble bool) ([]string, error) {
	const (
		machines  = 4
		leaderAge = 3500 * time.Millisecond
		duration  = 20
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	s.provider.limit = machines

	var all []string

	for i := range machines {
		all = append(all, fmt.Sprintf("m-%d", i))

		if err := s.provider.add(all[i], s.addExecutor([]string{"a", "r1-1"}, 16000)); err != nil {
			return nil, err
		}
	}

	time.Sleep(leaderAge)

	if trouble {
		if err := s.startWave(1, machines, duration, all...); err != nil {
			return nil, err
		}

		if err := s.awaitWave(1, duration); err != nil {
			return nil, err
		}
	}

	time.Sleep(upkeepTime + 2*beatInterval)

	id := "0000000000000fa1"
	body := job{Spec: "lasts", Steps: []step{{
		Count: machines, CPU: 1000, Memory: 64, Estimate: 60000, LongRunning: true, AntiAffinity: 1, MayMiss: 1,
	}}}

	if err := s.submit(id, body); err != nil {
		return nil, err
	}

	if _, err := s.awaitRun(id, machines); err != nil {
		return nil, err
	}

	time.Sleep(5 * time.Second)

	if err := s.startWave(2, machines, duration, all...); err != nil {
		return nil, err
	}

	if err := s.awaitWave(2, duration); err != nil {
		return nil, err
	}

	time.Sleep(time.Second)

	return s.history.endedTogether(id, startup), nil
}

// leaveCase has an executor leave while a task runs on it, and loses the answer to its DELETE.
func leaveCase(record *recorder, trouble bool) ([]string, error) {
	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	for i := range 2 {
		if err := s.addExecutor([]string{"a", "r1-1"}, 16000).begin(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
	}

	id := "00000000000000c3"
	if err := s.submit(id, jobWith(25*time.Second, 1000, "")); err != nil {
		return nil, err
	}

	where, err := s.awaitStart(id)
	if err != nil {
		return nil, err
	}

	leaving := s.executors[slices.IndexFunc(s.executors, func(e *executor) bool { return e.id() == where })]

	thief := &answerThief{record: record}
	thief.steals.Store(trouble)

	stop, err := thief.serve(s.proxyAddress(0), s.control(s.cores[0]))
	if err != nil {
		return nil, err
	}
	defer stop()

	leaving.leaveControls = func() []string {
		return []string{s.proxyAddress(0), s.control(s.cores[1]), s.control(s.cores[2])}
	}

	leaving.drain()
	// It serves for drain_ms after the ack, and a little longer.
	time.Sleep(drainTime + 500*time.Millisecond)
	leaving.leave()
	time.Sleep(4 * time.Second)

	return doubleRuns(s.history), nil
}

// returnCase has an executor leave, and start again under its id. The daemon that it told first that it leaves was
// frozen, and reads that once it goes on.
func returnCase(record *recorder, trouble bool) ([]string, error) {
	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	frozen, err := s.follower()
	if err != nil {
		return nil, err
	}

	// The executors report to the other daemons, so that only one DELETE meets the frozen one.
	others := []string{}

	for _, m := range s.cores {
		if m != frozen {
			others = append(others, s.control(m))
		}
	}

	stays, returns := s.addExecutor([]string{"b", "r1-1"}, 16000), s.addExecutor([]string{"a", "r1-1"}, 16000)
	returns.leaveControls = func() []string { return append([]string{s.control(frozen)}, others...) }

	for id, e := range map[string]*executor{"i-stays": stays, "i-returns": returns} {
		e.controls = func() []string { return others }

		if err := e.begin(id); err != nil {
			return nil, err
		}
	}

	// The other executor is full until the first one is back.
	if err := s.submit("00000000000000d4", jobWith(8*time.Second, 16000, "b")); err != nil {
		return nil, err
	}

	if where, err := s.awaitStart("00000000000000d4"); err != nil || where != "i-stays" {
		return nil, fmt.Errorf("%w: the first job is at %q: %w", errNotMet, where, err)
	}

	returns.drain()
	time.Sleep(drainTime + 500*time.Millisecond)

	frozenAt := time.Now()

	if trouble {
		s.freeze(frozen)
	}

	returns.leave()
	time.Sleep(time.Second)

	if err := returns.begin("i-returns"); err != nil {
		return nil, err
	}

	id := "00000000000000e5"
	if err := s.submit(id, jobWith(25*time.Second, 1000, "")); err != nil {
		return nil, err
	}

	if where, err := s.awaitStart(id); err != nil || where != "i-returns" {
		return nil, fmt.Errorf("%w: the second job is at %q: %w", errNotMet, where, err)
	}

	// The daemon is frozen for 5.8 s, within the 6.8 s of the site file; the other executor is free again by then.
	time.Sleep(time.Until(frozenAt.Add(5800 * time.Millisecond)))

	if trouble {
		s.thaw(frozen)
	}

	time.Sleep(8 * time.Second)

	return doubleRuns(s.history), nil
}

// crashCase has executors crash and start again, one after the other, while jobs come in.
func crashCase(record *recorder, trouble bool) ([]string, error) {
	const (
		// executors is such that one of them is within the share of 0.14 that may crash at a time.
		executors  = 8
		downTime   = 500 * time.Millisecond
		crashPause = 300 * time.Millisecond
		jobPause   = 120 * time.Millisecond
		trafficFor = 40 * time.Second
		finishTime = 14 * time.Second
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	for i := range executors {
		if err := s.addExecutor([]string{"a", "r1-1"}, 16000).begin(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
	}

	over := time.Now().Add(trafficFor)
	crashed := make(chan error, 1)

	go func() {
		for trouble && time.Now().Before(over) {
			e := s.executors[rand.IntN(executors)]
			id := e.id()

			e.crash()
			time.Sleep(downTime)

			if err := e.begin(id); err != nil {
				crashed <- err

				return
			}

			time.Sleep(crashPause)
		}

		crashed <- nil
	}()

	var jobs []string

	for time.Now().Before(over) {
		id := fmt.Sprintf("%016x", 0xf600+len(jobs))
		jobs = append(jobs, id)

		body := jobWith(560*time.Millisecond, 1500, "")
		body.Steps[0].Count = 6

		if err := s.submit(id, body); err != nil {
			return nil, err
		}

		time.Sleep(jobPause)
	}

	if err := <-crashed; err != nil {
		return nil, err
	}

	time.Sleep(finishTime)

	var broken []string

	for _, id := range jobs {
		state := s.state(id)
		if failed := s.history.count(id, "failed"); state == "failed" && failed < maxAttempts {
			broken = append(broken, fmt.Sprintf("LOST: job %s, accepted and not cancelled, is shown as failed after %d ends %q; "+
				"max_attempts is %d", id, failed, "failed", maxAttempts))
		}
	}

	return broken, nil
}

// heldCase holds up a start order until its task has ended and its executor has started again under its id.
func heldCase(record *recorder, trouble bool) ([]string, error) {
	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	id := "00000000000000a7"
	e := s.addExecutor([]string{"a", "r1-1"}, 64000)
	e.reported = s.proxyAddress(1)
	holder := &orderHolder{record: record, target: e.address}
	if trouble {
		holder.job = id
	}

	stop, err := serve(e.reported, holder.handler())
	if err != nil {
		return nil, err
	}
	defer stop()

	if err := e.begin("i-0"); err != nil {
		return nil, err
	}

	for i := range 30 {
		if err := s.submit(fmt.Sprintf("00000000000003%02x", i), jobWith(500*time.Millisecond, 1000, "")); err != nil {
			return nil, err
		}
	}

	if err := s.submit(id, jobWith(time.Second, 1000, "")); err != nil {
		return nil, err
	}

	if _, err := s.awaitStart(id); err != nil {
		return nil, err
	}

	if err := eventually(10*time.Second, "the end is not taken note of", func() bool {
		return s.history.count(id, "done") > 0 && e.noted()
	}); err != nil {
		return nil, err
	}

	record.logf("all ends are taken note of")

	if trouble {
		e.crash()
		time.Sleep(time.Second)

		if err := e.begin("i-0"); err != nil {
			return nil, err
		}

		time.Sleep(500 * time.Millisecond)

		if err := holder.deliver(); err != nil {
			return nil, err
		}
	}

	time.Sleep(3 * time.Second)

	if count, _ := s.history.latest(id); count > 1 {
		return []string{fmt.Sprintf("TWICE: the task of job %s starts after its end, done, was taken note of", id)}, nil
	}

	return nil, nil
}

// doubleRuns describes the tasks that ran twice at the same time.
func doubleRuns(h *history) []string {
	var found []string

	for _, pair := range h.overlaps() {
		a, b := pair[0], pair[1]
		until := endOf(a)

		if other := endOf(b); other.Before(until) {
			until = other
		}

		found = append(found, fmt.Sprintf("TWICE: %s runs on %s (run %d) and on %s (run %d) at the same time, for %d ms",
			a.task, a.executor, a.run, b.executor, b.run, until.Sub(b.began).Milliseconds()))
	}

	return found
}

// countCase has an executor go dark for good, and asks how many jobs are pending while those that were placed on it have
// not begun.
func countCase(record *recorder, trouble bool) ([]string, error) {
	const (
		// executors is such that one of them is within the share of 0.14 that may be lost.
		executors = 8
		jobs      = 4
		// settledAfter is visible_ms + 2 s.
		settledAfter = 5 * time.Second
		askFor       = 14 * time.Second
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	var (
		last     *executor
		darkness darkener
	)

	for i := range executors {
		label := "a"
		if i == executors-1 {
			label = "b"
		}

		last = s.addExecutor([]string{label, "r1-1"}, 16000)

		if i == executors-1 {
			last.reported = s.proxyAddress(1)

			stop, err := darkness.serve(last.reported, last.address)
			if err != nil {
				return nil, err
			}
			defer stop()
		}

		if err := last.begin(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
	}

	// All other executors are full, and the last one has worked before.
	for i := range executors - 1 {
		if err := s.submit(fmt.Sprintf("%016x", 0xa00+i), jobWith(60*time.Second, 16000, "a")); err != nil {
			return nil, err
		}

		if _, err := s.awaitStart(fmt.Sprintf("%016x", 0xa00+i)); err != nil {
			return nil, err
		}
	}

	if err := s.submit("0000000000000b00", jobWith(500*time.Millisecond, 1000, "b")); err != nil {
		return nil, err
	}

	if _, err := s.awaitStart("0000000000000b00"); err != nil {
		return nil, err
	}

	time.Sleep(1500 * time.Millisecond)

	if trouble {
		record.logf("executor %s goes dark", last.id())
		darkness.dark.Store(true)

		last.controls = func() []string { return nil }
	}

	for i := range jobs {
		if err := s.submit(fmt.Sprintf("%016x", 0xc00+i), jobWith(time.Second, 1000, "")); err != nil {
			return nil, err
		}
	}

	settled := time.Now().Add(settledAfter)
	time.Sleep(time.Until(settled))

	var broken []string

	for time.Since(settled) < askFor-settledAfter {
		waiting := 0

		for i := range jobs {
			if count, _ := s.history.latest(fmt.Sprintf("%016x", 0xc00+i)); count == 0 {
				waiting++
			}
		}

		got := call(http.MethodGet, s.front(s.fronts[0]), prefix, clientHeaders, nil, 3*time.Second)
		record.logf("client: GET of the queue got status %d: %s, %d jobs have not begun", got.status, got.body, waiting)

		var body struct {
			Pending *int `json:"pending"`
		}

		if err := json.Unmarshal(got.body, &body); err == nil && body.Pending != nil && 2**body.Pending < waiting {
			broken = append(broken, fmt.Sprintf("MIXED: pending is given as %d, %d jobs were accepted over %s before and have not begun",
				*body.Pending, waiting, settledAfter))
		}

		time.Sleep(200 * time.Millisecond)
	}

	return broken, nil
}

// bytesCase sends a status report whose id cannot be read, as another writer may, and hands jobs in before and after it.
func bytesCase(record *recorder, trouble bool) ([]string, error) {
	const (
		// waitFor is longer than finish_s and the 3 s for which a job may have nothing running beside free capacity.
		waitFor    = 20 * time.Second
		executors  = 4
		unreadable = "i-%FF%FE"
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	for i := range executors {
		if err := s.addExecutor([]string{"a", "r1-1"}, 16000).begin(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
	}

	before, after := "0000000000000d01", "0000000000000d02"
	if err := s.submit(before, jobWith(time.Second, 1000, "")); err != nil {
		return nil, err
	}

	if _, err := s.awaitStart(before); err != nil {
		return nil, err
	}

	for _, m := range s.cores {
		if !trouble {
			break
		}

		body := map[string]any{
			"service": serviceName, "address": s.executorAddress(executors), "zone": "zone", "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "room": room{CPU: 16000, Memory: 32768}, "labels": []string{"a", "r1-1"},
			"clock_ms": 1000, "sequence": 1, "born": time.Now().UnixMilli(),
		}
		got := call(http.MethodPut, s.control(m), "/cranberrymill/instances/"+unreadable, nil, body, time.Second)
		record.logf("another writer: PUT of a report for %s at %s got status %d", unreadable, m.name, got.status)
	}

	time.Sleep(time.Second)

	if err := s.submit(after, jobWith(time.Second, 1000, "")); err != nil {
		return nil, err
	}

	accepted := time.Now()

	for time.Since(accepted) < waitFor {
		if count, _ := s.history.latest(after); count > 0 {
			return nil, nil
		}

		time.Sleep(time.Second)
		s.state(after)
	}

	return []string{fmt.Sprintf("LOST: job %s has nothing running for %s after it was accepted, and %d executors are empty",
		after, waitFor, executors)}, nil
}

// watchCase has the tasks of four jobs that last fail once, one job after the other, in a service that runs nothing else.
func watchCase(record *recorder, trouble bool) ([]string, error) {
	const (
		executors = 4
		jobs      = 40
		// failing jobs fail once, the first after failAfter, and each other one failPause after the one before: a tenth of
		// the runs.
		failing   = 4
		failAfter = 3 * time.Second
		failPause = 2 * time.Second
		// A task that lasts may have nothing running for 3 s, counted from 6 s after its last run.
		maxIdle  = 9 * time.Second
		watchFor = 30 * time.Second
	)

	s, err := newScene(record, 1)
	if s != nil {
		defer s.close()
	}

	if err != nil {
		return nil, err
	}

	for i := range executors {
		if err := s.addExecutor([]string{"a", "r1-1"}, 16000).begin(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
	}

	var tasks []string

	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xe00+i)
		body := job{Spec: "lasts", Steps: []step{{
			Count: executors, CPU: 180, Memory: 64, Estimate: 60000, LongRunning: true, AntiAffinity: 1,
		}}}

		if trouble && i < failing {
			body.Spec = fmt.Sprintf("lasts,fails_ms=%d", (failAfter + time.Duration(i)*failPause).Milliseconds())
		}

		if err := s.submit(id, body); err != nil {
			return nil, err
		}

		for index := range executors {
			tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", id, index))
		}
	}

	time.Sleep(watchFor)

	var broken []string

	for _, task := range tasks {
		if idle := s.history.idle(task); idle > maxIdle {
			broken = append(broken, fmt.Sprintf("LOST: task %s, which lasts, has had nothing running for %s",
				task, idle.Round(time.Millisecond)))
		}
	}

	return broken, nil
}
