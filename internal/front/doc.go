// Package front implements the process that serves callers. It keeps no state but what it
// learns from the core, and forwards calls about jobs to the leader.
package front
