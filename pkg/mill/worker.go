package mill

import "github.com/ansel1/merry/v2"

// TaskReport is a worker's report on one of its attempts.
type TaskReport struct {
	TaskRef

	State  TaskState `json:"state"`
	Reason string    `json:"reason,omitempty"`
}

// Heartbeat is sent by a worker to an entry of its data centre.
type Heartbeat struct {
	ID          string       `json:"id"`
	Incarnation uint64       `json:"incarnation"`
	DataCentre  string       `json:"dataCentre"`
	Rack        string       `json:"rack"`
	Capacity    Resources    `json:"capacity"`
	Reports     []TaskReport `json:"reports,omitempty"`
}

// Validate returns ErrInvalid naming the first field that is out of range.
func (h *Heartbeat) Validate() error {
	if err := ValidateName("id", h.ID); err != nil {
		return err
	}

	if !h.Capacity.Valid() {
		return merry.Prependf(ErrInvalid, "capacity %+v: want amounts of 0 or more, one above 0", h.Capacity)
	}

	return nil
}

// RunOrder tells a worker to run one attempt.
type RunOrder struct {
	TaskRef

	RunTimeMilli int64     `json:"runTimeMilli"`
	Resources    Resources `json:"each"`
	Command      string    `json:"command,omitempty"`
}

// Orders is the reply to a heartbeat. Leases count from when the heartbeat was sent.
type Orders struct {
	LeaseMilli int64      `json:"leaseMilli"`
	Run        []RunOrder `json:"run,omitempty"`
	Stop       []TaskRef  `json:"stop,omitempty"`
	Forget     []TaskRef  `json:"forget,omitempty"`
}
