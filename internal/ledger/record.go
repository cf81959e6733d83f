package ledger

import (
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// record is a record in a replica's storage. Exactly one field is set.
type record struct {
	Entry   *storedEntry `cbor:",omitempty"`
	Promise *promise     `cbor:"Vow,omitempty"`
}

// storedEntry is an entry with the commit index at the time it was stored.
type storedEntry struct {
	Entry  Entry
	Commit uint64
}

// promise is the promise to reject ballots lower than Ballot. Incarnation is the
// number of times that the replica was opened. PendingPromotion is the epoch with
// one more replica that it requested as primary, if it may still be accepted.
type promise struct {
	Ballot           Ballot
	Incarnation      uint64      `cbor:"Run"`
	PendingPromotion *mill.Epoch `cbor:"Pledge,omitempty"`
}

// storedSnapshot is the serialized state after the entry at Index.
type storedSnapshot struct {
	Index  uint64
	Ballot Ballot
	State  []byte
}

// persistentState is the state of a replica as loaded from its storage.
type persistentState struct {
	promise     promise
	log         entryLog
	commitIndex uint64
	snapshot    *storedSnapshot
}

func loadPersistentState(storage mill.Storage) (*persistentState, error) {
	data, records, err := storage.Load()
	if err != nil {
		return nil, err
	}

	s := &persistentState{}

	if data != nil {
		s.snapshot = &storedSnapshot{}
		if err := wire.Decode(data, s.snapshot); err != nil {
			return nil, err
		}

		s.log.reset(s.snapshot.Index, s.snapshot.Ballot)
		s.commitIndex = s.snapshot.Index
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

	if entry.Promise != nil {
		s.promise = *entry.Promise
	}

	if entry.Entry != nil {
		s.addEntry(entry.Entry)
	}

	return nil
}

// addEntry replays an entry. It replaces an entry at the same index and all
// entries after that.
func (s *persistentState) addEntry(stored *storedEntry) {
	if stored.Entry.Index <= s.log.base {
		return
	}

	s.log.truncate(stored.Entry.Index - 1)
	s.log.append(stored.Entry)
	s.commitIndex = max(s.commitIndex, stored.Commit)
}
