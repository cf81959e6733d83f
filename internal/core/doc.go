// Package core is the process on a VM with a disk: it keeps the replicated log of
// setups and jobs, answers entries, operators and workers, and schedules while it leads.
package core
