package intake

import "bytes"

const (
	// fieldElementBytes is the memory of an element of an array that is a field of the document. The largest element, a
	// step, takes 160 bytes. While its slice grows, the old and the new one are in use: 2.25 times as much.
	fieldElementBytes = 400
	// innerElementBytes is the memory of an element of an array further inside: the header of a string, 2.25 times.
	innerElementBytes = 40
	// innerObjectBytes is the memory of an object further inside.
	innerObjectBytes = 128
	// fieldDepth is the depth of the elements of an array that is a field of the document.
	fieldDepth = 2
	// maxTrackedDepth limits the depth up to which arrays and objects are told apart. Below it, all count as arrays,
	// which cost more.
	maxTrackedDepth = 64
)

var comma, bracket, brace = []byte{','}, []byte{'['}, []byte{'{'}

// DecodedBytes returns an upper estimate of the memory that a JSON document takes once it is decoded, in addition to
// its text: it may be a hundred times the text, for a list of empty objects. For bytes that are not JSON it
// returns any number.
func DecodedBytes(document []byte) int64 {
	// Counting is much faster than the scan. A document with few elements takes no more than this, whatever they are.
	elements := bytes.Count(document, comma) + bytes.Count(document, bracket) + bytes.Count(document, brace)
	if most := int64(len(document) + elements*fieldElementBytes); most <= freeBytes/2 {
		return most
	}

	s := scanner{cost: int64(len(document))}

	for i := 0; i < len(document); i++ {
		switch document[i] {
		case '"':
			i = endOfString(document, i)
		case '{', '[':
			s.open(document[i] == '[')
		case '}', ']':
			s.close()
		case ',':
			s.separate()
		default:
		}
	}

	return s.cost
}

// endOfString returns the index of the quote that ends a string.
func endOfString(document []byte, start int) int {
	for i := start + 1; i < len(document); i++ {
		switch document[i] {
		case '\\':
			i++
		case '"':
			return i
		default:
		}
	}

	return len(document)
}

// scanner adds up what the elements of a document cost.
type scanner struct {
	cost  int64
	depth int
	// arrays has bit n set if the value opened at depth n is an array.
	arrays uint64
}

func (s *scanner) open(array bool) {
	s.depth++

	if s.depth < maxTrackedDepth {
		bit := uint64(1) << s.depth
		s.arrays &^= bit

		if array {
			s.arrays |= bit
		}
	}

	if array {
		s.cost += s.elementBytes()
	} else if s.depth > fieldDepth+1 {
		s.cost += innerObjectBytes
	}
}

func (s *scanner) close() {
	s.depth = max(0, s.depth-1)
}

func (s *scanner) separate() {
	if s.depth >= maxTrackedDepth || s.arrays&(1<<s.depth) != 0 {
		s.cost += s.elementBytes()
	}
}

func (s *scanner) elementBytes() int64 {
	if s.depth <= fieldDepth {
		return fieldElementBytes
	}

	return innerElementBytes
}
