package stand

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// ErrBroken is returned when the records show a broken promise.
var ErrBroken = merry.Sentinel("a promise was broken")

// Verdict is what the comparison of all records shows.
type Verdict struct {
	Sent     int    `json:"sent"`
	Ran      int    `json:"ran"`
	NotRun   int    `json:"notRun"`
	Unknown  int    `json:"unknown"`
	Doubled  int    `json:"doubled"`
	Lost     int    `json:"lost"`
	P50      string `json:"p50"`
	P99      string `json:"p99"`
	JobsDone int    `json:"jobsDone"`

	// Overloaded counts the upstreams that had more requests at once than slots.
	Overloaded int `json:"overloaded"`
	// TwoPlaces counts the tasks that ran in two places at once.
	TwoPlaces int `json:"twoPlaces"`
}

// Judge compares what callers noted with what upstreams and workers noted. A
// request is doubled when a keyed one ran more than once, and lost when it was
// answered "ran" and did not run, or "not run" and ran.
func Judge(requests, runs, loads, tasks []string) (*Verdict, error) {
	sent, err := readAll[RequestRecord](requests)
	if err != nil {
		return nil, err
	}

	ran, err := readAll[RunRecord](runs)
	if err != nil {
		return nil, err
	}

	used, err := readAll[LoadRecord](loads)
	if err != nil {
		return nil, err
	}

	attempts, err := readAll[TaskRecord](tasks)
	if err != nil {
		return nil, err
	}

	v := &Verdict{Sent: len(sent)}
	v.judgeRequests(sent, ran)
	v.judgeLoads(used)
	v.judgeTasks(attempts)

	return v, nil
}

// Err returns ErrBroken when a promise was broken.
func (v *Verdict) Err() error {
	if v.Doubled+v.Lost+v.Overloaded+v.TwoPlaces == 0 {
		return nil
	}

	return merry.Prependf(ErrBroken, "doubled %d, lost %d, overloaded %d, two places %d",
		v.Doubled, v.Lost, v.Overloaded, v.TwoPlaces)
}

func (v *Verdict) judgeRequests(sent []RequestRecord, ran []RunRecord) {
	runs := make(map[string]int)
	for _, record := range ran {
		runs[record.ID] += record.Runs
	}

	histogram := hdrhistogram.New(1, maxMicros, digits)

	for i := range sent {
		v.judgeRequest(&sent[i], runs[sent[i].ID])
		_ = histogram.RecordValue(min(sent[i].Micros, maxMicros))
	}

	v.P50 = micros(histogram.ValueAtQuantile(50))
	v.P99 = micros(histogram.ValueAtQuantile(99))
}

func (v *Verdict) judgeRequest(record *RequestRecord, runs int) {
	if record.Keyed && runs > 1 {
		v.Doubled++
	}

	switch mill.Outcome(record.Outcome) {
	case mill.OutcomeRan:
		v.Ran++

		if runs == 0 {
			v.Lost++
		}
	case mill.OutcomeNotRun:
		v.NotRun++

		if runs > 0 {
			v.Lost++
		}
	case mill.OutcomeUnknown:
		v.Unknown++
	default:
		v.Lost++
	}
}

func (v *Verdict) judgeLoads(used []LoadRecord) {
	for _, record := range used {
		if record.Peak > record.Slots {
			v.Overloaded++
		}
	}
}

// judgeTasks counts the tasks whose attempts overlap in time, and the jobs
// with an attempt that came to its end.
func (v *Verdict) judgeTasks(attempts []TaskRecord) {
	byTask := make(map[string][]TaskRecord)
	done := make(map[string]bool)

	for _, attempt := range attempts {
		task := fmt.Sprintf("%s/%d", attempt.Job, attempt.Index)
		byTask[task] = append(byTask[task], attempt)

		if attempt.State == string(mill.TaskDone) {
			done[attempt.Job] = true
		}
	}

	for _, list := range byTask {
		if overlap(list) {
			v.TwoPlaces++
		}
	}

	v.JobsDone = len(done)
}

func overlap(attempts []TaskRecord) bool {
	slices.SortFunc(attempts, func(a, b TaskRecord) int { return int(a.StartMicro - b.StartMicro) })

	for i := 1; i < len(attempts); i++ {
		if attempts[i].StartMicro < attempts[i-1].EndMicro {
			return true
		}
	}

	return false
}

func readAll[T any](paths []string) ([]T, error) {
	var all []T

	for _, path := range paths {
		records, err := readRecords[T](path)
		if err != nil {
			return nil, err
		}

		all = append(all, records...)
	}

	return all, nil
}

func micros(value int64) string {
	return (time.Duration(value) * time.Microsecond).String()
}
