// Package disk stores the records of a replicated log: "file" keeps them in an
// append-only file with checksums beside a snapshot, "memory" keeps them for
// the life of the process.
//
// A torn record at the end of the file is what a crash in the middle of a
// write leaves, so it is cut off and reported. Damage before the end cannot
// come from a crash, so Load refuses it by file and offset.
package disk
