package plan

import "time"

// The ratios of slack to remaining work below which a step is urgent and above which it can wait.
const (
	urgentSlackRatio  = 1
	relaxedSlackRatio = 2
)

// SpeedPreference returns 1 for work that should go to the fastest workers, -1 for work that should leave them
// to other work, and 0 in between. It is meant for pools with workers of different speeds that
// urgent and deferrable queues share.
func SpeedPreference(slack, remaining time.Duration) float64 {
	switch {
	case slack < urgentSlackRatio*remaining:
		return 1
	case slack > relaxedSlackRatio*remaining:
		return -1
	default:
		return 0
	}
}

// SpeedPreference returns the step's preference for fast workers; a long-running step
// does not finish earlier on them.
func (u *Urgency) SpeedPreference() float64 {
	if u.LongRunning {
		return -1
	}

	return SpeedPreference(u.slack(), u.Remaining)
}
