package mill

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// MachineState is the state of a machine as its provider reports it.
type MachineState string

// The states of machines.
const (
	MachineUp            MachineState = "up"
	MachineMoving        MachineState = "moving"
	MachineInMaintenance MachineState = "upkeep"
	MachineDown          MachineState = "down"
)

// Machine is one machine of the provider. A worker is one incarnation of it.
type Machine struct {
	ID      string
	Service string
	State   MachineState
	// Worker is the id of the worker that runs there; "" for none.
	Worker string
}

// MaintenanceOutcome is the outcome of a maintenance order, as far as the provider's reply says.
type MaintenanceOutcome uint8

// The outcomes of a maintenance order.
const (
	// MaintenanceUnanswered means that the maintenance may have begun or may yet begin.
	MaintenanceUnanswered MaintenanceOutcome = iota
	// MaintenanceBegun means that the maintenance has begun or is already done.
	MaintenanceBegun
	// MaintenanceBusy means that the machine is not up, or that another order came first.
	MaintenanceBusy
	// MaintenanceNotFound means that the machine is not part of the wave or does not exist.
	MaintenanceNotFound
)

var maintenanceOutcomeNames = [...]string{"unanswered", "begun", "busy", "none"}

// String returns the outcome's name in logs.
func (o MaintenanceOutcome) String() string {
	if int(o) < len(maintenanceOutcomeNames) {
		return maintenanceOutcomeNames[o]
	}

	return "unknown"
}

// Machines is the interface to the provider of the machines.
type Machines interface {
	// List returns all machines, or ErrUnavailable.
	List(ctx context.Context) ([]Machine, error)
	// BeginMaintenance starts a machine's maintenance for a wave, which ends everything that runs on it.
	BeginMaintenance(ctx context.Context, machine string, wave int, token uint64) MaintenanceOutcome
}

// The bounds of a wave, so that no input can exhaust memory.
const (
	MaxWaveMachines = 10000
	MaxWaves        = 256
)

// Wave requests maintenance of a set of machines within a given time.
type Wave struct {
	// Number identifies the wave.
	Number   int
	Machines []string
	// Duration is the time within which every machine should have begun its maintenance.
	Duration time.Duration
	// MaxAtOnce limits how many machines are down for the wave at the same time.
	MaxAtOnce int
}

// Validate returns ErrInvalid naming the first field that is out of range.
func (w *Wave) Validate() error {
	switch {
	case len(w.Machines) == 0 || len(w.Machines) > MaxWaveMachines:
		return merry.Prependf(ErrInvalid, "wave of %d machines: want 1 to %d", len(w.Machines), MaxWaveMachines)
	case w.MaxAtOnce < 1:
		return merry.Prependf(ErrInvalid, "limit of %d machines at once: want 1 or more", w.MaxAtOnce)
	case w.Duration <= 0:
		return merry.Prependf(ErrInvalid, "duration %s: want more than 0", w.Duration)
	default:
		return nil
	}
}
