package relay

// leader is a process whose orders are passed on.
type leader struct {
	term    uint64
	address string
}
