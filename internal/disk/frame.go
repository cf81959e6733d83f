package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is what one sync makes durable: a header of length and checksum, both
// little endian, and a payload that is a list of records, each behind its length.
const (
	headerSize   = 8
	maxFrameSize = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns the frame of the records.
func encodeFrame(records ...[]byte) []byte {
	frame := make([]byte, headerSize)

	for _, record := range records {
		frame = binary.AppendUvarint(frame, uint64(len(record)))
		frame = append(frame, record...)
	}

	payload := frame[headerSize:]
	binary.LittleEndian.PutUint32(frame, uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], checksum(payload))

	return frame
}

// decodeFrame returns the records of the frame that data starts with and the
// bytes it took, or false when data does not start with a whole frame.
func decodeFrame(data []byte) ([][]byte, int, bool) {
	if len(data) < headerSize {
		return nil, 0, false
	}

	size := int(binary.LittleEndian.Uint32(data))
	if size > maxFrameSize || len(data) < headerSize+size {
		return nil, 0, false
	}

	payload := data[headerSize : headerSize+size]
	if binary.LittleEndian.Uint32(data[4:]) != checksum(payload) {
		return nil, 0, false
	}

	records, ok := splitRecords(payload)

	return records, headerSize + size, ok
}

func splitRecords(payload []byte) ([][]byte, bool) {
	var records [][]byte

	for len(payload) > 0 {
		size, width := binary.Uvarint(payload)
		if width <= 0 || size > uint64(len(payload)-width) {
			return nil, false
		}

		end := width + int(size)
		records = append(records, payload[width:end])
		payload = payload[end:]
	}

	return records, true
}

// checksum covers the length too, so that a run of zeros is never a valid frame.
func checksum(payload []byte) uint32 {
	var size [4]byte

	binary.LittleEndian.PutUint32(size[:], uint32(len(payload)))

	return crc32.Update(crc32.Checksum(size[:], castagnoli), castagnoli, payload)
}

// wholeFrameBehind reports whether any whole frame starts in data. A frame is
// written only after the one before it was synced, so a whole one behind a
// broken one tells damage from a torn tail.
func wholeFrameBehind(data []byte) bool {
	for offset := 1; offset+headerSize <= len(data); offset++ {
		records, _, ok := decodeFrame(data[offset:])
		if ok && len(records) > 0 {
			return true
		}
	}

	return false
}
