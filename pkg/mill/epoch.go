package mill

import "slices"

// Member is one replica of a ledger. A replica that lost its content rejoins under another identity.
type Member struct {
	VM       string `json:"vm"`
	Identity string `json:"identity"`
	Address  string `json:"address"`
	Durable  bool   `json:"durable"`
}

// Epoch is one configuration of a ledger: its replicas and which of them is the primary.
type Epoch struct {
	Ledger   string   `json:"ledger"`
	Number   uint64   `json:"number"`
	Primary  Member   `json:"primary"`
	Replicas []Member `json:"replicas"`
}

// Has reports whether the identity is one of the replicas.
func (e *Epoch) Has(identity string) bool {
	return slices.ContainsFunc(e.Replicas, func(m Member) bool { return m.Identity == identity })
}

// Durable reports whether any replica syncs to a disk.
func (e *Epoch) Durable() bool {
	return slices.ContainsFunc(e.Replicas, func(m Member) bool { return m.Durable })
}

// With returns the epoch that follows e with a replica added.
func (e *Epoch) With(member Member) Epoch {
	next := e.next()
	next.Replicas = append(next.Replicas, member)

	return next
}

// Without returns the epoch that follows e with a replica removed.
func (e *Epoch) Without(identity string) Epoch {
	next := e.next()
	next.Replicas = slices.DeleteFunc(next.Replicas, func(m Member) bool { return m.Identity == identity })

	return next
}

// WithPrimary returns the epoch that follows e with another primary; the old primary is removed from the replicas.
func (e *Epoch) WithPrimary(primary Member) Epoch {
	next := e.Without(e.Primary.Identity)
	next.Primary = primary

	return next
}

func (e *Epoch) next() Epoch {
	return Epoch{
		Ledger:   e.Ledger,
		Number:   e.Number + 1,
		Primary:  e.Primary,
		Replicas: slices.Clone(e.Replicas),
	}
}
