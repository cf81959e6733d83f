package ledger

import (
	"unicode/utf8"

	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Header is one HTTP header of an Answer. Its value may hold any bytes (RFC 9110, section 5.5).
type Header struct {
	Name  string
	Value string
}

// storedHeader is the serialized form of a Header. The value is a text if it is UTF-8, and else a byte string: a text that
// is not UTF-8 cannot be decoded.
type storedHeader struct {
	Name  string
	Value any
}

// MarshalCBOR encodes the header.
func (h Header) MarshalCBOR() ([]byte, error) {
	stored := storedHeader{Name: h.Name, Value: h.Value}
	if !utf8.ValidString(h.Value) {
		stored.Value = []byte(h.Value)
	}

	return wire.Encode(&stored)
}

// UnmarshalCBOR decodes the header.
func (h *Header) UnmarshalCBOR(data []byte) error {
	var stored storedHeader

	if err := wire.Decode(data, &stored); err != nil {
		return err
	}

	h.Name = stored.Name

	switch value := stored.Value.(type) {
	case string:
		h.Value = value
	case []byte:
		h.Value = string(value)
	default:
		return merry.Prependf(mill.ErrInvalid, "value of header %q is a %T: want a text or bytes", h.Name, value)
	}

	return nil
}
