package disk

import (
	"encoding/binary"
	"path/filepath"
	"strconv"
	"strings"
)

const generationSize = 8

func encodeGeneration(generation uint64) []byte {
	return binary.LittleEndian.AppendUint64(nil, generation)
}

func decodeGeneration(payload []byte) uint64 {
	return binary.LittleEndian.Uint64(payload)
}

// nextGeneration returns the generation after the one in the name of a records file.
func nextGeneration(path string) uint64 {
	suffix := strings.TrimPrefix(filepath.Ext(path), ".")

	generation, err := strconv.ParseUint(suffix, 10, 64)
	if err != nil {
		return 1
	}

	return generation + 1
}
