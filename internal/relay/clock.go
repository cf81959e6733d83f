package relay

import (
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

// bootMilli returns the time since the VM was started, in milliseconds. Unlike the monotonic clock of package
// time, it goes on while the VM is suspended, so that an order from before a suspension counts as old. It
// returns 0, with which no order is passed on, if the clock cannot be read.
func bootMilli() int64 {
	var now unix.Timespec

	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		log.Error().Err(err).Msg("boot clock cannot be read, no orders are relayed")

		return 0
	}

	return now.Nano() / int64(1e6)
}
