package mill

// Outcome is what is known about the execution of a request.
type Outcome string

// The outcomes that an answer carries in HeaderOutcome.
const (
	// OutcomeRan means that an upstream executed the request and answered.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no upstream has executed the request or will do so.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// The HTTP headers that callers and upstreams exchange with an entry.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Mill-Deadline"
	HeaderRequestID      = "Mill-Request-Id"
	HeaderOutcome        = "Mill-Outcome"
	HeaderTeam           = "Mill-Team"
)
