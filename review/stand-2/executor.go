package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	beat     = 1500 * time.Millisecond
	maxHold  = 6 * time.Second
	stopTime = 200 * time.Millisecond
	// maxListed is the most ends in one answer.
	maxListed = 500
)

// running is a run on an executor.
type running struct {
	task     string
	number   int
	begun    time.Time
	work     time.Duration
	stopping time.Time
}

// ended is the end of a run as an executor lists it.
type ended struct {
	number int
	task   string
	run    int
	how    string
}

// life is one boot of an executor. It ends with a crash, after which another one begins at its address.
type life struct {
	place *place
	id    string
	born  time.Time
	stop  func()

	mu       sync.Mutex
	dead     bool
	sequence int
	token    uint64
	hold     time.Time
	runs     map[string]*running
	// barred holds the highest run of each task that was stopped or has ended here.
	barred  map[string]int
	ends    []ended
	numbers int
	changed chan struct{}
	// late is how long the next answer that lists an end is on its way; sent is closed when that begins.
	late time.Duration
	sent chan struct{}
}

// place is an address at which one executor after another lives.
type place struct {
	fleet   *fleet
	number  int
	address string
	lives   int
	current *life
	// rack is a label of the executor.
	rack string
	// keepsID says that each life has the id of the first.
	keepsID bool
}

// fleet is all executors and what they have run.
type fleet struct {
	record   *record
	controls func(number int) []string
	service  string
	room     map[string]int

	mu     sync.Mutex
	places []*place
	works  map[string]time.Duration
	// startedJobs holds the jobs of which a run has started.
	startedJobs map[string]bool
	// lost counts the runs of each task that ended with a crash of their executor.
	lost map[string]int
	// done holds the tasks of which an end "done" was taken note of, and twice those that were started after it.
	done  map[string]bool
	twice map[string]bool
}

func newFleet(r *record, service string, controls func(number int) []string) *fleet {
	return &fleet{
		record: r, controls: controls, service: service, room: map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0},
		works: make(map[string]time.Duration), startedJobs: make(map[string]bool), lost: make(map[string]int),
		done: make(map[string]bool), twice: make(map[string]bool),
	}
}

// add adds a place and begins its first life.
func (f *fleet) add(address string) error {
	p := &place{fleet: f, number: len(f.places), address: address}
	f.places = append(f.places, p)

	return p.begin()
}

// begin begins another life at a place, under a new id.
func (p *place) begin() error {
	p.lives++

	id := fmt.Sprintf("i-%s-%03d-%d", p.fleet.service, p.number, p.lives)
	if p.keepsID {
		id = fmt.Sprintf("i-%s-%03d", p.fleet.service, p.number)
	}

	l := &life{
		place: p, id: id, born: time.Now(), runs: make(map[string]*running),
		barred: make(map[string]int), changed: make(chan struct{}),
	}

	mux := http.NewServeMux()
	mux.HandleFunc("POST /cranberrymill/run-start", l.order(l.start))
	mux.HandleFunc("POST /cranberrymill/run-stop", l.order(l.stopRun))
	mux.HandleFunc("POST /cranberrymill/pace", l.order(func(*order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("POST /cranberrymill/hold", l.order(l.extendAndList))
	mux.HandleFunc("GET /health", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })

	stop, err := serve(p.address, mux)
	if err != nil {
		return err
	}

	l.stop = stop
	p.current = l

	go l.sendBeats()
	go l.work()

	return nil
}

func (p *place) rackName() string {
	if p.rack != "" {
		return p.rack
	}

	return fmt.Sprintf("r-%d", p.number/5)
}

// crash ends the life at a place: its channels are reset, and its runs are gone.
func (p *place) crash() {
	l := p.current

	l.mu.Lock()
	l.dead = true
	names := slices.Sorted(maps.Keys(l.runs))
	l.mu.Unlock()

	l.stop()

	p.fleet.mu.Lock()
	for _, name := range names {
		p.fleet.lost[name]++
	}
	p.fleet.mu.Unlock()

	p.fleet.record.line("executor %s crashes with %d runs: %s", l.id, len(names), strings.Join(names, " "))
}

func (l *life) clock() int64 { return (time.Second + time.Since(l.born)).Milliseconds() }

func (l *life) sendBeats() {
	for {
		l.mu.Lock()
		if l.dead {
			l.mu.Unlock()

			return
		}

		l.sequence++
		body := map[string]any{
			"service": l.place.fleet.service, "address": l.place.address, "zone": fmt.Sprintf("zone-%d", l.place.number%zones),
			"version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "room": l.place.fleet.room,
			"labels":   []string{"a", l.place.rackName()},
			"clock_ms": l.clock(), "sequence": l.sequence, "born": l.born.UnixMilli(),
		}
		l.mu.Unlock()

		for _, control := range l.place.fleet.controls(l.place.number) {
			if status, _ := call(http.MethodPut, control, "/cranberrymill/instances/"+l.id, "", body, time.Second); status/100 == 2 {
				break
			}
		}

		time.Sleep(beat)
	}
}

// order holds the fields of all calls.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// order reads an order and refuses those for another boot and those with an old fence number.
func (l *life) order(handle func(o *order) (int, map[string]any)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != l.id {
			writer.WriteHeader(http.StatusMisdirectedRequest)

			return
		}

		var o order
		if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
			writer.WriteHeader(http.StatusBadRequest)

			return
		}

		l.mu.Lock()

		begun := time.Now()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Token >= l.token {
			l.token = o.Token
			status, body = handle(&o)
		}

		body["clock_ms"] = l.clock()
		late, sent := time.Duration(0), l.sent

		if list, ok := body["finished_runs"].([][]any); ok && len(list) > 0 && time.Since(begun) < earlyEnd {
			late, l.late = l.late, 0
		}

		l.mu.Unlock()

		if late > 0 {
			l.replyLate(writer, body, late, sent)

			return
		}

		reply(writer, status, body)
	}
}

