package group

import "time"

const (
	// slowStoreTime is the time from which a leader's store of entries counts as slow: several
	// syncs of a healthy disk and two round trips between regions. Beyond it another voter
	// commits sooner.
	slowStoreTime = 100 * time.Millisecond
	// minSlowTime is the total time of consecutive slow stores before leadership is transferred, and
	// minSlowStores their least number: single ones are due to a snapshot, to a suspended process,
	// or to one that waits for a processor.
	minSlowTime   = 600 * time.Millisecond
	minSlowStores = 3
	// minTransferInterval is the least time between two transfers for this reason, so that
	// leadership does not keep moving if every disk is slow.
	minTransferInterval = 5 * time.Second
)

// slowDiskDetector detects that a leader's own disk delays what the other voters could commit.
// The zero value is ready to use.
type slowDiskDetector struct {
	// slowTime is the total time of the latest consecutive slow stores, and slowStores their number.
	slowTime   time.Duration
	slowStores int
	// lastTransfer is when leadership was last transferred for this reason.
	lastTransfer time.Time
}

// observe records how long the leader took to store entries, and reports whether it should
// transfer leadership.
func (d *slowDiskDetector) observe(took time.Duration, now time.Time) bool {
	if took < slowStoreTime {
		d.slowTime, d.slowStores = 0, 0

		return false
	}

	d.slowTime += took
	d.slowStores++

	if d.slowTime < minSlowTime || d.slowStores < minSlowStores ||
		!d.lastTransfer.IsZero() && now.Sub(d.lastTransfer) < minTransferInterval {
		return false
	}

	d.slowTime, d.slowStores = 0, 0
	d.lastTransfer = now

	return true
}
