package jobs

import (
	"slices"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// EndingRun is the run of a gang's member that may be active though its task is done: the end of another member has
// completed the gang, and its own end is not committed. Only runs of tenants' jobs are kept, as they count against limits.
type EndingRun struct {
	Task   mill.TaskID `cbor:"1,keyasint"`
	Run    int         `cbor:"2,keyasint"`
	Worker string      `cbor:"3,keyasint"`
	Queue  string      `cbor:"4,keyasint"`
	Tenant string      `cbor:"5,keyasint"`
	Step   mill.Step   `cbor:"6,keyasint"`
}

// EndingRuns returns the runs that may be active though their tasks are done. The caller must not modify the slice.
func (s *State) EndingRuns() []EndingRun {
	return s.stored.Ending
}

// keepEnding keeps the run of a gang's member that another member has completed. The job itself may be compacted.
func (s *State) keepEnding(job *Job, id mill.TaskID, member *Task) {
	if job.Tenant == "" {
		return
	}

	s.stored.Ending = append(s.stored.Ending, EndingRun{
		Task: id, Run: member.Run, Worker: member.Worker, Queue: job.Queue.Name, Tenant: job.Tenant,
		Step: job.Work.Steps[id.Step],
	})
}

// forgetEnding deletes a run whose end is committed. The command is obsolete otherwise: its task is done.
func (s *State) forgetEnding(finished *Finish) {
	s.stored.Ending = slices.DeleteFunc(s.stored.Ending, func(e EndingRun) bool {
		return e.Task == finished.Task && e.Run == finished.Run
	})
}
