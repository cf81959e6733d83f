// Package meter collects the metrics of a process with tally and exposes them
// in the Prometheus text format.
package meter
