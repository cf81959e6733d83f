// Package mill is the core of cranberrymill: the types that all roles share,
// the interfaces for interchangeable behavior, and the registries in which
// implementations register themselves by name.
//
// There are two job models. Entries, ledgers and the scheduler of package sched use JobSpec, Job, Task and
// Heartbeat, with Declarations as their configuration. The core, its fronts and the scheduler of package
// lead use Workload, Step, TaskID and WorkerReport, with Setup as their configuration; the state of their
// jobs is in package jobs.
package mill
