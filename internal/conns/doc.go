// Package conns limits the connections that a process opens and accepts, so that it keeps descriptors for both, and for
// its files.
package conns
