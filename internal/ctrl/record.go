package ctrl

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// AuditRecord is one record of the audit trail. Chain is a hash over the record and the Chain of the
// record before it.
type AuditRecord struct {
	Number    uint64 `json:"number"`
	UnixMilli int64  `json:"unixMilli"`
	Kind      string `json:"kind"`
	ID        string `json:"id"`
	Who       string `json:"who"`
	Why       string `json:"why"`
	From      uint64 `json:"from"`
	To        uint64 `json:"to"`
	Subject   string `json:"subject"`
	Digest    string `json:"digest"`
	Chain     string `json:"chain"`
}

// Kinds of audit records.
const (
	AuditApply  = "apply"
	AuditPreset = "preset"
	AuditEpoch  = "epoch"
)

// ChainHash returns the chain hash of the record if it follows a record with the chain hash prev.
func (r AuditRecord) ChainHash(prev string) string {
	r.Chain = prev

	return digest(&r)
}

// VerifyAudit returns the number of the first record whose chain hash does not match the record and
// its predecessor, or 0 if all match. The chain hash before the first record is prev.
func VerifyAudit(prev string, records []AuditRecord) uint64 {
	for i := range records {
		if records[i].ChainHash(prev) != records[i].Chain {
			return records[i].Number
		}

		prev = records[i].Chain
	}

	return 0
}

func digest(value any) string {
	data, err := wire.Encode(value)
	if err != nil {
		return ""
	}

	sum := sha256.Sum256(data)

	return hex.EncodeToString(sum[:])
}
