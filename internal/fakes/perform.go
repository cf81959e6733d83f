package fakes

import "github.com/cranberrymill/cranberrymill/internal/drive"

// CrashPoint is the point at which a process crashes while handling its output.
type CrashPoint int

// The points at which a process may crash.
const (
	CrashNever CrashPoint = iota
	CrashBeforeSave
	CrashAfterSave
)

// Perform handles the state machine's output as the driver would. It returns
// false if the process crashed at the crash point.
func Perform[M any](machine drive.Machine[M], disk *Disk, crash CrashPoint, send func(messages []M)) bool {
	for {
		output := machine.Take()
		if output.Empty() {
			return true
		}

		send(output.Early)

		if crash == CrashBeforeSave {
			return false
		}

		if output.Snapshot != nil {
			_ = disk.Compact(output.Snapshot, output.Records...)
		} else {
			_ = disk.Append(output.Records...)
		}

		if crash == CrashAfterSave {
			return false
		}

		machine.Saved()
		send(output.Late)
	}
}
