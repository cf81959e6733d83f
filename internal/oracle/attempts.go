package oracle

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// Attempts counts the failed attempts of tasks and gangs from the ends of runs as workers list them; its zero value is ready
// for use. Only ends as failed count. A run of a gang is one attempt, whichever and however many of its members have failed:
// they work only together, under one number. Attempts of different steps and occurrences do not add up.
type Attempts struct {
	failedRuns map[attempted]map[int]bool
}

// attempted identifies what an attempt is made at.
type attempted struct {
	step mill.StepID
	// index is the index of a task, or wholeGang.
	index int
}

// wholeGang is the index for all tasks of a step that is a gang.
const wholeGang = -1

func newAttempted(task mill.TaskID, gang bool) attempted {
	if gang {
		return attempted{step: task.StepID, index: wholeGang}
	}

	return attempted{step: task.StepID, index: task.Index}
}

// RecordFailed records that a run of a task, or of a member of a gang, has ended as failed.
func (a *Attempts) RecordFailed(run mill.RunRef, gang bool) {
	if a.failedRuns == nil {
		a.failedRuns = make(map[attempted]map[int]bool)
	}

	key := newAttempted(run.Task, gang)
	if a.failedRuns[key] == nil {
		a.failedRuns[key] = make(map[int]bool)
	}

	a.failedRuns[key][run.Run] = true
}

// Failed returns the number of failed attempts at a task, or at the gang that it is a member of.
func (a *Attempts) Failed(task mill.TaskID, gang bool) int {
	return len(a.failedRuns[newAttempted(task, gang)])
}
