package disk

import (
	"crypto/rand"
	"encoding/hex"
)

const identityBytes = 8

// newIdentity returns a random id, so that a copy which lost its content never
// passes for the one it was.
func newIdentity() string {
	var raw [identityBytes]byte

	_, _ = rand.Read(raw[:])

	return hex.EncodeToString(raw[:])
}
