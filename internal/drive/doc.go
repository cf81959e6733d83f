// Package drive runs a replicated state machine: it passes events to it, stores
// its records durably and sends its messages. The state machine itself does no
// I/O and measures time in ticks only, so that tests can run it step by step.
package drive
