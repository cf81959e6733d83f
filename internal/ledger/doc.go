// Package ledger replicates the frequent state of one data centre: request
// intents and recorded answers, jobs and task assignments.
//
// A primary and its backups form an epoch that the control log fixes. A write
// commits when every replica of the epoch has it, so any of them holds all
// that was committed and may lead the next epoch (PacificA, Lin et al. 2008;
// Vertical Paxos, Lamport et al. 2009). A replica that has joined a newer
// ballot refuses an older one, so an isolated old primary cannot commit.
package ledger
