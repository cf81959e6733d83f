// Package ctrl is the control log: the configuration with the preset in force,
// the epoch of every ledger, and the audit trail of all changes to them.
//
// The frequent writes go to the ledgers, so that no request waits for a region
// that is far away.
package ctrl
