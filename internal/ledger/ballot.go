package ledger

// Ballot orders the primaries of a ledger by epoch, then by incarnation, which a
// durable primary increments each time its process starts.
type Ballot struct {
	Epoch       uint64
	Incarnation uint64 `cbor:"Run"`
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}

	return b.Incarnation < other.Incarnation
}
