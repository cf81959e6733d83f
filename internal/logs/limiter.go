package logs

import (
	"sync"
	"time"
)

// Limiter bounds how often a line is logged whose cause callers can repeat at will. Its zero value is ready for use.
type Limiter struct {
	mu      sync.Mutex
	next    time.Time
	skipped int
}

// Allow reports whether a line may be logged now, which it is once in the interval, and how many were not logged since
// the last one.
func (l *Limiter) Allow(now time.Time, interval time.Duration) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if now.Before(l.next) {
		l.skipped++

		return 0, false
	}

	skipped, l.skipped = l.skipped, 0
	l.next = now.Add(interval)

	return skipped, true
}
