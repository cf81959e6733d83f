// Package plan implements the scheduler's decisions as pure functions: the order of pending
// steps, headroom for urgent ones, placement, preemption, the quarantine of failing workers, run time
// estimates, the pace of best-effort tasks, report intervals, machine drains and the handling of a
// leader outage. The current time and all state are passed in as arguments. Each decision documents
// the workload that it is meant for.
package plan
