package lead

import "math/bits"

// workerSet is a set of workers by their index; its zero value is empty.
type workerSet []uint64

const wordBits = 64

// add adds the worker with an index.
func (s *workerSet) add(index int) {
	for len(*s) <= index/wordBits {
		*s = append(*s, 0)
	}

	(*s)[index/wordBits] |= 1 << (index % wordBits)
}

// remove removes the worker with an index, which the set holds.
func (s workerSet) remove(index int) {
	s[index/wordBits] &^= 1 << (index % wordBits)
}

// has reports whether the set holds the worker with an index.
func (s workerSet) has(index int) bool {
	return s.word(index/wordBits)&(1<<(index%wordBits)) != 0
}

// word returns the part of the set that holds the indexes from at*wordBits on.
func (s workerSet) word(at int) uint64 {
	if at >= len(s) {
		return 0
	}

	return s[at]
}

// eachIndex calls a function with the index of each bit of a word of a set until it returns false, and reports whether it
// never did.
func eachIndex(at int, word uint64, do func(index int) bool) bool {
	for ; word != 0; word &= word - 1 {
		if !do(at*wordBits + bits.TrailingZeros64(word)) {
			return false
		}
	}

	return true
}
