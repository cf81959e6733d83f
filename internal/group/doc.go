// Package group hosts a replicated state machine on a consensus group: it drives
// this process's server, forwards its messages and ends proposals.
package group
