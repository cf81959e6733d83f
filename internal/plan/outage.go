package plan

import "time"

// maxFailoverTime is the longest time that a change of leader takes when there is no other
// fault: an election of up to a second, a lost vote, and the discovery of the new leader.
const maxFailoverTime = 2 * time.Second

// outageRetryDelay is how long a caller that was refused in an outage should wait: until about the
// end of the next election.
const outageRetryDelay = time.Second

// ShouldWaitForLeader reports whether a call that no leader has received yet should wait for one,
// given the length of the outage so far. It limits the effect of losing a quorum: calls in the first
// seconds wait for the next leader, and later ones are refused at once, because the outage may last
// for any time.
func ShouldWaitForLeader(outage time.Duration) bool {
	return outage < maxFailoverTime
}

// RetryAfterOutage returns how long a caller that was refused should wait before it retries.
func RetryAfterOutage() time.Duration {
	return outageRetryDelay
}
