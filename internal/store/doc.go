// Package store implements the process that stores the system's state: a replica of its data centre's
// ledger and, on some VMs, a voter of the control log.
package store
