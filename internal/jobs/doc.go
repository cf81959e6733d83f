// Package jobs is the replicated state machine of setups, jobs, tasks, runs and
// their ends. It is pure: the same commands in the same order give the same state
// on every host, and it knows neither time nor chance.
package jobs
