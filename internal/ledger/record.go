package ledger

import (
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// record is one durable record of a replica; exactly one field is set.
type record struct {
	Entry *storedEntry `cbor:",omitempty"`
	Vow   *vow         `cbor:",omitempty"`
}

// storedEntry is an entry with what was known to be committed when it was stored.
type storedEntry struct {
	Entry  Entry
	Commit uint64
}

// vow is the promise to refuse every ballot before Ballot, the number of times
// that this copy was opened, and the larger epoch that it asked for as primary.
type vow struct {
	Ballot Ballot
	Run    uint64
	Pledge *mill.Epoch `cbor:",omitempty"`
}

// storedSnapshot is the state at an index.
type storedSnapshot struct {
	Index  uint64
	Ballot Ballot
	State  []byte
}

// stored is the content of a storage.
type stored struct {
	vow      vow
	log      entries
	commit   uint64
	snapshot *storedSnapshot
}

func loadStored(storage mill.Storage) (*stored, error) {
	data, records, err := storage.Load()
	if err != nil {
		return nil, err
	}

	s := &stored{}

	if data != nil {
		s.snapshot = &storedSnapshot{}
		if err := wire.Decode(data, s.snapshot); err != nil {
			return nil, err
		}

		s.log.reset(s.snapshot.Index, s.snapshot.Ballot)
		s.commit = s.snapshot.Index
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

	if next.Vow != nil {
		s.vow = *next.Vow
	}

	if next.Entry != nil {
		s.addEntry(next.Entry)
	}

	return nil
}

// addEntry replays an entry; one at an index that is taken replaces it and all after it.
func (s *stored) addEntry(next *storedEntry) {
	if next.Entry.Index <= s.log.base {
		return
	}

	s.log.truncate(next.Entry.Index - 1)
	s.log.append(next.Entry)
	s.commit = max(s.commit, next.Commit)
}
