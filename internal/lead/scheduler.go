package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Scheduler decides for one term of leadership. It does no input or output.
type Scheduler struct {
	bounds  Bounds
	fence   uint64
	began   time.Time
	placer  mill.Placer
	workers map[string]*worker
	// runs holds the runs that may be alive, and those whose placement is not committed yet.
	runs    map[mill.TaskID]*run
	advice  map[mill.StepID]*advice
	callers map[string]*caller
	// retrying holds since when tasks that have failed wait for another worker.
	retrying  map[mill.TaskID]time.Time
	estimates plan.RunTimeEstimates
	rates     plan.FailureRates
	ends      []ended
	// strays are runs that workers have and nobody wants.
	strays map[mill.RunRef]stray
	// machines is the provider's list of a time, listing says that it is being asked for.
	machines map[string]mill.Machine
	listed   time.Time
	listing  bool
	// inUpkeep lists the machines that the provider's list shows in upkeep.
	inUpkeep []string
	// upkeeps holds the machines whose turn has come in a wave, and settling the records of
	// those that have begun.
	upkeeps  map[string]*upkeep
	settling []jobs.Command
	// forgotten lists silent workers whose records are to be dropped.
	forgotten []string
	events    []Event
	// waitingSteps counts the steps that the last plan left with tasks to place.
	waitingSteps int
}

// caller is an address from which the advisor can be asked, one question at a time.
type caller struct {
	busy  bool
	heard time.Time
}

// ended is a run's end that is to be committed.
type ended struct {
	run   *run
	cause mill.FinishCause
}

// stray is a run that is to be stopped though it is none of ours.
type stray struct {
	worker *worker
	sent   time.Time
}

// livesBits is the part of a fencing token that counts the lives of a worker which
// start under one id, so that late orders to an earlier life do nothing.
const livesBits = 20

// New returns the scheduler of a term that begins; the term must be higher than
// every earlier one. It takes over the runs that the state holds.
func New(bounds Bounds, term uint64, now time.Time, state *jobs.State, placer mill.Placer) *Scheduler {
	s := &Scheduler{
		bounds:  bounds,
		fence:   term << livesBits,
		began:   now,
		placer:  placer,
		workers: make(map[string]*worker),
		runs:    make(map[mill.TaskID]*run),
		advice:  make(map[mill.StepID]*advice),
		callers: make(map[string]*caller),
		strays:  make(map[mill.RunRef]stray),
		upkeeps: make(map[string]*upkeep),

		retrying: make(map[mill.TaskID]time.Time),
	}

	s.recall(state)

	for _, job := range state.OpenJobs() {
		s.inherit(job)
	}

	return s
}

// fenceOf returns the fencing token for orders to a worker.
func (s *Scheduler) fenceOf(w *worker) uint64 {
	return s.fence + w.lives
}

func (s *Scheduler) inherit(job *jobs.Job) {
	for number, occurrence := range job.Occurrences {
		for index := range occurrence.Steps {
			id := mill.StepID{Job: job.ID, Occurrence: number, Step: index}
			for at := range occurrence.Steps[index].Tasks {
				s.inheritTask(job, id.Task(at), &occurrence.Steps[index].Tasks[at])
			}
		}
	}
}

func (s *Scheduler) inheritTask(job *jobs.Job, id mill.TaskID, task *jobs.Task) {
	if task.Phase != jobs.TaskPlaced {
		return
	}

	step := &job.Work.Steps[id.Step]
	r := &run{
		task:       id,
		number:     task.Run,
		worker:     s.worker(task.Worker),
		queue:      job.Queue.Name,
		step:       step,
		reserves:   step.Reserves(),
		phase:      runInherited,
		checkpoint: task.Checkpoint,
	}
	s.runs[id] = r
	r.worker.inherits = true
	r.worker.add(r)
}

func (s *Scheduler) worker(id string) *worker {
	w, ok := s.workers[id]
	if !ok {
		w = newWorker(id)
		s.workers[id] = w
	}

	return w
}

