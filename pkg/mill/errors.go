package mill

import "github.com/ansel1/merry/v2"

// The sentinel errors of the package, to be tested with errors.Is.
var (
	// ErrNotPrimary is returned by a replica that may not accept the write.
	ErrNotPrimary = merry.Sentinel("not the primary")
	// ErrStaleEpoch is returned when a message carries an epoch that has been replaced.
	ErrStaleEpoch = merry.Sentinel("stale epoch")
	// ErrUnavailable is returned when no peer could serve the call in time.
	ErrUnavailable = merry.Sentinel("unavailable")
	// ErrUnreachable is returned when no connection to a peer could be made, so that it received nothing.
	ErrUnreachable = merry.Sentinel("unreachable")
	// ErrFull is returned when a bounded ring is full.
	ErrFull = merry.Sentinel("ring is full")
	// ErrConflict is returned when another change won the same version.
	ErrConflict = merry.Sentinel("version conflict")
	// ErrInvalid is returned for input that fails validation.
	ErrInvalid = merry.Sentinel("invalid")
	// ErrNotFound is returned for an unknown name or id.
	ErrNotFound = merry.Sentinel("not found")
	// ErrNoQueue is returned when no queue matches a request.
	ErrNoQueue = merry.Sentinel("no such queue")
	// ErrUnauthenticated is returned for a call without the key of a tenant.
	ErrUnauthenticated = merry.Sentinel("no tenant has this key")
	// ErrForbidden is returned for a call with the key of a tenant that may not make it.
	ErrForbidden = merry.Sentinel("the job belongs to another tenant")
	// ErrCorrupt is returned when stored records fail their checksum before the tail.
	ErrCorrupt = merry.Sentinel("corrupt log")
	// ErrLocked is returned when another process holds the data folder.
	ErrLocked = merry.Sentinel("data folder is in use")
	// ErrNoUpstream is returned when no upstream of a service can take a request.
	ErrNoUpstream = merry.Sentinel("no upstream can take the request")
)
