package plan

import "math"

const (
	// MinAdviceNames is the least number of workers that a request names if there are as many: the objective of a
	// job allows for the time of such a request.
	MinAdviceNames = 30
	// MaxAdviceNames is the most workers that the advisor takes in one request.
	MaxAdviceNames = 100
	// knownPerNeeded is how many workers should be known to be allowed for each one that a gang needs at once.
	knownPerNeeded = 3
	// initialAllowedShare is assumed of a queue before its first answer.
	initialAllowedShare = 0.5
	// allowedShareWeight is the weight of the latest answer in the share.
	allowedShareWeight = 0.1
	// minAllowedShare bounds the requests for a queue that hardly any worker may run.
	minAllowedShare = 0.05
)

// KnownWanted returns how many workers should be known to be allowed for a gang that needs that many at once. It
// answers the load of gangs of whole workers in a pool that is nearly full: only few workers are free at any
// moment, so a gang that knows just enough allowed ones waits for those, while others are free.
func KnownWanted(needed int) int {
	return knownPerNeeded * needed
}

// AdviceNames returns how many workers a request names in order to find the wanted number of allowed ones.
func AdviceNames(wanted int, allowedShare float64) int {
	names := int(math.Ceil(float64(wanted) / max(minAllowedShare, allowedShare)))

	return min(max(names, MinAdviceNames), MaxAdviceNames)
}

// AllowedShares holds the share of workers that the advisor allows, for each queue, as an exponential moving average;
// its zero value is ready for use.
type AllowedShares struct {
	byQueue map[string]float64
}

// Record records an answer about workers that were not asked about before.
func (a *AllowedShares) Record(queue string, asked, allowed int) {
	if asked == 0 {
		return
	}

	if a.byQueue == nil {
		a.byQueue = make(map[string]float64)
	}

	share := float64(allowed) / float64(asked)
	if known, ok := a.byQueue[queue]; ok {
		share = known + allowedShareWeight*(share-known)
	}

	a.byQueue[queue] = share
}

// Restore sets the share of workers that the advisor allows for a queue.
func (a *AllowedShares) Restore(queue string, share float64) {
	if a.byQueue == nil {
		a.byQueue = make(map[string]float64)
	}

	a.byQueue[queue] = share
}

// Share returns the share of workers that the advisor allows for a queue.
func (a *AllowedShares) Share(queue string) float64 {
	if share, ok := a.byQueue[queue]; ok {
		return share
	}

	return initialAllowedShare
}
