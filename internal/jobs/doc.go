// Package jobs implements the replicated state machine of setups, jobs, tasks, runs, their results and
// maintenance waves. It is deterministic: the same commands in the same order give the same state
// on every replica, and it uses neither clocks nor random numbers.
package jobs
