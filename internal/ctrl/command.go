package ctrl

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// Change replaces the declarations if Declarations is set, and otherwise switches to a preset. It is
// based on version Base, and is refused if that is not the current one.
type Change struct {
	ID           string
	Base         uint64
	Who          string
	Why          string
	UnixMilli    int64
	Declarations *mill.Declarations `cbor:",omitempty"`
	Preset       string             `cbor:",omitempty"`
}

// Command is one write to the control log; exactly one of Change and Epoch is set.
type Command struct {
	Change *Change     `cbor:",omitempty"`
	Epoch  *mill.Epoch `cbor:",omitempty"`
	// UnixMilli is the time at which an epoch was requested, for the audit trail.
	UnixMilli int64 `cbor:",omitempty"`
}

// Verdict is the result of a Command.
type Verdict struct {
	Accepted bool
	// Version is the version that the command created, or the current one if it was refused.
	Version uint64
	// Winner is the id of the change that created the current version if that is why a change was
	// refused, and Who its author.
	Winner string
	Who    string
	Reason string
}
