package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame holds the records of one sync. It consists of a header with length and
// checksum, both little-endian, and a payload of length-prefixed records.
const (
	headerSize   = 8
	maxFrameSize = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame encodes the records as one frame.
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

// decodeFrame returns the records and the size of the frame at the start of
// data, or false if data does not start with a valid frame.
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

// checksum also covers the length, so that a run of zeros is never a valid frame.
func checksum(payload []byte) uint32 {
	var size [4]byte

	binary.LittleEndian.PutUint32(size[:], uint32(len(payload)))

	return crc32.Update(crc32.Checksum(size[:], castagnoli), castagnoli, payload)
}

// containsValidFrame reports whether a valid frame starts anywhere in data after
// its first byte. A frame is written only after the previous one was synced, so
// a valid frame after an invalid one means corruption rather than a torn write.
func containsValidFrame(data []byte) bool {
	for offset := 1; offset+headerSize <= len(data); offset++ {
		records, _, ok := decodeFrame(data[offset:])
		if ok && len(records) > 0 {
			return true
		}
	}

	return false
}
