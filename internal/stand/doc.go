// Package stand simulates the system's environment: upstreams, workers and
// callers. Each writes its own records of what happened, and the package
// compares these records.
package stand
