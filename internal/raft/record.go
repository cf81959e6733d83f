package raft

import (
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// record is a record in a server's storage. Exactly one field is set.
type record struct {
	Entry *Entry `cbor:",omitempty"`
	Vote  *vote  `cbor:",omitempty"`
}

// vote is a server's current term and the candidate it voted for in that term.
type vote struct {
	Term uint64
	For  string
}

// persistentState is the state of a server as loaded from its storage.
type persistentState struct {
	vote     vote
	snapshot *Snapshot
	log      entryLog
}

func loadPersistentState(storage mill.Storage) (*persistentState, error) {
	data, records, err := storage.Load()
	if err != nil {
		return nil, err
	}

	s := &persistentState{}

	if data != nil {
		s.snapshot = &Snapshot{}
		if err := wire.Decode(data, s.snapshot); err != nil {
			return nil, err
		}

		s.log.restore(s.snapshot)
	}

	for _, raw := range records {
		if err := s.add(raw); err != nil {
			return nil, err
		}
	}

	return s, nil
}

func (s *persistentState) add(raw []byte) error {
	var entry record

	if err := wire.Decode(raw, &entry); err != nil {
		return err
	}

	if entry.Vote != nil {
		s.vote = *entry.Vote
	}

	if entry.Entry != nil && entry.Entry.Index > s.log.base {
		s.log.truncate(entry.Entry.Index - 1)
		s.log.append(*entry.Entry)
	}

	return nil
}

// Bootstrap writes the initial membership to an empty storage and reports
// whether the storage was empty. Several servers can bootstrap a group together
// if each writes the same membership.
func Bootstrap(storage mill.Storage, servers ...Server) (bool, error) {
	data, records, err := storage.Load()
	if err != nil {
		return false, err
	}

	if data != nil || len(records) > 0 {
		return false, nil
	}

	first := Entry{Index: 1, Term: 1, Membership: &Membership{Servers: servers}}

	entryRecord, err := wire.Encode(&record{Entry: &first})
	if err != nil {
		return false, err
	}

	voteRecord, err := wire.Encode(&record{Vote: &vote{Term: 1}})
	if err != nil {
		return false, err
	}

	return true, storage.Append(entryRecord, voteRecord)
}