// Report takes note of a worker's status that was received at a time.
func (s *Scheduler) Report(status *mill.WorkerStatus, at time.Time) {
	w := s.worker(status.ID)

	if !w.heard.IsZero() && !status.NewerThan(&w.status) {
		return
	}

	if !w.heard.IsZero() && status.StartUnixMilli != w.status.StartUnixMilli {
		s.reborn(w, status.ClockMilli, at)
	}

	w.status = *status
	w.heard = at
	w.gone = false
	w.removed = time.Time{}

	if !w.clock.known() || at.Sub(w.clock.at) > time.Second {
		w.clock.observe(status.ClockMilli, at)
	}

	if w.failures > 0 {
		w.nextRenew = at
	}
}

// reborn takes note that a worker has started again under its id: what ran is
// lost, but an order may have reached the new life already, which takes a lease of the
// old one's clock for the longest that there is.
func (s *Scheduler) reborn(w *worker, clockMilli int64, now time.Time) {
	w.lives++
	w.clock = clock{}
	w.until = clockMilli + s.bounds.MaxLease.Milliseconds()
	w.seen = 0
	w.acked = 0
	w.pending = 0
	w.contacted = false

	for _, r := range w.runs {
		switch r.phase {
		case runStarting:
			s.doubt(r, now)
		case runAlive:
			r.answered = now
		default:
		}
	}
}

// Remove takes note that a worker has said that it ends now.
func (s *Scheduler) Remove(id string, now time.Time) {
	w, ok := s.workers[id]
	if ok && w.removed.IsZero() {
		w.removed = now
	}
}

// Caller takes note that the advisor can be asked from an address.
func (s *Scheduler) Caller(address string, now time.Time) {
	c, ok := s.callers[address]
	if !ok {
		c = &caller{}
		s.callers[address] = c
	}

	c.heard = now
}

// Next returns what is to be done now.
func (s *Scheduler) Next(now time.Time, wall int64, state *jobs.State) Actions {
	var actions Actions

	s.lapse(now)
	s.stopUnwanted(state)

	actions.Commands = s.takeEnds(now)
	candidates := s.candidates(wall, state)
	p := s.newPass(now, wall, state)
	actions.Commands = append(actions.Commands, s.place(candidates, p)...)
	actions.Commands = append(actions.Commands, s.record()...)
	actions.Commands = append(actions.Commands, s.settling...)
	s.settling = nil
	s.upkeep(&actions, now, state)
	actions.Asks = s.ask(candidates, p)
	s.waitingSteps = countWaiting(candidates)
	s.give(&actions, now)

	return actions
}

// lapse ends the runs of workers that have certainly ended or lost their leases.
func (s *Scheduler) lapse(now time.Time) {
	for id, w := range s.workers {
		if len(w.runs) == 0 {
			s.forget(id, w, now)

			continue
		}

		if w.gone || (!w.removed.IsZero() && now.Sub(w.removed) > leaveTime) || s.leasesOver(w, now) {
			s.endAll(w, mill.FinishLeaseExpired)
		}
	}
}

// forget drops a worker that has been silent for long.
func (s *Scheduler) forget(id string, w *worker, now time.Time) {
	last := w.heard
	if last.IsZero() {
		last = s.began
	}

	if now.Sub(last) <= forgetWorker {
		return
	}

	delete(s.workers, id)

	if w.recorded != nil {
		s.forgotten = append(s.forgotten, id)
	}
}

// forgetWorker is how long a silent worker without runs is remembered.
const forgetWorker = 30 * time.Second

// leasesOver reports whether no run on a worker that does not answer can be alive.
func (s *Scheduler) leasesOver(w *worker, now time.Time) bool {
	if !w.inherits {
		return w.failures > 0 && w.lapsed(now, s.bounds.LateLease)
	}

	// Nobody here knows what leases an earlier leader has given.
	longest := time.Duration(float64(s.bounds.MaxLease)/(1-clockDrift)) + takeoverMargin + s.bounds.LateLease
	if now.Sub(s.began) <= longest {
		return false
	}

	return w.until == 0 || w.lapsed(now, s.bounds.LateLease)
}

