// Package ledger replicates the frequently changing state of one data
// centre: request intents and recorded answers, jobs and task assignments.
//
// The control log defines the epochs of a ledger: its primary and its backups.
// A write commits when every replica of the epoch has stored it, so each of
// them holds all committed writes and may be the primary of the next epoch
// (PacificA, Lin et al. 2008; Vertical Paxos, Lamport et al. 2009). A replica
// that has joined a newer ballot rejects older ones, so an isolated old primary
// cannot commit.
package ledger
