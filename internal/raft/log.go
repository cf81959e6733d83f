package raft

import "slices"

// entryLog is the part of the log in memory. Entries up to the base index are
// available only through the snapshot.
type entryLog struct {
	base            uint64
	baseTerm        uint64
	baseMembership  Membership
	entries         []Entry
	membership      Membership
	membershipIndex uint64
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.last())

	return term
}

func (l *entryLog) entry(index uint64) *Entry {
	return &l.entries[index-l.base-1]
}

func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}

	if index < l.base || index > l.last() {
		return 0, false
	}

	return l.entry(index).Term, true
}

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)

	if entry.Membership != nil {
		l.membership = *entry.Membership
		l.membershipIndex = entry.Index
	}
}

// truncate removes the entries after index. The latest remaining membership
// takes effect.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.base]
	l.refreshMembership()
}

func (l *entryLog) refreshMembership() {
	l.membership = l.baseMembership
	l.membershipIndex = l.base

	for i := range l.entries {
		if l.entries[i].Membership != nil {
			l.membership = *l.entries[i].Membership
			l.membershipIndex = l.entries[i].Index
		}
	}
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	found := l.baseMembership

	for i := range l.entries {
		if l.entries[i].Index <= index && l.entries[i].Membership != nil {
			found = *l.entries[i].Membership
		}
	}

	return found
}

func (l *entryLog) entriesAfter(index uint64, limit int) []Entry {
	from := int(index - l.base)
	to := min(from+limit, len(l.entries))

	return slices.Clone(l.entries[from:to])
}

// discardThrough removes the entries up to and including index.
func (l *entryLog) discardThrough(index uint64) {
	membership := l.membershipAt(index)
	term, _ := l.termAt(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base = index
	l.baseTerm = term
	l.baseMembership = membership
	l.refreshMembership()
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(snapshot *Snapshot) {
	l.base = snapshot.Index
	l.baseTerm = snapshot.Term
	l.baseMembership = snapshot.Membership
	l.entries = nil
	l.refreshMembership()
}
