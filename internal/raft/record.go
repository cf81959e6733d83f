package raft

import (
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// record is one durable record of a server; exactly one field is set.
type record struct {
	Entry *Entry `cbor:",omitempty"`
	Vote  *vote  `cbor:",omitempty"`
}

// vote is the term of a server and the candidate that it voted for in it.
type vote struct {
	Term uint64
	For  string
}

// stored is the content of a storage.
type stored struct {
	vote     vote
	snapshot *Snapshot
	log      entryLog
}

func loadStored(storage mill.Storage) (*stored, error) {
	data, records, err := storage.Load()
	if err != nil {
		return nil, err
	}

	s := &stored{}

	if data != nil {
		s.snapshot = &Snapshot{}
		if err := wire.Decode(data, s.snapshot); err != nil {
			return nil, err
		}

		s.log.reset(s.snapshot)
	}

	for _, raw := range records {
		if err := s.add(raw); err != nil {
			return nil, err
		}
	}

	return s, nil
}

func (s *stored) add(raw []byte) error {
	var next record

	if err := wire.Decode(raw, &next); err != nil {
		return err
	}

	if next.Vote != nil {
		s.vote = *next.Vote
	}

	if next.Entry != nil && next.Entry.Index > s.log.base {
		s.log.truncate(next.Entry.Index - 1)
		s.log.append(*next.Entry)
	}

	return nil
}

// Bootstrap writes the first membership into an empty storage and reports
// whether the storage was empty. Several servers can begin a log together, if
// each of them writes the same membership.
func Bootstrap(storage mill.Storage, servers ...Server) (bool, error) {
	data, records, err := storage.Load()
	if err != nil {
		return false, err
	}

	if data != nil || len(records) > 0 {
		return false, nil
	}

	first := Entry{Index: 1, Term: 1, Membership: &Membership{Servers: servers}}

	encoded, err := wire.Encode(&record{Entry: &first})
	if err != nil {
		return false, err
	}

	voted, err := wire.Encode(&record{Vote: &vote{Term: 1}})
	if err != nil {
		return false, err
	}

	return true, storage.Append(encoded, voted)
}
