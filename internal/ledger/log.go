package ledger

import "slices"

// Entry is a log entry: a batch of commands.
type Entry struct {
	Index    uint64
	Ballot   Ballot
	Commands []Command
}

// entryLog is the part of the log in memory. Entries up to the base index are
// available only through the state.
type entryLog struct {
	base       uint64
	baseBallot Ballot
	entries    []Entry
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// entry returns the entry at index, which must be greater than base and at most last.
func (l *entryLog) entry(index uint64) *Entry {
	return &l.entries[index-l.base-1]
}

func (l *entryLog) ballotAt(index uint64) (Ballot, bool) {
	if index == l.base {
		return l.baseBallot, true
	}

	if index < l.base || index > l.last() {
		return Ballot{}, false
	}

	return l.entry(index).Ballot, true
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.base]
}

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
}

// entriesAfter returns at most limit entries after index.
func (l *entryLog) entriesAfter(index uint64, limit int) []Entry {
	from := int(index - l.base)
	to := min(from+limit, len(l.entries))

	return slices.Clone(l.entries[from:to])
}

// discardThrough removes the entries up to and including index.
func (l *entryLog) discardThrough(index uint64) {
	ballot, _ := l.ballotAt(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	l.baseBallot = ballot
}

// reset removes all entries and sets the base.
func (l *entryLog) reset(base uint64, ballot Ballot) {
	l.base = base
	l.baseBallot = ballot
	l.entries = nil
}