// replyLate sends an answer that is on its way for some time, on a channel that outlives its sender.
func (l *life) replyLate(writer http.ResponseWriter, body any, late time.Duration, sent chan struct{}) {
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}

	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}

	defer func() { _ = conn.Close() }()

	data, err := json.Marshal(body)
	if err != nil {
		return
	}

	l.place.fleet.record.line("executor %s (born %d) answers a hold, and the answer is late: %s", l.id, l.born.UnixMilli(), data)
	close(sent)
	time.Sleep(late)

	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	l.place.fleet.record.line("the late answer arrives: %v", err)
}

// earlyEnd is how soon after a hold has arrived an end must come for the answer to be the late one: callers do not wait long.
const earlyEnd = 300 * time.Millisecond

// extend lengthens the hold on everything that runs.
func (l *life) extend(deadline int64) {
	until := l.born.Add(time.Duration(deadline)*time.Millisecond - time.Second)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}

	if deadline > 0 && until.After(l.hold) {
		l.hold = until
	}
}

func (l *life) start(o *order) (int, map[string]any) {
	if o.Deadline <= l.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}

	l.extend(o.Deadline)

	if r, ok := l.runs[o.Task]; ok && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	}

	if o.Run <= l.barred[o.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}

	f := l.place.fleet

	f.mu.Lock()
	job, _, _ := strings.Cut(o.Task, ".")
	work := f.works[job]
	f.startedJobs[job] = true

	if f.done[o.Task] {
		f.twice[o.Task] = true
		f.record.line("TWICE: %s run %d starts though a run of it has ended done, of which was taken note", o.Task, o.Run)
	}
	f.mu.Unlock()

	f.record.line("executor %s starts %s run %d", l.id, o.Task, o.Run)
	l.runs[o.Task] = &running{task: o.Task, number: o.Run, begun: time.Now(), work: work}

	return http.StatusOK, map[string]any{}
}

func (l *life) stopRun(o *order) (int, map[string]any) {
	l.barred[o.Task] = max(l.barred[o.Task], o.Run)

	if r, ok := l.runs[o.Task]; ok && r.number <= o.Run && r.stopping.IsZero() {
		r.stopping = time.Now()
	}

	return http.StatusOK, map[string]any{}
}

// extendAndList is called with the lock held, which it releases while it waits for an end.
func (l *life) extendAndList(o *order) (int, map[string]any) {
	l.extend(o.Deadline)

	for len(l.ends) > 0 && l.ends[0].number <= o.LastSeen {
		l.place.fleet.noted(l, &l.ends[0], o.LastSeen)
		l.ends = l.ends[1:]
	}

	if changed := l.changed; len(l.ends) == 0 && o.Wait > 0 {
		l.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		l.mu.Lock()
	}

	list, finished := make([][]any, 0, len(l.runs)), make([][]any, 0, len(l.ends))

	for _, r := range l.runs {
		percent := int(100 * time.Since(r.begun) / r.work)
		list = append(list, []any{r.task, r.number, "", min(99, percent), 0})
	}

	for _, e := range l.ends[:min(len(l.ends), maxListed)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}

	return http.StatusOK, map[string]any{"running": list, "finished_runs": finished, "born": l.born.UnixMilli()}
}

// work ends the runs that are done, stopped or no longer held.
func (l *life) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		l.mu.Lock()

		if l.dead {
			l.mu.Unlock()

			return
		}

		now := time.Now()

		for _, r := range l.runs {
			switch {
			case now.After(l.hold):
				l.end(r, "lapsed")
			case !r.stopping.IsZero() && now.Sub(r.stopping) > stopTime:
				l.end(r, "stopped")
			case r.stopping.IsZero() && now.Sub(r.begun) >= r.work:
				l.end(r, "done")
			}
		}

		l.mu.Unlock()
	}
}

func (l *life) end(r *running, how string) {
	delete(l.runs, r.task)

	l.barred[r.task] = max(l.barred[r.task], r.number)
	l.numbers++
	l.ends = append(l.ends, ended{number: l.numbers, task: r.task, run: r.number, how: how})
	l.place.fleet.record.line("executor %s: %s run %d ends %s", l.id, r.task, r.number, how)

	close(l.changed)
	l.changed = make(chan struct{})
}

// noted records that last_seen has reached an end.
func (f *fleet) noted(l *life, e *ended, lastSeen int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.record.line("last_seen %d reaches end %d of executor %s (born %d): %s run %d %s",
		lastSeen, e.number, l.id, l.born.UnixMilli(), e.task, e.run, e.how)

	if e.how == "done" {
		f.done[e.task] = true
	}
}
