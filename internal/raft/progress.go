package raft

import "slices"

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

// progresses holds the other servers in the order in which they were added.
type progresses struct {
	list []*progress
}

func (p *progresses) find(identity string) *progress {
	for _, one := range p.list {
		if one.server.Identity == identity {
			return one
		}
	}

	return nil
}

func (p *progresses) add(one *progress) {
	p.list = append(p.list, one)
}

func (p *progresses) remove(identity string) {
	p.list = slices.DeleteFunc(p.list, func(one *progress) bool { return one.server.Identity == identity })
}
