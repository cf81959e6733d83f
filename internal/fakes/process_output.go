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

// ProcessOutput handles the state machine's output as the driver would. It returns
// false if the process crashed at the crash point.
func ProcessOutput[M any](stateMachine drive.StateMachine[M], disk *Disk, crash CrashPoint, send func(messages []M)) bool {
	for {
		output := stateMachine.TakeOutput()
		if output.Empty() {
			return true
		}

		send(output.BeforeSave)

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

		stateMachine.Saved()
		send(output.AfterSave)
	}
}