func (s *Scheduler) endAll(w *worker, cause mill.FinishCause) {
	w.inherits = false

	for _, r := range w.runs {
		if r.phase != runProposed {
			s.endRun(r, cause)
		}
	}
}

// endRun has the end of a run committed and frees what it took.
func (s *Scheduler) endRun(r *run, cause mill.FinishCause) {
	if r.cause != "" {
		return
	}

	r.cause = cause
	r.worker.remove(r)
	r.worker.committing++
	s.ends = append(s.ends, ended{run: r, cause: cause})

	if r.step.Gang && cause != mill.FinishDone {
		s.stopGang(r)
	}
}

func (s *Scheduler) takeEnds(now time.Time) []jobs.Command {
	commands := make([]jobs.Command, 0, len(s.ends))

	for _, e := range s.ends {
		s.judge(e, now)
		s.note(EventEnd, e.run, string(e.cause))

		commands = append(commands, jobs.Command{Finish: &jobs.Finish{
			Task:       e.run.task,
			Run:        e.run.number,
			Cause:      e.cause,
			Checkpoint: e.run.checkpoint,
		}})
	}

	s.ends = nil

	return commands
}

// learn takes note of what a whole run took.
func (s *Scheduler) learn(r *run, took time.Duration) {
	if s.estimates.HasHistory(r.queue) {
		r.worker.slowness.Record(took, s.estimates.Correct(r.queue, r.step.Estimate))
	}

	s.estimates.Record(r.queue, took, r.step.Estimate)
}

// judge keeps the evidence on a worker.
func (s *Scheduler) judge(e ended, now time.Time) {
	record := &e.run.worker.record

	switch e.cause {
	case mill.FinishDone:
		record.RecordSuccess()
		s.rates.Record(e.run.queue, false)

		if !e.run.started.IsZero() && e.run.resume == "" {
			s.learn(e.run, now.Sub(e.run.started))
		}
	case mill.FinishFailed:
		// A task that has failed elsewhere says nothing about this worker.
		if !e.run.failedBefore {
			record.RecordFailure(e.run.task.Job, s.rates.FailureWeight(e.run.queue), now)
		}

		s.rates.Record(e.run.queue, true)
	default:
	}
}

// Committed takes note of what the commands of an earlier Next came to. With an
// error nothing is known; the scheduler's term is then over, or nothing was proposed.
func (s *Scheduler) Committed(commands []jobs.Command, results []jobs.Result, err error, now time.Time) {
	for i := range commands {
		switch {
		case commands[i].Place != nil:
			s.placed(commands[i].Place, err == nil && results[i] == jobs.ResultApplied, now)
		case commands[i].Finish != nil:
			s.endCommitted(commands[i].Finish, err == nil, now)
		case commands[i].RecordWorker != nil, commands[i].ForgetWorker != "":
			s.recordCommitted(&commands[i], err == nil)
		case commands[i].SettleMachine != nil && err != nil:
			s.settling = append(s.settling, commands[i])
		default:
		}
	}
}

func (s *Scheduler) placed(place *jobs.Place, applied bool, now time.Time) {
	r, ok := s.runs[place.Task]
	if !ok || r.number != place.Run || r.phase != runProposed {
		return
	}

	if !applied {
		delete(s.runs, place.Task)
		r.worker.remove(r)

		return
	}

	r.phase = runStarting
	r.next = now
	s.note(EventPlace, r, "")
}

func (s *Scheduler) endCommitted(end *jobs.Finish, committed bool, now time.Time) {
	r, ok := s.runs[end.Task]
	if !ok || r.number != end.Run {
		return
	}

	if !committed {
		s.ends = append(s.ends, ended{run: r, cause: end.Cause})

		return
	}

	delete(s.runs, end.Task)

	w := r.worker
	w.committing--

	if w.committing == 0 {
		w.seen = max(w.seen, w.pending)
		w.nextRenew = now
	}
}
