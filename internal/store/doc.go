// Package store is the role that keeps the system's own state: a voter of the
// control log and a copy of its data centre's ledger.
package store
