package plan

import (
	"hash/fnv"
	"math"
	"time"
)

// lastingSaturation is for how long a service must have been full before work beyond a share is refused: a shorter burst is
// worked off while late jobs still have value.
const lastingSaturation = 5 * time.Second

// AdmitBeyondShare reports whether a submission is accepted that is beyond its tenant's share, given for how long its
// service has been saturated and the time until the tenant's share has room for a job; if not, it returns after which time
// the caller should try again.
//
// It addresses tenants that submit several times their share while a service is full for long: what is accepted then ends
// too late to be of use, and each plan has to go through it. Work within the share is not refused, nor is any while there is
// room. The returns are spread over the time in which the share refills, by a hash of the job: if all came back when there
// is room for one, the others would be refused again.
func AdmitBeyondShare(job string, saturatedFor, wait time.Duration) (admit bool, retryAfter time.Duration) {
	if saturatedFor < lastingSaturation {
		return true, 0
	}

	hash := fnv.New32a()
	_, _ = hash.Write([]byte(job)) // A hash accepts all that is written to it.

	spread := float64(max(shareWindow, wait)) * float64(hash.Sum32()) / math.MaxUint32

	return false, wait + time.Duration(spread)
}
