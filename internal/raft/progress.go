package raft

// progress is what a leader knows of another server's log.
type progress struct {
	server  Server
	match   uint64
	next    uint64
	quiet   int
	stalled int
}

// retry sends again what was sent a few ticks ago and not acknowledged.
func (p *progress) retry() {
	if p.match+1 >= p.next {
		p.stalled = 0

		return
	}

	p.stalled++

	if p.stalled >= stalledTicks {
		p.stalled = 0
		p.next = p.match + 1
	}
}
