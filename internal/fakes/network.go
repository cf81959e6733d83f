package fakes

import "slices"

// maxQueue bounds the messages under way; more are lost.
const maxQueue = 200

// link is one direction between two processes.
type link struct {
	from, to string
}

// Network holds the messages under way until the test delivers or loses them.
type Network[M any] struct {
	queue []M
	ends  func(message M) (from, to string)
	cut   map[link]bool
}

// NewNetwork returns a network that asks ends for the two ends of a message.
func NewNetwork[M any](ends func(message M) (from, to string)) *Network[M] {
	return &Network[M]{ends: ends, cut: make(map[link]bool)}
}

// Send puts messages under way.
func (n *Network[M]) Send(messages []M) {
	room := max(maxQueue-len(n.queue), 0)
	n.queue = append(n.queue, messages[:min(room, len(messages))]...)
}

// Len returns the number of messages under way.
func (n *Network[M]) Len() int {
	return len(n.queue)
}

// Take returns the message at a position and where it goes, and false when its
// link is cut; with keep set the message is under way once more.
func (n *Network[M]) Take(at int, keep bool) (message M, to string, ok bool) {
	message = n.queue[at]

	if !keep {
		n.queue = slices.Delete(n.queue, at, at+1)
	}

	from, to := n.ends(message)

	return message, to, !n.cut[link{from: from, to: to}]
}

// Drop loses the message at a position.
func (n *Network[M]) Drop(at int) {
	n.queue = slices.Delete(n.queue, at, at+1)
}

// Since takes the messages from a position on out of the network.
func (n *Network[M]) Since(at int) []M {
	at = min(at, len(n.queue))
	taken := slices.Clone(n.queue[at:])
	n.queue = n.queue[:at]

	return taken
}

// Cut cuts one direction between two processes.
func (n *Network[M]) Cut(from, to string) {
	n.cut[link{from: from, to: to}] = true
}

// Isolate cuts both directions between a process and the others.
func (n *Network[M]) Isolate(name string, others []string) {
	for _, other := range others {
		n.Cut(name, other)
		n.Cut(other, name)
	}
}

// Mend ends all cuts.
func (n *Network[M]) Mend() {
	clear(n.cut)
}
