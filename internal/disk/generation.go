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

// generationAfter returns the generation that follows the one in a records file's name.
func generationAfter(path string) uint64 {
	suffix := strings.TrimPrefix(filepath.Ext(path), ".")

	generation, err := strconv.ParseUint(suffix, 10, 64)
	if err != nil {
		return 1
	}

	return generation + 1
}
