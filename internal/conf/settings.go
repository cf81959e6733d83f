package conf

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Settings holds the start-up settings of the processes on one VM.
type Settings struct {
	VM         string `json:"vm"`
	Cluster    string `json:"cluster"`
	DataFolder string `json:"dataFolder"`
	LogLevel   string `json:"logLevel"`
	Limits     Limits `json:"limits"`

	cluster *Cluster
}

// Limits holds the sizes, counts and durations that bound the work of a process.
type Limits struct {
	// BodyBytes limits the body of a request, and AnswerBytes that of its answer.
	BodyBytes   int `json:"bodyBytes"`
	AnswerBytes int `json:"answerBytes"`
	// RecordedBytes limits the body of an answer that is recorded for its idempotency key.
	RecordedBytes int `json:"recordedBytes"`
	// RingCapacity is the number of requests for a service that may wait for a slot, unless the service
	// declares its own.
	RingCapacity int `json:"ringCapacity"`
	// Workers is the size of each of the entry's goroutine pools.
	Workers              int   `json:"workers"`
	DefaultDeadlineMilli int64 `json:"defaultDeadlineMilli"`
	LateAnswerMilli      int64 `json:"lateAnswerMilli"`
	NoticeMilli          int64 `json:"noticeMilli"`
	DrainMilli           int64 `json:"drainMilli"`
	LeaseMilli           int64 `json:"leaseMilli"`
	MemoryMiB            int64 `json:"memoryMiB"`
}

// Default returns the settings that apply where a file sets none.
func Default() *Settings {
	return &Settings{
		DataFolder: "data",
		LogLevel:   "info",
		Limits: Limits{
			BodyBytes:            4 << 20,
			AnswerBytes:          16 << 20,
			RecordedBytes:        64 << 10,
			RingCapacity:         1024,
			Workers:              4096,
			DefaultDeadlineMilli: 30_000,
			LateAnswerMilli:      60_000,
			NoticeMilli:          2_000,
			DrainMilli:           15_000,
			LeaseMilli:           3_000,
			MemoryMiB:            256,
		},
	}
}

// ClusterMap returns the content of the cluster file.
func (s *Settings) ClusterMap() *Cluster {
	return s.cluster
}

// SetClusterMap sets the cluster where there is no cluster file.
func (s *Settings) SetClusterMap(cluster *Cluster) {
	s.cluster = cluster
}

// DefaultDeadline returns the time limit of a request whose caller states none.
func (l *Limits) DefaultDeadline() time.Duration {
	return time.Duration(l.DefaultDeadlineMilli) * time.Millisecond
}

// LateAnswer returns how long to wait for an answer after the deadline of its request.
func (l *Limits) LateAnswer() time.Duration {
	return time.Duration(l.LateAnswerMilli) * time.Millisecond
}

// ShutdownNotice returns how long a stopping entry reports that it is not ready before it stops
// accepting connections, so that the load balancer can react first.
func (l *Limits) ShutdownNotice() time.Duration {
	return time.Duration(l.NoticeMilli) * time.Millisecond
}

// Drain returns how long requests in flight may take once new ones are no longer accepted.
func (l *Limits) Drain() time.Duration {
	return time.Duration(l.DrainMilli) * time.Millisecond
}

// Lease returns how long a worker may run its tasks after a heartbeat.
func (l *Limits) Lease() time.Duration {
	return time.Duration(l.LeaseMilli) * time.Millisecond
}

// Validate returns mill.ErrInvalid naming the first field that is out of range.
func (s *Settings) Validate() error {
	if err := s.cluster.Validate(); err != nil {
		return err
	}

	if _, ok := s.cluster.Find(s.VM); !ok {
		return merry.Prependf(mill.ErrInvalid, "vm %q: want one of %q", s.VM, s.cluster.Names())
	}

	if s.DataFolder == "" {
		return merry.Prepend(mill.ErrInvalid, "dataFolder \"\": want a path")
	}

	if !validLevel(s.LogLevel) {
		return merry.Prependf(mill.ErrInvalid, "logLevel %q: want debug, info, warn or error", s.LogLevel)
	}

	return s.Limits.validate()
}

func validLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}

func (l *Limits) validate() error {
	ranges := []struct {
		name     string
		value    int64
		min, max int64
	}{
		{"bodyBytes", int64(l.BodyBytes), 1, 1 << 30},
		{"answerBytes", int64(l.AnswerBytes), 1, 1 << 30},
		{"recordedBytes", int64(l.RecordedBytes), 0, 1 << 20},
		{"ringCapacity", int64(l.RingCapacity), 1, 1 << 20},
		{"workers", int64(l.Workers), 1, 1 << 20},
		{"defaultDeadlineMilli", l.DefaultDeadlineMilli, 1, 3_600_000},
		{"lateAnswerMilli", l.LateAnswerMilli, 0, 3_600_000},
		{"noticeMilli", l.NoticeMilli, 0, 60_000},
		{"drainMilli", l.DrainMilli, 0, 600_000},
		{"leaseMilli", l.LeaseMilli, 500, 60_000},
		{"memoryMiB", l.MemoryMiB, 16, 1 << 20},
	}

	for _, r := range ranges {
		if r.value < r.min || r.value > r.max {
			return merry.Prepend(mill.ErrInvalid,
				fmt.Sprintf("limits.%s %d: want %d to %d", r.name, r.value, r.min, r.max))
		}
	}

	return nil
}
