// Package drive runs a replicated state machine: it feeds it events, makes its
// records durable and sends its messages. The machine itself does no input or
// output and knows no time but ticks, so that tests can run it step by step.
package drive
