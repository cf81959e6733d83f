package jobs

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// earlierReplica is a replica of a build that knows neither Finish.MemberFailed nor the attempts of gangs: it adds up the
// failures of all members of a gang. All steps are gangs.
type earlierReplica struct {
	jobs map[string]*earlierJob
}

// earlierJob is a job on such a replica.
type earlierJob struct {
	work        mill.Workload
	maxAttempts int
	outcome     mill.JobState
	tasks       map[mill.TaskID]*earlierTask
}

// earlierTask is a task on such a replica.
type earlierTask struct {
	run      int
	active   bool
	done     bool
	failures int
}

func (r *earlierReplica) apply(command *Command) {
	switch {
	case command.Submit != nil:
		r.submit(command.Submit)
	case command.Place != nil:
		r.place(command.Place)
	case command.Finish != nil:
		r.finish(command.Finish)
	default:
	}
}

func (r *earlierReplica) submit(submit *Submit) {
	job := &earlierJob{
		work: submit.Work, maxAttempts: attemptsOf(submit.Queue), tasks: make(map[mill.TaskID]*earlierTask),
	}

	for _, id := range gangsOf(submit.Job, &submit.Work) {
		for index := range submit.Work.Steps[id.Step].Count {
			job.tasks[id.Task(index)] = &earlierTask{}
		}
	}

	r.jobs[submit.Job] = job
}

func (r *earlierReplica) place(place *Place) {
	job := r.jobs[place.Task.Job]
	task := job.tasks[place.Task]

	if job.outcome == "" && !task.active && !task.done && place.Run > task.run {
		task.run, task.active = place.Run, true
	}
}

func (r *earlierReplica) finish(finished *Finish) {
	job := r.jobs[finished.Task.Job]

	task := job.tasks[finished.Task]
	if !task.active || task.run != finished.Run {
		return
	}

	task.active = false

	switch finished.Cause {
	case mill.FinishDone:
		job.gangDone(finished)
	case mill.FinishFailed:
		task.failures++

		if job.outcome == "" && reaches(job.maxAttempts, job.failures(finished.Task.StepID)) {
			job.outcome = mill.JobFailed
		}
	default:
	}

	if job.outcome == "" && finished.GivesUp {
		job.outcome = mill.JobFailed
	}
}

// failures adds up the failures of all members.
func (j *earlierJob) failures(id mill.StepID) int {
	total := 0
	for index := range j.work.Steps[id.Step].Count {
		total += j.tasks[id.Task(index)].failures
	}

	return total
}

func (j *earlierJob) gangDone(finished *Finish) {
	for index := range j.work.Steps[finished.Task.Step].Count {
		member := j.tasks[finished.Task.Task(index)]
		if member.run == finished.Run {
			member.active, member.done = false, true
		}
	}

	for _, task := range j.tasks {
		if !task.done {
			return
		}
	}

	if j.outcome == "" {
		j.outcome = mill.JobCompleted
	}
}
