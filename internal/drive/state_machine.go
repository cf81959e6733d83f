package drive

// Output is the pending output of a state machine. The driver sends the BeforeSave
// messages, stores the Records, calls Saved and sends the AfterSave messages, in
// this order.
type Output[M any] struct {
	BeforeSave []M
	Records    [][]byte
	Snapshot   []byte
	AfterSave  []M
}

// Empty reports whether there is no output.
func (o *Output[M]) Empty() bool {
	return len(o.BeforeSave) == 0 && len(o.Records) == 0 && len(o.AfterSave) == 0 && o.Snapshot == nil
}

// StateMachine is a replicated state machine that does no I/O itself.
type StateMachine[M any] interface {
	// Tick advances the state machine's clock by one tick.
	Tick()
	// Step processes a message from a peer.
	Step(message M)
	// TakeOutput returns the pending output and clears it. If Snapshot is set,
	// Snapshot and Records replace everything stored before.
	TakeOutput() Output[M]
	// Saved tells the state machine that the records of the last output are durable.
	Saved()
}
