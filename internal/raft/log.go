package raft

import "slices"

// entryLog is the log after a base that only the snapshot holds.
type entryLog struct {
	base            uint64
	baseTerm        uint64
	baseMembership  Membership
	list            []Entry
	membership      Membership
	membershipIndex uint64
}

func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.list))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.last())

	return term
}

func (l *entryLog) at(index uint64) *Entry {
	return &l.list[index-l.base-1]
}

func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}

	if index < l.base || index > l.last() {
		return 0, false
	}

	return l.at(index).Term, true
}

func (l *entryLog) append(entry Entry) {
	l.list = append(l.list, entry)

	if entry.Membership != nil {
		l.membership = *entry.Membership
		l.membershipIndex = entry.Index
	}
}

// truncate removes the entries after index; the membership in force is then
// the latest one that is left.
func (l *entryLog) truncate(index uint64) {
	l.list = l.list[:index-l.base]
	l.findMembership()
}

func (l *entryLog) findMembership() {
	l.membership = l.baseMembership
	l.membershipIndex = l.base

	for i := range l.list {
		if l.list[i].Membership != nil {
			l.membership = *l.list[i].Membership
			l.membershipIndex = l.list[i].Index
		}
	}
}

// membershipAt returns the membership in force after index.
func (l *entryLog) membershipAt(index uint64) Membership {
	found := l.baseMembership

	for i := range l.list {
		if l.list[i].Index <= index && l.list[i].Membership != nil {
			found = *l.list[i].Membership
		}
	}

	return found
}

func (l *entryLog) after(index uint64, limit int) []Entry {
	from := int(index - l.base)
	to := min(from+limit, len(l.list))

	return slices.Clone(l.list[from:to])
}

// rebase drops the entries up to and with index.
func (l *entryLog) rebase(index uint64) {
	membership := l.membershipAt(index)
	term, _ := l.termAt(index)
	l.list = slices.Clone(l.list[index-l.base:])
	l.base = index
	l.baseTerm = term
	l.baseMembership = membership
	l.findMembership()
}

// reset drops everything and starts after a snapshot.
func (l *entryLog) reset(snapshot *Snapshot) {
	l.base = snapshot.Index
	l.baseTerm = snapshot.Term
	l.baseMembership = snapshot.Membership
	l.list = nil
	l.findMembership()
}
