package jobs

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// MaxOver bounds the jobs that are over and still known; the oldest are forgotten first.
// At 21,000 jobs a day it keeps more than two days.
const MaxOver = 1 << 16

// State is the setup in force and all jobs. It is not safe for concurrent use.
type State struct {
	content content
	// open holds the jobs that are not over or have a run that may be alive.
	open map[string]*Job
}

// content is what a snapshot holds.
type content struct {
	Setup    *mill.Setup     `cbor:"1,keyasint,omitempty"`
	Jobs     map[string]*Job `cbor:"2,keyasint"`
	Sequence uint64          `cbor:"3,keyasint"`
	// Over lists the jobs that are over, the oldest first.
	Over []string `cbor:"4,keyasint,omitempty"`
	// Workers holds what was recorded of the workers, so that a leader can call them
	// before they report, after all processes were restarted.
	Workers map[string]*mill.WorkerStatus `cbor:"5,keyasint,omitempty"`
	// Waves holds the waves of upkeep by number.
	Waves map[int]*Wave `cbor:"6,keyasint,omitempty"`
}

// NewState returns a state without a setup or jobs.
func NewState() *State {
	return &State{
		content: content{Jobs: make(map[string]*Job), Workers: make(map[string]*mill.WorkerStatus)},
		open:    make(map[string]*Job),
	}
}

// Setup returns the setup in force, or nil before the first.
func (s *State) Setup() *mill.Setup {
	return s.content.Setup
}

// Job returns the job of the id.
func (s *State) Job(id string) (*Job, bool) {
	job, ok := s.content.Jobs[id]

	return job, ok
}

// Open returns the jobs that are not over or have a run that may be alive. The
// caller must not change the map.
func (s *State) Open() map[string]*Job {
	return s.open
}

// Workers returns the recorded workers by id. The caller must not change the map.
func (s *State) Workers() map[string]*mill.WorkerStatus {
	return s.content.Workers
}

// Len returns the number of jobs that are known.
func (s *State) Len() int {
	return len(s.content.Jobs)
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
	case command.End != nil:
		return s.end(command.End)
	case command.Know != nil:
		s.content.Workers[command.Know.ID] = command.Know

		return ResultApplied
	case command.Forget != "":
		delete(s.content.Workers, command.Forget)

		return ResultApplied
	case command.StartWave != nil:
		return s.startWave(command.StartWave)
	case command.Upkeep != nil:
		return s.settle(command.Upkeep)
	default:
		return ResultObsolete
	}
}

// Save returns the stored form of the state.
func (s *State) Save() ([]byte, error) {
	return wire.Encode(&s.content)
}

// Load replaces the state by a stored form.
func (s *State) Load(data []byte) error {
	next := NewState()

	if len(data) > 0 {
		if err := wire.Decode(data, &next.content); err != nil {
			return err
		}
	}

	if next.content.Jobs == nil {
		next.content.Jobs = make(map[string]*Job)
	}

	if next.content.Workers == nil {
		next.content.Workers = make(map[string]*mill.WorkerStatus)
	}

	for id, job := range next.content.Jobs {
		if !job.Over() || job.Placed > 0 {
			next.open[id] = job
		}
	}

	*s = *next

	return nil
}

func (s *State) configure(setup *mill.Setup) Result {
	if s.content.Setup != nil && setup.Version <= s.content.Setup.Version {
		return ResultObsolete
	}

	s.content.Setup = setup

	return ResultApplied
}

func (s *State) submit(submit *Submit) Result {
	if _, ok := s.content.Jobs[submit.Job]; ok {
		return ResultApplied
	}

	if s.content.Setup == nil {
		return ResultNoQueue
	}

	queue, ok := s.content.Setup.Queue(submit.Queue)
	if !ok {
		return ResultNoQueue
	}

	s.content.Sequence++

	job := &Job{
		ID:        submit.Job,
		Queue:     *queue,
		Work:      submit.Work,
		UnixMilli: submit.UnixMilli,
		Sequence:  s.content.Sequence,
	}

	if job.Work.Repeat.Times == 0 {
		job.begin(0)
	}

	s.content.Jobs[job.ID] = job
	s.open[job.ID] = job

	return ResultApplied
}

func (s *State) cancel(cancel *Cancel) Result {
	job, ok := s.content.Jobs[cancel.Job]
	if !ok {
		return ResultNotFound
	}

	if !job.Over() {
		s.finish(job, mill.JobCanceled)
	}

	return ResultApplied
}

