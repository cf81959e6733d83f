// Package entry is the role that faces callers, upstreams, workers and
// operators. It routes, limits and retries, and keeps nothing that matters:
// what must last is in the ledgers and in the control log.
package entry
