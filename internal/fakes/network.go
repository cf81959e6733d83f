package fakes

import "slices"

// maxInFlight is the maximum number of messages in flight; further ones are lost.
const maxInFlight = 200

// link is one direction of the connection between two processes.
type link struct {
	from, to string
}

// Network holds messages in flight until the test delivers or drops them.
type Network[M any] struct {
	inFlight  []M
	endpoints func(message M) (from, to string)
	cut       map[link]bool
}

// NewNetwork returns a network that calls endpoints for the sender and receiver of a message.
func NewNetwork[M any](endpoints func(message M) (from, to string)) *Network[M] {
	return &Network[M]{endpoints: endpoints, cut: make(map[link]bool)}
}

// Send adds messages to those in flight.
func (n *Network[M]) Send(messages []M) {
	free := max(maxInFlight-len(n.inFlight), 0)
	n.inFlight = append(n.inFlight, messages[:min(free, len(messages))]...)
}

// Len returns the number of messages in flight.
func (n *Network[M]) Len() int {
	return len(n.inFlight)
}

// Take returns the message at a position and its receiver, and false if the
// link is cut. With keep set the message remains in flight.
func (n *Network[M]) Take(at int, keep bool) (message M, to string, ok bool) {
	message = n.inFlight[at]

	if !keep {
		n.inFlight = slices.Delete(n.inFlight, at, at+1)
	}

	from, to := n.endpoints(message)

	return message, to, !n.cut[link{from: from, to: to}]
}

// Drop removes the message at a position.
func (n *Network[M]) Drop(at int) {
	n.inFlight = slices.Delete(n.inFlight, at, at+1)
}

// TakeSince removes the messages from a position to the end and returns them.
func (n *Network[M]) TakeSince(at int) []M {
	at = min(at, len(n.inFlight))
	taken := slices.Clone(n.inFlight[at:])
	n.inFlight = n.inFlight[:at]

	return taken
}

// Cut cuts the link from one process to another.
func (n *Network[M]) Cut(from, to string) {
	n.cut[link{from: from, to: to}] = true
}

// Isolate cuts the links between a process and the others in both directions.
func (n *Network[M]) Isolate(name string, others []string) {
	for _, other := range others {
		n.Cut(name, other)
		n.Cut(other, name)
	}
}

// Heal restores all links.
func (n *Network[M]) Heal() {
	clear(n.cut)
}
