// Package disk stores the records of a replicated log. File keeps them in an
// append-only file with checksums next to a snapshot; Memory keeps them until
// the process ends.
//
// A crash during a write leaves a torn record at the end of the file, which is
// truncated and logged when the file is opened. Corruption before the end cannot
// come from a crash, so opening fails with the file and offset.
package disk
