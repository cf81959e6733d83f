// Package sched implements the scheduler of a data centre, which places tasks on workers. Several
// processes may run it; the one that holds the lease in the data centre's ledger is active. Every
// write to the ledger carries the term of the lease, and the ledger rejects writes of older terms.
package sched
