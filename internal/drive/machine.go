package drive

// Output is what a machine wants done, in this order: Early messages are sent,
// Records are made durable, Saved is called, Late messages are sent.
type Output[M any] struct {
	Early    []M
	Records  [][]byte
	Snapshot []byte
	Late     []M
}

// Empty reports whether there is nothing to do.
func (o *Output[M]) Empty() bool {
	return len(o.Early) == 0 && len(o.Records) == 0 && len(o.Late) == 0 && o.Snapshot == nil
}

// Machine is a replicated state machine without input or output of its own.
type Machine[M any] interface {
	// Tick tells the machine that one tick of time has passed.
	Tick()
	// Step gives the machine a message from a peer.
	Step(message M)
	// Take returns what the machine wants done and forgets it; with Snapshot
	// set, Records replace all that was stored.
	Take() Output[M]
	// Saved tells the machine that the records of the last output are durable.
	Saved()
}
