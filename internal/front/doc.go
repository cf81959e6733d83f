// Package front is the process that faces callers: it keeps only what it has heard
// from the core, and passes calls about jobs on to the leader.
package front
