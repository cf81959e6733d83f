// Package sched is the role that places the tasks of a data centre on its
// workers. One process is active by a lease recorded in the data centre's
// ledger; every write carries the term of that lease and the ledger refuses an
// older one.
package sched
