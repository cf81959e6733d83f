package ctrl

// The RPC methods of the control log.
const (
	MethodDeliver = "ctrl.Deliver"
	MethodPropose = "ctrl.Propose"
	MethodWatch   = "ctrl.Watch"
	MethodAudit   = "ctrl.Audit"
	MethodStatus  = "ctrl.Status"
)

// ProposeRequest asks a server to commit a command.
type ProposeRequest struct {
	Command Command
	// Forwarded is set by a server that forwards the request to the leader.
	Forwarded bool
}

// WatchRequest asks for the view once its revision is above Revision. If that does not happen within
// WaitMilli, the reply has no view.
type WatchRequest struct {
	Revision  uint64
	WaitMilli int64
}

// WatchReply holds the view, or none if its revision is still that of the request.
type WatchReply struct {
	Revision uint64
	// Leaderless is set by a server that knows no leader, so that its view may be outdated.
	Leaderless bool
	View       *View
}

// AuditRequest asks for up to Limit records with numbers above After.
type AuditRequest struct {
	After uint64
	Limit int
}

// AuditReply holds records of the audit trail.
type AuditReply struct {
	Records []AuditRecord
}

// StatusRequest asks for a server's status.
type StatusRequest struct{}

// StatusReply is the status of the control log as one server knows it.
type StatusReply struct {
	VM       string
	Leader   string
	Term     uint64
	Commit   uint64
	Revision uint64
	Voters   []string
	// Voting is set if this server itself is a voter. Voters may list its VM although only a server with an
	// earlier identity, whose storage was lost, is a voter.
	Voting bool
	// Current is set if this server leads and knows all changes that earlier leaders have committed.
	Current bool
}
