// Package group hosts a replicated state machine on a consensus group: it drives this
// process's server, sends its messages and completes proposals.
package group
