package ledger

// Ballot orders the primaries of a ledger: by epoch, then by run, which a
// durable primary raises each time its process starts.
type Ballot struct {
	Epoch uint64
	Run   uint64
}

// Less reports whether b comes before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Epoch != other.Epoch {
		return b.Epoch < other.Epoch
	}

	return b.Run < other.Run
}
