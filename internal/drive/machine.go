package drive

// Output is the pending output of a state machine. The driver sends the Early
// messages, stores the Records, calls Saved and sends the Late messages, in
// this order.
type Output[M any] struct {
	Early    []M
	Records  [][]byte
	Snapshot []byte
	Late     []M
}

// Empty reports whether there is no output.
func (o *Output[M]) Empty() bool {
	return len(o.Early) == 0 && len(o.Records) == 0 && len(o.Late) == 0 && o.Snapshot == nil
}

// Machine is a replicated state machine that does no I/O itself.
type Machine[M any] interface {
	// Tick advances the state machine's clock by one tick.
	Tick()
	// Step processes a message from a peer.
	Step(message M)
	// Take returns the pending output and clears it. If Snapshot is set,
	// Snapshot and Records replace everything stored before.
	Take() Output[M]
	// Saved tells the state machine that the records of the last output are durable.
	Saved()
}
