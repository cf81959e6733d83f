package mill

import (
	"net"

	"github.com/ansel1/merry/v2"
)

// The bounds of an announcement.
const (
	MaxSlots       = 4096
	MaxConnections = 65536
	MaxNameLength  = 128
)

// Announcement is the description of itself that an upstream sends to an entry each second.
type Announcement struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Service     string `json:"service"`
	DataCentre  string `json:"dataCentre"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Validate returns ErrInvalid naming the first field that is out of range.
func (a *Announcement) Validate() error {
	if err := ValidateName("id", a.ID); err != nil {
		return err
	}

	if err := ValidateName("service", a.Service); err != nil {
		return err
	}

	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		return merry.Prependf(ErrInvalid, "address %q: want host:port", a.Address)
	}

	if a.Slots < 1 || a.Slots > MaxSlots {
		return merry.Prependf(ErrInvalid, "slots %d: want 1 to %d", a.Slots, MaxSlots)
	}

	if a.Connections < 1 || a.Connections > MaxConnections {
		return merry.Prependf(ErrInvalid, "connections %d: want 1 to %d", a.Connections, MaxConnections)
	}

	return nil
}

// ValidateName returns ErrInvalid unless name has 1 to MaxNameLength letters, digits, dots, dashes or underscores.
func ValidateName(field, name string) error {
	if name == "" || len(name) > MaxNameLength {
		return merry.Prependf(ErrInvalid, "%s %q: want 1 to %d characters", field, name, MaxNameLength)
	}

	for _, r := range name {
		if !isNameRune(r) {
			return merry.Prependf(ErrInvalid, "%s %q: want letters, digits, '.', '-' and '_'", field, name)
		}
	}

	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '.' || r == '-' || r == '_'
	}
}
