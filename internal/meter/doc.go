// Package meter keeps the metrics of a process with tally and writes them in
// the text format that Prometheus reads.
package meter
