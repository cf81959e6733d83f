package plan

import "time"

// maxFailoverTime is the longest time that a change of leader takes when there is no other
// fault: an election of up to a second, a lost vote, and the discovery of the new leader.
const maxFailoverTime = 2 * time.Second

// outageRetryDelay is how long a caller that was refused in an outage should wait: until about the
// end of the next election.
const outageRetryDelay = time.Second

// CallKind tells calls to the leader apart by what is lost when one of them is given up.
type CallKind uint8

// The kinds of calls.
const (
	// CallChange is a change that takes effect once, such as a submission. Its caller must learn whether that is certain.
	CallChange CallKind = iota
	// CallRead changes nothing, so that its caller can repeat it at any time.
	CallRead
	// CallCancel is a cancellation. The canceled tasks go on running until a leader has got it.
	CallCancel
)

// ShouldRetry reports whether a call that no leader has answered yet should be tried again before its deadline, given the
// length of the outage so far and whether an earlier attempt may have reached a leader. It limits the effect of losing a
// quorum: calls in the first seconds wait for the next leader, and later ones are refused at once, because the outage may
// last for any time. A change that may have been received is not refused, because that would have to be certain.
func (k CallKind) ShouldRetry(outage time.Duration, mayHaveArrived bool) bool {
	switch k {
	case CallCancel:
		return true
	case CallRead:
		return outage < maxFailoverTime
	default:
		return mayHaveArrived || outage < maxFailoverTime
	}
}

// RetryAfterOutage returns how long a caller that was refused should wait before it retries.
func RetryAfterOutage() time.Duration {
	return outageRetryDelay
}
