package ctrl

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// Change replaces the declarations, or with Preset set switches to that preset.
type Change struct {
	ID           string
	Base         uint64
	Who          string
	Why          string
	UnixMilli    int64
	Declarations *mill.Declarations `cbor:",omitempty"`
	Preset       string             `cbor:",omitempty"`
}

// Command is one write to the control log; exactly one field is set.
type Command struct {
	Change *Change     `cbor:",omitempty"`
	Epoch  *mill.Epoch `cbor:",omitempty"`
	// UnixMilli is when an epoch was asked for, for the audit trail.
	UnixMilli int64 `cbor:",omitempty"`
}

// Verdict is the answer to a Command.
type Verdict struct {
	Accepted bool
	// Version is the version that the change made, or the one in force when it was refused.
	Version uint64
	// Winner is the change that holds the version wanted by a refused change.
	Winner string
	Who    string
	Reason string
}
