package plan

// minRelayedWorkers is the number of workers from which orders are relayed. Below it the scheduling process has
// processor time and descriptors to spare, and a relay is one more process that may fail on the way.
const minRelayedWorkers = 200

// RelayOrders reports whether orders for a pool of that many workers should go through relays. It answers the load of
// more than a thousand starts a second on hundreds of workers, which one process cannot send by itself.
func RelayOrders(workers int) bool {
	return workers >= minRelayedWorkers
}
