package mill

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
}

// String returns "job.occurrence.step".
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Task returns the id of one of the step's tasks.
func (s StepID) Task(index int) TaskID {
	return TaskID{StepID: s, Index: index}
}

// TaskID identifies one task of a job.
type TaskID struct {
	StepID

	Index int `cbor:"4,keyasint,omitempty"`
}

// Compare orders the tasks of one job by occurrence, step and index, and those of different jobs by the jobs' ids.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(
		cmp.Compare(t.Job, other.Job),
		cmp.Compare(t.Occurrence, other.Occurrence),
		cmp.Compare(t.Step, other.Step),
		cmp.Compare(t.Index, other.Index),
	)
}

const taskIDParts = 4

// ParseTaskID parses the form that String returns, or returns ErrInvalid.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts {
		return TaskID{}, merry.Prependf(ErrInvalid, "task %q: want job.occurrence.step.index", text)
	}

	numbers := make([]int, 0, taskIDParts-1)

	for _, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, merry.Prependf(ErrInvalid, "task %q: want job.occurrence.step.index", text)
		}

		numbers = append(numbers, number)
	}

	return TaskID{StepID: StepID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1]}, Index: numbers[2]}, nil
}

// String returns "job.occurrence.step.index".
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}
