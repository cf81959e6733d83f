package disk

import (
	"crypto/rand"
	"encoding/hex"
)

const identityBytes = 8

// newIdentity returns a random identity, so that a replica that lost its content is
// never taken for its former self.
func newIdentity() string {
	var raw [identityBytes]byte

	_, _ = rand.Read(raw[:])

	return hex.EncodeToString(raw[:])
}
