package group

import "time"

const (
	// slowSync is how long a leader may take to store entries: several syncs of a sound
	// disk and two round trips between regions. Beyond it another voter commits sooner.
	slowSync = 100 * time.Millisecond
	// slowTotal is how much time slow stores in a row take up before the lead is passed
	// on, and slowStores how many they are at the least: single ones are due to a snapshot, to
	// a process that was suspended, or to one that waits for a processor.
	slowTotal  = 600 * time.Millisecond
	slowStores = 3
	// handOverPause is the least time between two hand-overs for this reason, so that
	// the lead does not go round where every disk is slow.
	handOverPause = 5 * time.Second
)

// slowDisk tells when a leader's own disk holds up what the others could commit. Its
// zero value is ready.
type slowDisk struct {
	// spent is the time that the latest stores took, all of which were slow, and stores their number.
	spent  time.Duration
	stores int
	// passed is when the lead was passed on last.
	passed time.Time
}

// observe takes note of how long the leader took to store entries, and reports
// whether it should pass the lead on.
func (s *slowDisk) observe(took time.Duration, now time.Time) bool {
	if took < slowSync {
		s.spent, s.stores = 0, 0

		return false
	}

	s.spent += took
	s.stores++

	if s.spent < slowTotal || s.stores < slowStores || !s.passed.IsZero() && now.Sub(s.passed) < handOverPause {
		return false
	}

	s.spent, s.stores = 0, 0
	s.passed = now

	return true
}
