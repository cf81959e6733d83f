package drive

import (
	"context"
	"time"
)

// Pause waits for a time or until the context ends.
func Pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
