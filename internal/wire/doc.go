// Package wire carries typed messages between the system's own processes, using
// drpc for calls and CBOR for their content.
//
// Message fields must be exported for the codec.
package wire
