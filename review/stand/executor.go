package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// room is what an executor offers, or a task needs.
type room struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPU    int64 `json:"gpu"`
}

// activeRun is a run in progress.
type activeRun struct {
	task     string
	number   int
	began    time.Time
	work     time.Duration
	stopping bool
	// lasts says that the task works until it is stopped, and failsAfter when this run fails; 0 for never.
	lasts      bool
	failsAfter time.Duration
}

// percent returns what the executor lists for the run. A task that lasts is at work after a short startup.
func (r *activeRun) percent() int {
	switch took := time.Since(r.began); {
	case !r.lasts:
		return min(99, int(100*took/r.work))
	case took < startup:
		return int(100 * took / startup)
	default:
		return 100
	}
}

// ended is a run that has ended, as its executor lists it.
type ended struct {
	number int
	task   string
	run    int
	how    string
}

// executor is a stand-in for one executor. It may end and start again, under the same id or another.
type executor struct {
	record  *recorder
	history *history
	service string
	// address is where the executor listens, and reported the address that it gives.
	address  string
	reported string
	labels   []string
	room     room
	// controls returns the addresses that serve control, in the order in which the executor calls them.
	controls func() []string
	// leaveControls are those for its last call; nil means the same.
	leaveControls func() []string

	// onDone, unless nil, is called when a run is done, before its end can be read.
	onDone func(l *life, run *activeRun)

	mu      sync.Mutex
	changed *sync.Cond
	life    *life
	stop    func()
}

// clockStart is what the clock of a boot shows when it begins; 0 would read as a missing field.
const clockStart = time.Second

// clock returns what the clock of the boot shows.
func (l *life) clock() time.Duration { return clockStart + time.Since(l.born) }

// life is one boot of an executor.
type life struct {
	id       string
	born     time.Time
	state    string
	sequence int
	fence    uint64
	leaseEnd time.Time
	running  map[string]*activeRun
	// refused holds the highest run of each task that was stopped or has ended.
	refused map[string]int
	ends    []ended
	lastEnd int
	// seen is the highest number of an end that was taken note of.
	seen int
	over chan struct{}
}

func newExecutor(record *recorder, runs *history, service, address string, labels []string, size room) *executor {
	e := &executor{record: record, history: runs, service: service, address: address, reported: address, labels: labels, room: size}
	e.changed = sync.NewCond(&e.mu)

	return e
}

// begin starts a boot with an id and keeps it registered.
func (e *executor) begin(id string) error {
	l := &life{
		id: id, born: time.Now(), state: "ready", running: make(map[string]*activeRun), refused: make(map[string]int),
		over: make(chan struct{}),
	}

	mux := http.NewServeMux()
	mux.HandleFunc("POST /cranberrymill/run-start", e.guarded(l, e.startRun))
	mux.HandleFunc("POST /cranberrymill/run-stop", e.guarded(l, e.stopRun))
	mux.HandleFunc("POST /cranberrymill/hold", e.guarded(l, e.hold))
	mux.HandleFunc("POST /cranberrymill/pace", e.guarded(l, e.pace))
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })

	stop, err := serve(e.address, mux)
	if err != nil {
		return err
	}

	e.mu.Lock()
	e.life, e.stop = l, stop
	e.mu.Unlock()

	e.record.logf("executor %s starts at %s", id, e.address)

	go e.beat(l)
	go e.work(l)

	return nil
}

// end ends the boot, and with it everything that runs on it.
func (e *executor) end() {
	e.mu.Lock()
	l, stop := e.life, e.stop

	if l == nil {
		e.mu.Unlock()

		return
	}

	for _, run := range l.running {
		e.history.ended(run.task, run.number, l.id, "left")
	}

	l.running = map[string]*activeRun{}
	e.life, e.stop = nil, nil
	close(l.over)
	e.changed.Broadcast()
	e.mu.Unlock()

	stop()
	e.record.logf("executor %s ends", l.id)
}

// crash ends the boot without notice.
func (e *executor) crash() {
	e.record.logf("executor %s crashes", e.id())
	e.end()
}

// noted reports whether all ends of the current boot were taken note of.
func (e *executor) noted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.life != nil && e.life.lastEnd > 0 && e.life.seen >= e.life.lastEnd
}

// id returns the id of the current boot, or "".
func (e *executor) id() string {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.life == nil {
		return ""
	}

	return e.life.id
}

// beat sends status reports until the boot is over.
func (e *executor) beat(l *life) {
	for {
		e.report(l)

		select {
		case <-l.over:
			return
		case <-time.After(beatInterval):
		}
	}
}

// report sends one status report, and reports whether it was acknowledged.
func (e *executor) report(l *life) bool {
	for _, address := range e.controls() {
		e.mu.Lock()
		l.sequence++
		body := map[string]any{
			"service": e.service, "address": e.reported, "zone": "zone", "version": "v1", "slots": 8, "state": l.state,
			"cold_remaining_ms": 0, "room": e.room, "labels": e.labels, "clock_ms": l.clock().Milliseconds(),
			"sequence": l.sequence, "born": l.born.UnixMilli(),
		}
		e.mu.Unlock()

		if call(http.MethodPut, address, "/cranberrymill/instances/"+l.id, nil, body, time.Second).ok() {
			return true
		}
	}

	return false
}

// drain reports that the executor is about to leave, and returns once that is acknowledged.
func (e *executor) drain() {
	e.mu.Lock()
	l := e.life
	l.state = "draining"
	e.mu.Unlock()

	for !e.report(l) {
		time.Sleep(100 * time.Millisecond)
	}

	e.record.logf("executor %s: draining is acknowledged", l.id)
}

