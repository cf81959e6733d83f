// Package conns limits the connections that a process opens, so that it keeps descriptors for the connections that it
// accepts, and for its files.
package conns
