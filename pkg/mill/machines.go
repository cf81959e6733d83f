package mill

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// MachineState is what the provider says of a machine.
type MachineState string

// The states of machines.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is one machine of the provider; a worker is one life of it.
type Machine struct {
	ID      string
	Service string
	State   MachineState
	// Worker is the id of the worker that runs there; "" for none.
	Worker string
}

// UpkeepOutcome is how the provider answered an order for upkeep.
type UpkeepOutcome uint8

// The outcomes of an order for upkeep.
const (
	// UpkeepUnanswered leaves open whether the upkeep has begun or will begin.
	UpkeepUnanswered UpkeepOutcome = iota
	// UpkeepBegun means that it has begun, or is done already.
	UpkeepBegun
	// UpkeepBusy means that the machine is not up, or that another order came first.
	UpkeepBusy
	// UpkeepNone means that the machine is not part of the wave, or that there is none such.
	UpkeepNone
)

var upkeepNames = [...]string{"unanswered", "begun", "busy", "none"}

// String returns the outcome's name in logs.
func (o UpkeepOutcome) String() string {
	if int(o) < len(upkeepNames) {
		return upkeepNames[o]
	}

	return "unknown"
}

// Machines is the provider's side of machines.
type Machines interface {
	// List returns all machines, or ErrUnavailable.
	List(ctx context.Context) ([]Machine, error)
	// Upkeep has a machine's upkeep for a wave begin: all that runs on it ends.
	Upkeep(ctx context.Context, machine string, wave int, fence uint64) UpkeepOutcome
}

// The bounds of a wave, against input that would take all memory.
const (
	MaxWaveMachines = 10000
	MaxWaves        = 256
)

// Wave asks that each of some machines has its upkeep in time.
type Wave struct {
	// Number names the wave.
	Number   int
	Machines []string
	// Duration is the time in which all should have begun.
	Duration time.Duration
	// MaxAtOnce bounds the machines that are down for the wave at a time.
	MaxAtOnce int
}

// Validate returns ErrInvalid naming the first field that is out of range.
func (w *Wave) Validate() error {
	switch {
	case len(w.Machines) == 0 || len(w.Machines) > MaxWaveMachines:
		return merry.Prependf(ErrInvalid, "wave of %d machines: want 1 to %d", len(w.Machines), MaxWaveMachines)
	case w.MaxAtOnce < 1:
		return merry.Prependf(ErrInvalid, "%d machines at once: want 1 or more", w.MaxAtOnce)
	case w.Duration <= 0:
		return merry.Prependf(ErrInvalid, "duration %s: want more than 0", w.Duration)
	default:
		return nil
	}
}
