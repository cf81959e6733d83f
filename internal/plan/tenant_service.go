package plan

import "github.com/cranberrymill/cranberrymill/pkg/mill"

// coresPerAccelerator is how many cores an accelerator counts as in what a tenant uses: the workers with accelerators have
// eight cores beside each.
const coresPerAccelerator = 8

// TenantLoad returns what a tenant's runs use as one amount, in thousandths of a core.
func TenantLoad(running mill.Resources) float64 {
	return float64(running.MilliCores + 1000*coresPerAccelerator*running.Accelerators)
}

// ServiceLevel says how much a tenant uses for its weight, compared with all tenants that use something. Where capacity is
// short, a lower level comes first among steps of one class and priority.
type ServiceLevel int

// The levels. There are few, so that slack decides among tenants that are about equally served. Tenants with few wide jobs
// are at half and at one and a half times the mean by chance: a level for each of these made more jobs late than it saved.
const (
	// LevelEven is that of most tenants, and of jobs without a tenant.
	LevelEven ServiceLevel = iota
	// LevelAhead tenants use over twice the mean for their weight.
	LevelAhead
	// LevelFarAhead tenants use over four times the mean, or have no weight while others have one.
	LevelFarAhead
)

// The multiples of the mean from which on the levels begin.
const (
	aheadFrom    = 2
	farAheadFrom = 4
)

// TenantShares sums up what the tenants of a setup use and their weights; its zero value is ready for use.
//
// It addresses tenants that compete for full pools: a tenant that has more running than its weight makes room, with what
// it starts next, for those that have less.
type TenantShares struct {
	load   float64
	weight float64
}

// Add adds a tenant that uses something.
func (s *TenantShares) Add(load, weight float64) {
	if weight > 0 {
		s.load += load
		s.weight += weight
	}
}

// Level returns the level of a tenant. All are even where no tenant that uses something has a weight.
func (s *TenantShares) Level(load, weight float64) ServiceLevel {
	if s.load == 0 {
		return LevelEven
	}

	if weight <= 0 {
		return LevelFarAhead
	}

	switch multiple := load / weight / (s.load / s.weight); {
	case multiple < aheadFrom:
		return LevelEven
	case multiple < farAheadFrom:
		return LevelAhead
	default:
		return LevelFarAhead
	}
}
