// Package core implements the process that runs on a VM with a disk: it keeps the replicated log
// of setups and jobs, serves fronts, operators and workers, and schedules while it is the leader.
package core