// leave tells the system that the executor leaves, one daemon after another until one has acknowledged it, and ends.
func (e *executor) leave() {
	id := e.id()
	addresses := e.controls()

	if e.leaveControls != nil {
		addresses = e.leaveControls()
	}

	for _, address := range addresses {
		e.record.logf("executor %s sends DELETE to %s", id, address)

		got := call(http.MethodDelete, address, "/cranberrymill/instances/"+id, nil, nil, time.Second)
		e.record.logf("executor %s: DELETE at %s got status %d", id, address, got.status)

		if got.ok() {
			break
		}
	}

	e.end()
}

// work ends the runs that are done, and all of them when the lease expires.
func (e *executor) work(l *life) {
	for {
		select {
		case <-l.over:
			return
		case <-time.After(5 * time.Millisecond):
		}

		e.mu.Lock()

		for _, run := range l.running {
			switch {
			case time.Now().After(l.leaseEnd):
				e.finish(l, run, "lapsed")
			case run.failsAfter > 0 && !run.stopping && time.Since(run.began) >= run.failsAfter:
				e.finish(l, run, "failed")
			case !run.lasts && !run.stopping && time.Since(run.began) >= run.work:
				if e.onDone != nil {
					e.onDone(l, run)
				}

				e.finish(l, run, "done")
			default:
			}
		}

		e.mu.Unlock()
	}
}

// finish lists the end of a run. The caller holds the lock.
func (e *executor) finish(l *life, run *activeRun, how string) {
	delete(l.running, run.task)
	l.refused[run.task] = max(l.refused[run.task], run.number)
	l.lastEnd++
	l.ends = append(l.ends, ended{number: l.lastEnd, task: run.task, run: run.number, how: how})
	e.history.ended(run.task, run.number, l.id, how)
	e.changed.Broadcast()
}

// order holds the fields of all calls.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// guarded reads an order and refuses those for another boot or with an old fence number.
func (e *executor) guarded(l *life, handle func(l *life, o *order) (int, map[string]any)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var o order

		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			writer.WriteHeader(http.StatusBadRequest)

			return
		}

		if want := request.Header.Get("X-Expected-Instance"); want != "" && want != l.id {
			writer.WriteHeader(http.StatusMisdirectedRequest)

			return
		}

		e.mu.Lock()

		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= l.fence {
			l.fence = o.Fence
			status, body = handle(l, &o)
		}

		if e.life != l {
			e.mu.Unlock()
			panic(http.ErrAbortHandler) // A boot that is over answers nothing.
		}

		body["clock_ms"] = l.clock().Milliseconds()
		e.mu.Unlock()

		reply(writer, status, body)
	}
}

// extend lengthens the lease of everything that runs.
func (l *life) extend(deadline int64) {
	if deadline == 0 {
		return
	}

	until := l.born.Add(time.Duration(deadline)*time.Millisecond - clockStart)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}

	if until.After(l.leaseEnd) {
		l.leaseEnd = until
	}
}

func (e *executor) startRun(l *life, o *order) (int, map[string]any) {
	if o.Deadline <= l.clock().Milliseconds() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}

	l.extend(o.Deadline)

	if run, ok := l.running[o.Task]; ok && run.number == o.Run {
		return http.StatusOK, map[string]any{}
	}

	if o.Run <= l.refused[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}

	l.running[o.Task] = newRun(o)
	e.history.started(o.Task, o.Run, l.id)

	return http.StatusOK, map[string]any{}
}

// newRun returns the run that an order starts. Its spec is "work_ms=N", or "lasts", or "lasts,fails_ms=N" for a task that
// lasts and whose first run fails after that time.
func newRun(o *order) *activeRun {
	run := &activeRun{task: o.Task, number: o.Run, began: time.Now(), work: time.Second}

	for part := range strings.SplitSeq(o.Spec, ",") {
		name, text, _ := strings.Cut(part, "=")
		millis, _ := strconv.Atoi(text)
		value := time.Duration(millis) * time.Millisecond

		switch name {
		case "work_ms":
			run.work = value
		case "lasts":
			run.lasts = true
		case "fails_ms":
			if o.Run == 1 {
				run.failsAfter = value
			}
		default:
		}
	}

	return run
}

func (e *executor) stopRun(l *life, o *order) (int, map[string]any) {
	l.refused[o.Task] = max(l.refused[o.Task], o.Run)
	e.record.logf("executor %s is told to stop %s, run %d", l.id, o.Task, o.Run)

	run, ok := l.running[o.Task]
	if ok && run.number <= o.Run && !run.stopping {
		run.stopping = true

		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()

			if l.running[o.Task] == run {
				e.finish(l, run, "stopped")
			}
		})
	}

	return http.StatusOK, map[string]any{}
}

func (e *executor) pace(*life, *order) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(l *life, o *order) (int, map[string]any) {
	l.extend(o.Deadline)
	l.seen = max(l.seen, o.LastSeen)

	for len(l.ends) > 0 && l.ends[0].number <= o.LastSeen {
		l.ends = l.ends[1:]
	}

	until := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	wake := time.AfterFunc(time.Until(until), e.changed.Broadcast)

	for len(l.ends) == 0 && time.Now().Before(until) && e.life == l {
		e.changed.Wait()
	}

	wake.Stop()

	running := make([][]any, 0, len(l.running))
	for _, run := range l.running {
		running = append(running, []any{run.task, run.number, "", run.percent(), 0})
	}

	sort.Slice(running, func(a, b int) bool { return running[a][0].(string) < running[b][0].(string) })

	finished := make([][]any, 0, len(l.ends))
	for _, end := range l.ends {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}

	return http.StatusOK, map[string]any{"running": running, "finished_runs": finished, "born": l.born.UnixMilli()}
}
