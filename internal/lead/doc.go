// Package lead schedules jobs while this process is the leader: it reads the replicated state,
// plans with package plan, has its decisions committed, and only then sends orders to workers.
//
// Scheduler decides. It does no I/O, reads no clock, and lives for one term of leadership. Its
// callers pass in the time, the state and every reply, and carry out the Actions that Next returns.
// Runner is that caller in production; the tests use a simulated cluster.
package lead
