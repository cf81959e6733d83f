package jobs

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// MaxFinishedJobs limits the finished jobs that are kept; the oldest are deleted first. At 21,000 jobs
// a day, they cover more than two days.
const MaxFinishedJobs = 1 << 16

// State holds the setup in force, the jobs, the recorded workers and the maintenance waves. It is not safe
// for concurrent use.
type State struct {
	stored snapshot
	// open holds the jobs that are not finished or have a run that may be active.
	open map[string]*Job
	// index is that of the setup in force.
	index *mill.SetupIndex
	// outcomes holds the outcomes that were decided since the last call of TakeOutcomes. They are not stored.
	outcomes []Outcome
}

// snapshot is the part of the state that is stored.
type snapshot struct {
	Setup    *mill.Setup     `cbor:"1,keyasint,omitempty"`
	Jobs     map[string]*Job `cbor:"2,keyasint"`
	Sequence uint64          `cbor:"3,keyasint"`
	// Finished lists the finished jobs, the oldest first.
	Finished []string `cbor:"4,keyasint,omitempty"`
	// Workers holds the recorded workers by id, so that after a restart of all processes, a leader
	// can call workers before they report.
	Workers map[string]*mill.WorkerStatus `cbor:"5,keyasint,omitempty"`
	// Waves holds the maintenance waves by number.
	Waves map[int]*Wave `cbor:"6,keyasint,omitempty"`
	// Learned is what leaders have learned about the recorded workers and the queues.
	Learned Learned `cbor:"7,keyasint,omitempty"`
	// Ending holds the runs that may be active though their tasks are done. Earlier builds ignore it.
	Ending []EndingRun `cbor:"8,keyasint,omitempty"`
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		stored: snapshot{Jobs: make(map[string]*Job), Workers: make(map[string]*mill.WorkerStatus)},
		open:   make(map[string]*Job),
		index:  &mill.SetupIndex{},
	}
}

// SetupIndex returns the index of the setup in force; it is empty before there is one.
func (s *State) SetupIndex() *mill.SetupIndex {
	return s.index
}

// Setup returns the setup in force, or nil if there is none yet.
func (s *State) Setup() *mill.Setup {
	return s.stored.Setup
}

// AmendSetup replaces the setup in force by another reading of the same version.
func (s *State) AmendSetup(setup *mill.Setup) {
	s.stored.Setup = setup
	s.index = mill.NewSetupIndex(setup)
	s.forgetQueues()
	s.keepRoutes()
}

// keepRoutes records the queues of jobs whose names several queues have from now on. A later setup may have only another one
// of that name, which is not theirs.
func (s *State) keepRoutes() {
	if !s.index.HasSharedNames() {
		return
	}

	for _, job := range s.stored.Jobs {
		if job.Route != nil || !s.index.SharesName(job.Queue.Name) {
			continue
		}

		if _, ok := s.index.Route(job.Queue.Key()); ok {
			job.Route = &job.Queue
		}
	}
}

// Job returns the job with that id.
func (s *State) Job(id string) (*Job, bool) {
	job, ok := s.stored.Jobs[id]

	return job, ok
}

// OpenJobs returns the jobs that are not finished or have a run that may be active. The caller must not
// modify the map.
func (s *State) OpenJobs() map[string]*Job {
	return s.open
}

// Workers returns the recorded workers by id. The caller must not modify the map.
func (s *State) Workers() map[string]*mill.WorkerStatus {
	return s.stored.Workers
}

// Len returns the number of known jobs, open and finished.
func (s *State) Len() int {
	return len(s.stored.Jobs)
}

// Apply executes one command.
func (s *State) Apply(command *Command) Result {
	switch {
	case command.Setup != nil:
		return s.configure(command.Setup)
	case command.Submit != nil:
		return s.submit(command.Submit)
	case command.Cancel != nil:
		return s.cancel(command.Cancel)
	case command.Place != nil:
		return s.place(command.Place)
	case command.Finish != nil:
		return s.finishRun(command.Finish)
	case command.RecordWorker != nil:
		s.stored.Workers[command.RecordWorker.ID] = command.RecordWorker

		return ResultApplied
	case command.ForgetWorker != "":
		delete(s.stored.Workers, command.ForgetWorker)
		delete(s.stored.Learned.Workers, command.ForgetWorker)

		return ResultApplied
	case command.StartWave != nil:
		return s.startWave(command.StartWave)
	case command.SettleMachine != nil:
		return s.settleMachine(command.SettleMachine)
	case command.RecordLearned != nil:
		return s.recordLearned(command.RecordLearned)
	default:
		return ResultObsolete
	}
}

// Save encodes the state as a snapshot.
func (s *State) Save() ([]byte, error) {
	return wire.Encode(&s.stored)
}

