package ctrl

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// View is the state of the control log that other processes receive.
type View struct {
	// Revision is the log index of the last command applied, epochs included.
	Revision uint64
	// Version counts the accepted changes of the declarations.
	Version      uint64
	Digest       string
	Declarations mill.Declarations
	Epochs       map[string]mill.Epoch
}

// Epoch returns the epoch of a ledger, with number 0 if it has none.
func (v *View) Epoch(ledger string) mill.Epoch {
	return v.Epochs[ledger]
}

// ActivePreset returns the active preset, or the zero preset if there is none.
func (v *View) ActivePreset() mill.Preset {
	preset, _ := v.Declarations.FindPreset(v.Declarations.Preset)

	return preset
}
