// Package entry implements the process that callers, upstreams, workers and operators talk to.
// It routes, limits and retries requests. It keeps no durable state: that is in the ledgers and
// in the control log.
package entry
