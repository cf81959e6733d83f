// Package raft is the consensus behind the control log: Raft (Ongaro and
// Ousterhout 2014) with pre-vote, check-quorum, snapshots and membership
// changes of one server at a time (Ongaro 2014, chapters 4, 6 and 9).
//
// A voter is the identity written in its data folder, never its address, so an
// emptied folder is a new server that must be admitted.
package raft
