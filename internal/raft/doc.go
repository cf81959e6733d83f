// Package raft implements the consensus protocol that replicates the control
// log: Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, snapshots
// and single-server membership changes (Ongaro 2014, chapters 4, 6 and 9).
//
// A server is identified by the identity stored in its data folder, not by its
// address, so a server that lost its data folder must join as a new one.
package raft