func (s *State) place(place *Place) Result {
	job, ok := s.content.Jobs[place.Task.Job]
	if !ok || job.Over() || place.Task.Occurrence < 0 || place.Task.Occurrence >= job.Work.Occurrences() {
		return ResultObsolete
	}

	// A repeated job's occurrence begins with its first placement.
	if job.Occurrences[place.Task.Occurrence] == nil && job.Work.Repeat.Times > 0 {
		job.begin(place.Task.Occurrence)
	}

	step, task := job.Task(place.Task)
	if task == nil || task.Phase != TaskWaiting || place.Run <= task.Run {
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
	job.Started = true

	return ResultApplied
}

func (s *State) end(end *End) Result {
	job, ok := s.content.Jobs[end.Task.Job]
	if !ok {
		return ResultObsolete
	}

	step, task := job.Task(end.Task)
	if task == nil || !task.lift(end) {
		return ResultObsolete
	}

	step.Placed--
	job.Placed--
	job.Began = job.Began || end.Cause != mill.FinishNotStarted
	job.Started = job.Began || job.Placed > 0

	switch end.Cause {
	case mill.FinishDone:
		s.done(job, end, step, task)
	case mill.FinishFailed:
		s.failed(job, end, task)
	default:
	}

	if job.Over() && job.Placed == 0 {
		s.close(job)
	}

	return ResultApplied
}

func (s *State) done(job *Job, end *End, step *Step, task *Task) {
	spec := &job.Work.Steps[end.Task.Step]
	if spec.LongRunning {
		return
	}

	task.Phase = TaskDone
	task.Checkpoint = ""
	step.Done++

	if spec.Gang {
		s.doneTogether(job, end, step)
	}

	occurrence := job.Occurrences[end.Task.Occurrence]
	if job.Over() || !occurrence.Complete() {
		return
	}

	job.CompleteCount++

	if job.CompleteCount == job.Work.Occurrences() {
		s.finish(job, mill.JobCompleted)
	}
}

// doneTogether marks every member of a gang's run as done: one end stands for all.
func (s *State) doneTogether(job *Job, end *End, step *Step) {
	for i := range step.Tasks {
		member := &step.Tasks[i]
		if member.Run != end.Run || member.Phase == TaskDone {
			continue
		}

		if member.Phase == TaskPlaced {
			step.Placed--
			job.Placed--
		}

		member.Phase = TaskDone
		member.Checkpoint = ""
		step.Done++
	}
}

func (s *State) failed(job *Job, end *End, task *Task) {
	task.Failures++

	// Tasks that last fail at any time, so only the last worker is worth avoiding.
	if job.Work.Steps[end.Task.Step].LongRunning {
		task.FailedOn = []string{task.Worker}

		return
	}

	if !slices.Contains(task.FailedOn, task.Worker) {
		task.FailedOn = append(task.FailedOn, task.Worker)
	}

	if job.Over() || job.Queue.MaxAttempts <= 0 {
		return
	}

	if job.attempts(end.Task) >= job.Queue.MaxAttempts {
		s.finish(job, mill.JobFailed)
	}
}

// attempts counts the failed runs of a task, or of the gang that it belongs to.
func (j *Job) attempts(id mill.TaskID) int {
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

// finish ends a job: nothing of it starts any more.
func (s *State) finish(job *Job, outcome mill.JobState) {
	job.Outcome = outcome
	s.content.Over = append(s.content.Over, job.ID)

	if job.Placed == 0 {
		s.close(job)
	}

	for len(s.content.Over) > MaxOver && s.content.Jobs[s.content.Over[0]].Placed == 0 {
		s.drop(s.content.Over[0])
		s.content.Over = s.content.Over[1:]
	}
}

// close drops what a job that is over needs no more.
func (s *State) close(job *Job) {
	job.shrink()
	delete(s.open, job.ID)
}

func (s *State) drop(id string) {
	delete(s.content.Jobs, id)
	delete(s.open, id)
}

// Pending counts the queue's jobs that run at once and of which nothing has started.
func (s *State) Pending(queue string) int {
	count := 0

	for _, job := range s.open {
		if job.Queue.Name == queue && !job.Started && !job.Over() {
			count++
		}
	}

	return count
}
