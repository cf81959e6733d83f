package jobs

import (
	"slices"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// Batch is the content of one entry of the replicated log.
type Batch struct {
	Commands []Command `cbor:"1,keyasint"`
}

// EncodeBatch encodes commands as a log entry and returns the positions of those that it left out because they could not
// be decoded again. Replicas skip an entry that they cannot decode, with all its commands.
func EncodeBatch(commands []Command) (data []byte, unreadable []int, err error) {
	data, err = encodeReadable(commands)
	if err == nil {
		return data, nil, nil
	}

	readable := make([]Command, 0, len(commands))

	for i := range commands {
		if _, err := encodeReadable(commands[i : i+1]); err != nil {
			log.Error().Err(err).Int("position", i).Int("commands", len(commands)).
				Msg("command cannot be read back, leaving it out of the log")

			unreadable = append(unreadable, i)

			continue
		}

		readable = append(readable, commands[i])
	}

	data, err = encodeReadable(readable)

	return data, unreadable, err
}

// encodeReadable encodes commands as a log entry, and fails if the entry cannot be decoded.
func encodeReadable(commands []Command) ([]byte, error) {
	data, err := wire.Encode(&Batch{Commands: commands})
	if err != nil {
		return nil, err
	}

	var decoded Batch

	return data, wire.Decode(data, &decoded)
}

// InsertUnreadable returns the results of a log entry with ResultUnreadable at the positions that EncodeBatch left out.
func InsertUnreadable(results []Result, unreadable []int) []Result {
	if len(unreadable) == 0 {
		return results
	}

	all := slices.Clone(results)
	for _, at := range unreadable {
		all = slices.Insert(all, at, ResultUnreadable)
	}

	return all
}
