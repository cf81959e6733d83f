package boot

import (
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// Milli returns the time since the VM was started, in milliseconds. Unlike the monotonic clock of package time, it goes on
// while the VM is suspended, so that what is from before a suspension counts as old. It returns 0 if the clock cannot be
// read; callers must then not rely on anything being recent.
func Milli() int64 {
	var now unix.Timespec

	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		log.Error().Err(err).Msg("boot clock cannot be read, nothing counts as recent")

		return 0
	}

	return now.Nano() / int64(1e6)
}