// Load replaces the state by a snapshot; an empty one gives an empty state.
func (s *State) Load(data []byte) error {
	next := NewState()

	if len(data) > 0 {
		if err := wire.Decode(data, &next.stored); err != nil {
			return err
		}
	}

	if next.stored.Setup != nil {
		next.index = mill.NewSetupIndex(next.stored.Setup)
	}

	if next.stored.Jobs == nil {
		next.stored.Jobs = make(map[string]*Job)
	}

	if next.stored.Workers == nil {
		next.stored.Workers = make(map[string]*mill.WorkerStatus)
	}

	for id, job := range next.stored.Jobs {
		if !job.Finished() || job.Placed > 0 {
			next.open[id] = job

			job.adoptEarlierFailures()
		}
	}

	next.keepRoutes()

	*s = *next

	return nil
}

func (s *State) configure(setup *mill.Setup) Result {
	if s.stored.Setup != nil && setup.Version <= s.stored.Setup.Version {
		return ResultObsolete
	}

	s.AmendSetup(setup)

	return ResultApplied
}

func (s *State) submit(submit *Submit) Result {
	if _, ok := s.stored.Jobs[submit.Job]; ok {
		return ResultApplied
	}

	if s.stored.Setup == nil {
		return ResultNoQueue
	}

	queue, ok := s.index.Queue(submit.Queue)
	if !ok {
		return ResultNoQueue
	}

	s.stored.Sequence++

	job := &Job{
		ID:        submit.Job,
		Queue:     *queue,
		Work:      submit.Work,
		UnixMilli: submit.UnixMilli,
		Sequence:  s.stored.Sequence,

		Tenant:      submit.Tenant,
		BeyondShare: submit.BeyondShare,
		Route:       s.selectRoute(submit.Route, queue),
	}

	if job.Work.Repeat.Times == 0 {
		job.startOccurrence(0)
	}

	s.stored.Jobs[job.ID] = job
	s.open[job.ID] = job

	return ResultApplied
}

// selectRoute returns the queue of a new job if it is not certain to be the first one of its name, as which earlier builds
// take it; else nil.
func (s *State) selectRoute(selected *SelectedRoute, first *mill.Queue) *mill.Queue {
	if selected == nil {
		return nil
	}

	queue, ok := s.index.Route(mill.RouteKey{Host: selected.Host, Prefix: selected.Prefix})

	switch {
	case !ok:
		return selected.Queue
	case queue == first && !s.index.SharesName(first.Name):
		return nil
	default:
		return queue
	}
}

func (s *State) cancel(cancel *Cancel) Result {
	job, ok := s.stored.Jobs[cancel.Job]
	if !ok {
		return ResultNotFound
	}

	if !job.Finished() {
		s.finishJob(job, mill.JobCanceled, ReasonCanceled, nil)
	}

	return ResultApplied
}

func (s *State) place(place *Place) Result {
	job, ok := s.stored.Jobs[place.Task.Job]
	if !ok || job.Finished() || place.Task.Occurrence < 0 || place.Task.Occurrence >= job.Work.Occurrences() {
		return ResultObsolete
	}

	// An occurrence of a repeated job starts with its first placement.
	if job.Occurrences[place.Task.Occurrence] == nil && job.Work.Repeat.Times > 0 {
		job.startOccurrence(place.Task.Occurrence)
	}

	step, task := job.Task(place.Task)
	if task == nil || task.Phase != TaskPending || place.Run <= task.Run {
		return ResultObsolete
	}

	if !job.Occurrences[place.Task.Occurrence].Ready(&job.Work, place.Task.Step) {
		return ResultObsolete
	}

	task.Phase = TaskPlaced
	task.Run = place.Run
	task.Worker = place.Worker
	step.Placed++
	job.Placed++
	job.MayHaveStarted = true

	return ResultApplied
}

func (s *State) finishRun(finished *Finish) Result {
	s.forgetEnding(finished)

	job, ok := s.stored.Jobs[finished.Task.Job]
	if !ok {
		return ResultObsolete
	}

	step, task := job.Task(finished.Task)
	if task == nil || !task.finish(finished) {
		return ResultObsolete
	}

	step.Placed--
	job.Placed--
	job.HasStarted = job.HasStarted || finished.Cause != mill.FinishNotStarted
	job.MayHaveStarted = job.HasStarted || job.Placed > 0

	switch finished.Cause {
	case mill.FinishDone:
		s.taskDone(job, finished, step, task)
	case mill.FinishFailed:
		s.taskFailed(job, finished, step, task)
	default:
		if finished.MemberFailed {
			task.UncountedFailures++
			job.recordFailure(finished, step, task)
		}
	}

	s.updateSuspicion(job, finished, task)

	if job.Finished() && job.Placed == 0 {
		s.closeJob(job)
	}

	return ResultApplied
}

