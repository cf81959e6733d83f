// Package stand has stand-ins for what is outside the system: upstreams,
// workers and callers, each with a record of its own of what happened, and the
// comparison of those records.
package stand
