package ctrl

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// View is what the other processes see of the control log.
type View struct {
	// Revision counts all changes, epochs included.
	Revision uint64
	// Version counts the changes of the declarations.
	Version      uint64
	Digest       string
	Declarations mill.Declarations
	Epochs       map[string]mill.Epoch
}

// Epoch returns the epoch of a ledger, with number 0 when it has none.
func (v *View) Epoch(ledger string) mill.Epoch {
	return v.Epochs[ledger]
}

// InForce returns the preset in force, empty when none was declared.
func (v *View) InForce() mill.Preset {
	preset, _ := v.Declarations.FindPreset(v.Declarations.Preset)

	return preset
}
