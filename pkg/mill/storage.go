package mill

// Storage stores the snapshot and the records of one replicated log.
type Storage interface {
	// Load returns the snapshot, nil if there is none, and the records after it.
	Load() (snapshot []byte, records [][]byte, err error)
	// Append adds records and returns once they are as durable as this storage makes them.
	Append(records ...[]byte) error
	// Compact replaces all content by a snapshot and the records after it.
	Compact(snapshot []byte, records ...[]byte) error
	// Durable reports whether the content survives the process.
	Durable() bool
	// Identity returns the id of this copy. A copy that lost its content gets a new one.
	Identity() string
	// Close releases the storage.
	Close() error
}
