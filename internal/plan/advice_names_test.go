package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAdviceNames(t *testing.T) {
	assert.Equal(t, AdviceNames(KnownWanted(1), 0.3), MinAdviceNames)
	assert.Equal(t, AdviceNames(KnownWanted(8), 0.3), 80)
	assert.Equal(t, AdviceNames(KnownWanted(40), 0.3), MaxAdviceNames)
	assert.Equal(t, AdviceNames(KnownWanted(8), 0), MaxAdviceNames)
}

func TestAllowedShares(t *testing.T) {
	var shares AllowedShares

	assert.Equal(t, shares.Share("q"), initialAllowedShare)
	shares.Record("q", 0, 0)
	assert.Equal(t, shares.Share("q"), initialAllowedShare)
	shares.Record("q", 30, 9)
	assert.Equal(t, shares.Share("q"), 0.3)

	for range 100 {
		shares.Record("q", 10, 1)
	}

	assert.Assert(t, shares.Share("q") < 0.11 && shares.Share("q") > 0.09, "%f", shares.Share("q"))
}

// gangWait returns how long a gang of whole workers waits in a pool in which a share of the workers is free at any
// moment, if its requests name that many workers until enough are known to be allowed.
func gangWait(random *rand.Rand, names, wanted int) time.Duration {
	const (
		workers, gang            = 308, 8
		freeShare, allowedShare  = 0.35, 0.3
		decide, perWorker, until = 490 * time.Millisecond, 7 * time.Millisecond, time.Minute
		slot                     = 500 * time.Millisecond
	)

	var known, asked int

	for waited := time.Duration(0); waited < until; {
		if known < wanted && asked < workers {
			count := min(names, workers-asked)
			asked += count
			waited += decide + time.Duration(count)*perWorker

			for range count {
				if random.Float64() < allowedShare {
					known++
				}
			}
		} else {
			waited += slot
		}

		free := 0

		for range known {
			if random.Float64() < freeShare {
				free++
			}
		}

		if free >= gang {
			return waited
		}
	}

	return until
}

// TestWideRequestsShortenTheWaitOfGangs plays gangs of eight whole workers in a pool that is two thirds full. It compares
// requests for thirty workers, made once, with wider ones that are repeated until enough allowed workers are known.
func TestWideRequestsShortenTheWaitOfGangs(t *testing.T) {
	const gangs = 400

	random := rand.New(rand.NewPCG(20261204, 1))
	narrow, wide := time.Duration(0), time.Duration(0)

	for range gangs {
		narrow += gangWait(random, MinAdviceNames, 1)
		wide += gangWait(random, AdviceNames(KnownWanted(8), 0.3), KnownWanted(8))
	}

	assert.Assert(t, wide < narrow/2, "mean wait %s, with narrow requests %s", wide/gangs, narrow/gangs)
}
