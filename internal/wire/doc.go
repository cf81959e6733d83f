// Package wire carries typed messages between the system's own processes: drpc
// for calls, CBOR for their content.
//
// The fields of messages are exported, since the codec reads them.
package wire
