package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header of length and checksum, both little endian, and the payload.
const (
	headerSize    = 8
	maxRecordSize = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(buf, payload []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, checksum(payload))

	return append(buf, payload...)
}

// checksum covers the length too, so that a run of zeros is never a valid record.
func checksum(payload []byte) uint32 {
	var size [4]byte

	binary.LittleEndian.PutUint32(size[:], uint32(len(payload)))

	return crc32.Update(crc32.Checksum(size[:], castagnoli), castagnoli, payload)
}

// readRecord returns the first payload of data and the bytes it took, or false
// when data does not start with a whole record.
func readRecord(data []byte) ([]byte, int, bool) {
	if len(data) < headerSize {
		return nil, 0, false
	}

	size := int(binary.LittleEndian.Uint32(data))
	if size > maxRecordSize || len(data) < headerSize+size {
		return nil, 0, false
	}

	payload := data[headerSize : headerSize+size]
	if binary.LittleEndian.Uint32(data[4:]) != checksum(payload) {
		return nil, 0, false
	}

	return payload, headerSize + size, true
}

// wholeRecordBehind reports whether any whole record starts in data, which
// tells damage in the middle of a file from a torn tail.
func wholeRecordBehind(data []byte) bool {
	for offset := 1; offset+headerSize <= len(data); offset++ {
		payload, _, ok := readRecord(data[offset:])
		if ok && len(payload) > 0 {
			return true
		}
	}

	return false
}
