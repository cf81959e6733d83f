package fakes

import "github.com/cranberrymill/cranberrymill/internal/drive"

// CrashPoint says where in performing its output a process dies.
type CrashPoint int

// The points at which a process may die.
const (
	CrashNever CrashPoint = iota
	CrashBeforeSave
	CrashAfterSave
)

// Perform does what the machine wants done, as the driver would, and reports
// false when the process died at the crash point.
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
