package mill

// Storage keeps the snapshot and the records of one replicated log.
type Storage interface {
	// Load returns the snapshot, nil if there is none, and the records after it.
	Load() (snapshot []byte, records [][]byte, err error)
	// Append adds records and returns once they are as durable as they will be.
	Append(records ...[]byte) error
	// Compact replaces all content by a snapshot and the records after it.
	Compact(snapshot []byte, records ...[]byte) error
	// Durable reports whether content outlives the process.
	Durable() bool
	// Identity returns the id of this copy, new whenever the content was lost.
	Identity() string
	// Close releases the storage.
	Close() error
}
