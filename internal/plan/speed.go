package plan

import "time"

const (
	// slownessWeight is the share of the newest run in a worker's slowness: about the
	// last twenty runs count, which evens out that like tasks differ by a third.
	slownessWeight = 0.1
	// slownessRuns is how many runs the assumption that a worker is like the others weighs.
	slownessRuns = 4
	// slownessMost bounds what one run says: beyond it the run was disturbed.
	slownessMost = 3.0
)

// Slowness is how long a worker takes for its runs, against what they take elsewhere;
// its zero value is that of a worker like the others.
type Slowness struct {
	mean float64
	runs float64
}

// Learn takes note of a run that took a time and was expected to take another.
func (s *Slowness) Learn(took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}

	seen := min(slownessMost, float64(took)/float64(expected))
	s.runs++
	s.mean += max(slownessWeight, 1/s.runs) * (seen - s.mean)
}

// Factor returns the worker's time for a run as a multiple of the usual one.
func (s *Slowness) Factor() float64 {
	return (s.runs*s.mean + slownessRuns) / (s.runs + slownessRuns)
}

// The shares of the work left, in slack, that make a step urgent or patient.
const (
	urgentSlack  = 1
	patientSlack = 2
)

// Hurry returns 1 for work that should go to the fastest workers, -1 for work that
// leaves them to others, and 0 for what is in between. It answers pools of unlike workers
// that urgent and patient queues share.
func Hurry(slack, remaining time.Duration) float64 {
	switch {
	case slack < urgentSlack*remaining:
		return 1
	case slack > patientSlack*remaining:
		return -1
	default:
		return 0
	}
}

// Hurry returns how much the step needs a fast worker; a lasting one does not finish earlier there.
func (c *Claim) Hurry() float64 {
	if c.Lasting {
		return -1
	}

	return Hurry(c.slack(), c.Remaining)
}
