package stand

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// ErrGuaranteeViolated is returned when the records show that the system violated a guarantee.
var ErrGuaranteeViolated = merry.Sentinel("the records show a violated guarantee")

// Verdict is the result of comparing all records.
type Verdict struct {
	Sent    int `json:"sent"`
	Ran     int `json:"ran"`
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// Doubled counts the keyed requests that ran more than once.
	Doubled int `json:"doubled"`
	// Lost counts the requests whose answer contradicts the upstreams' records: "ran" without a
	// run, "not run" with one, or an outcome that does not exist.
	Lost     int    `json:"lost"`
	P50      string `json:"p50"`
	P99      string `json:"p99"`
	JobsDone int    `json:"jobsDone"`

	// Overloaded counts the upstreams that had more concurrent requests than slots.
	Overloaded int `json:"overloaded"`
	// TwoPlaces counts the tasks that ran in two places at once.
	TwoPlaces int `json:"twoPlaces"`
}

// Compare compares the callers' records with those of the upstreams and workers.
func Compare(requestPaths, runPaths, slotPaths, attemptPaths []string) (*Verdict, error) {
	sent, err := readFiles[RequestRecord](requestPaths)
	if err != nil {
		return nil, err
	}

	ran, err := readFiles[RunRecord](runPaths)
	if err != nil {
		return nil, err
	}

	slots, err := readFiles[SlotRecord](slotPaths)
	if err != nil {
		return nil, err
	}

	attempts, err := readFiles[AttemptRecord](attemptPaths)
	if err != nil {
		return nil, err
	}

	v := &Verdict{Sent: len(sent)}
	v.checkRequests(sent, ran)
	v.checkSlots(slots)
	v.checkTasks(attempts)

	return v, nil
}

// Err returns ErrGuaranteeViolated if the system violated a guarantee.
func (v *Verdict) Err() error {
	if v.Doubled+v.Lost+v.Overloaded+v.TwoPlaces == 0 {
		return nil
	}

	return merry.Prependf(ErrGuaranteeViolated,
		"%d requests doubled, %d lost, %d upstreams overloaded, %d tasks in two places at once",
		v.Doubled, v.Lost, v.Overloaded, v.TwoPlaces)
}

func (v *Verdict) checkRequests(sent []RequestRecord, ran []RunRecord) {
	runs := make(map[string]int)
	for _, record := range ran {
		runs[record.ID] += record.Runs
	}

	histogram := hdrhistogram.New(1, maxLatencyMicros, significantDigits)

	for i := range sent {
		v.checkRequest(&sent[i], runs[sent[i].ID])
		_ = histogram.RecordValue(min(sent[i].Micros, maxLatencyMicros))
	}

	v.P50 = formatMicros(histogram.ValueAtQuantile(50))
	v.P99 = formatMicros(histogram.ValueAtQuantile(99))
}

func (v *Verdict) checkRequest(record *RequestRecord, runs int) {
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

func (v *Verdict) checkSlots(slots []SlotRecord) {
	for _, record := range slots {
		if record.Peak > record.Slots {
			v.Overloaded++
		}
	}
}

// checkTasks counts the tasks whose attempts overlap in time, and the jobs
// with a completed attempt.
func (v *Verdict) checkTasks(attempts []AttemptRecord) {
	byTask := make(map[string][]AttemptRecord)
	done := make(map[string]bool)

	for _, attempt := range attempts {
		task := fmt.Sprintf("%s/%d", attempt.Job, attempt.Index)
		byTask[task] = append(byTask[task], attempt)

		if attempt.State == string(mill.TaskDone) {
			done[attempt.Job] = true
		}
	}

	for _, taskAttempts := range byTask {
		if overlap(taskAttempts) {
			v.TwoPlaces++
		}
	}

	v.JobsDone = len(done)
}

func overlap(attempts []AttemptRecord) bool {
	slices.SortFunc(attempts, func(a, b AttemptRecord) int { return int(a.StartMicro - b.StartMicro) })

	for i := 1; i < len(attempts); i++ {
		if attempts[i].StartMicro < attempts[i-1].EndMicro {
			return true
		}
	}

	return false
}

func readFiles[T any](paths []string) ([]T, error) {
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

func formatMicros(value int64) string {
	return (time.Duration(value) * time.Microsecond).String()
}
