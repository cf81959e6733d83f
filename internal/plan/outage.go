package plan

import "time"

// failoverTime is how long a change of leaders takes at the most when nothing
// else is wrong: an election of up to a second, a lost vote, and the search for the winner.
const failoverTime = 2 * time.Second

// outageRetry is when a caller that was refused in an outage should ask again: about
// when the next election has ended.
const outageRetry = time.Second

// WaitForLeader reports whether a call that no leader has taken yet should wait
// for one. It answers the loss of most of the core: the calls of the first seconds
// wait for the next leader, and later ones are refused at once, since nobody knows
// how long it will take.
func WaitForLeader(outage time.Duration) bool {
	return outage < failoverTime
}

// RetryAfterOutage returns when a caller that was refused should ask again.
func RetryAfterOutage() time.Duration {
	return outageRetry
}
