package mill

import (
	"crypto/sha256"
	"fmt"
	"math"

	"github.com/ansel1/merry/v2"
)

// redactedKey is what is printed in place of a key.
const redactedKey = "[redacted]"

// APIKey is the secret by which a caller shows for which tenant it calls. It is never printed.
type APIKey string

// Digest returns the digest by which a key is looked up: the time of a look-up then says nothing about the key.
func (k APIKey) Digest() KeyDigest {
	return sha256.Sum256([]byte(k))
}

// String returns a placeholder, so that keys do not get into logs and errors.
func (k APIKey) String() string {
	return redactedKey
}

// Format prints a placeholder, whatever the verb.
func (k APIKey) Format(state fmt.State, _ rune) {
	// An error here means that the destination of the text is gone, which the caller learns from its own call.
	_, _ = state.Write([]byte(redactedKey))
}

// MarshalJSON encodes a placeholder, since log lines and pages for operators are encoded as JSON.
func (k APIKey) MarshalJSON() ([]byte, error) {
	return []byte(`"` + redactedKey + `"`), nil
}

// KeyDigest is the SHA-256 digest of an APIKey.
type KeyDigest [sha256.Size]byte

// Tenant is a party on whose behalf callers submit jobs.
type Tenant struct {
	Name string
	// Keys are the keys of the tenant's callers.
	Keys []APIKey `cbor:",omitempty"`
	// Weight is the tenant's share when capacity is short, in jobs per second; 0 if it has none of its own.
	Weight float64 `cbor:",omitempty"`
	// MaxRunning limits what the tenant's running tasks reserve on all workers together; 0 is no limit.
	MaxRunning Resources
}

func (t *Tenant) validate(index int) error {
	if t.Name == "" {
		return merry.Prependf(ErrInvalid, "tenant %d has no name", index)
	}

	if t.Weight < 0 || math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) {
		return merry.Prependf(ErrInvalid, "tenant %q: weight %v: want a finite number of 0 or more", t.Name, t.Weight)
	}

	for _, amount := range []int64{t.MaxRunning.MilliCores, t.MaxRunning.MemoryMiB, t.MaxRunning.Accelerators} {
		if amount < 0 {
			return merry.Prependf(ErrInvalid, "tenant %q: limit %d: want 0 or more", t.Name, amount)
		}
	}

	return nil
}
