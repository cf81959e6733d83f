package ctrl

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// AuditRecord is one line of the audit trail, chained to the one before it by Chain.
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

// The kinds of audit record.
const (
	AuditApply  = "apply"
	AuditPreset = "preset"
	AuditEpoch  = "epoch"
)

// Link returns the chain value of the record after the record with the chain value prev.
func (r AuditRecord) Link(prev string) string {
	r.Chain = prev

	return digest(&r)
}

// VerifyAudit returns the number of the first record that does not follow from
// the one before it, or 0 when all do.
func VerifyAudit(prev string, records []AuditRecord) uint64 {
	for i := range records {
		if records[i].Link(prev) != records[i].Chain {
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
