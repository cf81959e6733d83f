// Package intake bounds what the clients of a process's HTTP servers may take of its memory and its descriptors: the
// connections, the bodies being received, and the answers that are not read.
package intake
