package ctrl

// The methods of the control log.
const (
	MethodDeliver = "ctrl.Deliver"
	MethodPropose = "ctrl.Propose"
	MethodWatch   = "ctrl.Watch"
	MethodAudit   = "ctrl.Audit"
	MethodStatus  = "ctrl.Status"
)

// ProposeRequest asks for a command to be committed.
type ProposeRequest struct {
	Command Command
	// Forwarded is set by a server that passes the request on to the leader.
	Forwarded bool
}

// WatchRequest asks for the view as soon as its revision is above Revision, or
// after the wait for what it is then.
type WatchRequest struct {
	Revision  uint64
	WaitMilli int64
}

// WatchReply holds the view, or none when the revision is still the caller's.
type WatchReply struct {
	Revision uint64
	// Leaderless is set by a server that follows no leader, so that its view may be old.
	Leaderless bool
	View       *View
}

// AuditRequest asks for up to Limit records after a number.
type AuditRequest struct {
	After uint64
	Limit int
}

// AuditReply holds records of the audit trail.
type AuditReply struct {
	Records []AuditRecord
}

// StatusRequest asks how the control log is.
type StatusRequest struct{}

// StatusReply tells how the control log is, as far as one server knows.
type StatusReply struct {
	VM       string
	Leader   string
	Term     uint64
	Commit   uint64
	Revision uint64
	Voters   []string
	// Voting is set when the server itself, and not another one of its VM, is a voter.
	Voting bool
}
