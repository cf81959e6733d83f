// Package ctrl implements the control log, which is replicated across regions. It holds the
// configuration with the active preset, the epoch of every ledger, and the audit trail of all changes
// to them.
//
// Frequent writes go to the ledgers instead, so that no request waits for a distant region.
package ctrl
