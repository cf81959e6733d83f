package ledger

import "slices"

// Entry is one batch of commands at its place in the log.
type Entry struct {
	Index    uint64
	Ballot   Ballot
	Commands []Command
}

// entries is the log after a base whose content is in the state only.
type entries struct {
	base       uint64
	baseBallot Ballot
	list       []Entry
}

func (e *entries) last() uint64 {
	return e.base + uint64(len(e.list))
}

// at returns the entry of that index, which must be after the base and not after the last.
func (e *entries) at(index uint64) *Entry {
	return &e.list[index-e.base-1]
}

func (e *entries) ballotAt(index uint64) (Ballot, bool) {
	if index == e.base {
		return e.baseBallot, true
	}

	if index < e.base || index > e.last() {
		return Ballot{}, false
	}

	return e.at(index).Ballot, true
}

// truncate removes the entries after index.
func (e *entries) truncate(index uint64) {
	e.list = e.list[:index-e.base]
}

func (e *entries) append(entry Entry) {
	e.list = append(e.list, entry)
}

// after returns up to limit entries after index.
func (e *entries) after(index uint64, limit int) []Entry {
	from := int(index - e.base)
	to := min(from+limit, len(e.list))

	return slices.Clone(e.list[from:to])
}

// rebase drops the entries up to and with index.
func (e *entries) rebase(index uint64) {
	ballot, _ := e.ballotAt(index)
	e.list = slices.Clone(e.list[index-e.base:])
	e.base = index
	e.baseBallot = ballot
}

// reset drops everything and starts after another base.
func (e *entries) reset(base uint64, ballot Ballot) {
	e.base = base
	e.baseBallot = ballot
	e.list = nil
}