func (s *State) taskDone(job *Job, finished *Finish, step *Step, task *Task) {
	spec := &job.Work.Steps[finished.Task.Step]
	if spec.LongRunning {
		return
	}

	task.Phase = TaskDone
	task.Checkpoint = ""
	step.Done++

	if spec.Gang {
		s.gangDone(job, finished, step)
	}

	occurrence := job.Occurrences[finished.Task.Occurrence]
	if job.Finished() || !occurrence.Complete() {
		return
	}

	job.CompleteOccurrences++

	if job.CompleteOccurrences == job.Work.Occurrences() {
		s.finishJob(job, mill.JobCompleted, ReasonTasksDone, finished)
	}
}

// gangDone marks every member of a gang's run as done: a run that one member completes is complete for all.
func (s *State) gangDone(job *Job, finished *Finish, step *Step) {
	for i := range step.Tasks {
		member := &step.Tasks[i]
		if member.Run != finished.Run || member.Phase == TaskDone {
			continue
		}

		if member.Phase == TaskPlaced {
			step.Placed--
			job.Placed--

			s.keepEnding(job, finished.Task.Task(i), member)
		}

		member.Phase = TaskDone
		member.Checkpoint = ""
		step.Done++
	}
}

// taskFailed counts a failed run, and fails the job if there are too many. All builds must decide the same here, so a failed
// run that must not count is committed in another way; see GangRun and TaskRun.
func (s *State) taskFailed(job *Job, finished *Finish, step *Step, task *Task) {
	task.Failures++
	job.recordFailure(finished, step, task)

	if job.Finished() || job.Queue.MaxAttempts <= 0 || job.Work.Steps[finished.Task.Step].LongRunning {
		return
	}

	if job.countedFailures(finished.Task) >= job.Queue.MaxAttempts {
		s.finishJob(job, mill.JobFailed, ReasonAttempts, finished)
	}
}

// recordFailure records which worker a failed run was on, and which run of a gang has failed.
func (j *Job) recordFailure(finished *Finish, step *Step, task *Task) {
	spec := &j.Work.Steps[finished.Task.Step]

	// A long-running task may fail at any time, so only the worker of its latest failure is avoided.
	if spec.LongRunning {
		task.FailedOn = []string{task.Worker}

		return
	}

	if !slices.Contains(task.FailedOn, task.Worker) {
		task.FailedOn = append(task.FailedOn, task.Worker)
	}

	if spec.Gang && j.SelectedQueue().MaxAttempts > 0 {
		step.recordFailedRun(finished.Run)
		step.recordAttempts(finished.Attempts)
	}
}

// updateSuspicion records whether a finished run is suspected of having crashed its worker, and gives the job up if the
// leader has decided so.
func (s *State) updateSuspicion(job *Job, finished *Finish, task *Task) {
	if finished.Cleared {
		task.Suspicion = 0
	}

	task.Suspicion += finished.Suspicion

	if !job.Finished() && finished.GivesUp {
		s.finishJob(job, mill.JobFailed, finished.giveUpReason(), finished)
	}
}

// countedFailures returns the number of failed runs that were committed as such, of a task or of all members of its gang.
func (j *Job) countedFailures(id mill.TaskID) int {
	step, task := j.Task(id)
	if !j.Work.Steps[id.Step].Gang {
		return task.Failures
	}

	total := 0

	for i := range step.Tasks {
		total += step.Tasks[i].Failures
	}

	return total
}

// finishJob sets the outcome of a job, after which none of its tasks starts any more. The decider is the end of the run
// that decided it; nil for none.
func (s *State) finishJob(job *Job, outcome mill.JobState, reason OutcomeReason, decider *Finish) {
	job.Outcome = outcome
	s.recordOutcome(job, reason, decider)
	s.stored.Finished = append(s.stored.Finished, job.ID)

	if job.Placed == 0 {
		s.closeJob(job)
	}

	for len(s.stored.Finished) > MaxFinishedJobs && s.stored.Jobs[s.stored.Finished[0]].Placed == 0 {
		s.forget(s.stored.Finished[0])
		s.stored.Finished = s.stored.Finished[1:]
	}
}

// closeJob compacts a finished job without active runs and removes it from the open jobs.
func (s *State) closeJob(job *Job) {
	job.compact()
	delete(s.open, job.ID)
}

func (s *State) forget(id string) {
	delete(s.stored.Jobs, id)
	delete(s.open, id)
}

// Pending returns the number of unfinished jobs, of a queue of the setup in force, of which no run may have started.
func (s *State) Pending(queue *mill.Queue) int {
	count := 0

	for _, job := range s.open {
		if !job.MayHaveStarted && !job.Finished() && job.CurrentQueue(s.index) == queue {
			count++
		}
	}

	return count
}
