package plan

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// shareWindow is for how long a tenant's unused share is saved up: one that submits its jobs once a second, some late, is
// within its share, and what is saved up is too little to crowd out others.
const shareWindow = 2 * time.Second

// ShareAllowance is what a tenant may submit beyond its weight before that counts as beyond its share. The zero value allows
// shareWindow of unused share.
type ShareAllowance struct {
	// Window is for how long unused share is saved up.
	Window time.Duration
	// Overage is by which share of itself the weight may be exceeded, and Slack a number of jobs that is always allowed.
	Overage float64
	Slack   float64
}

// rate returns how many jobs a second a weight allows.
func (a *ShareAllowance) rate(weight float64) float64 {
	return weight * (1 + max(0, a.Overage))
}

// burst returns how many jobs may be saved up.
func (a *ShareAllowance) burst(weight float64) float64 {
	window := a.Window
	if window <= 0 {
		window = shareWindow
	}

	return max(1, a.rate(weight)*window.Seconds()+max(0, a.Slack))
}

// ShareMeter decides which submissions are beyond the shares of their tenants: more than a tenant's weight in jobs per
// second, beyond the allowance. A tenant without a weight has no share if any tenant of the
// setup has a weight, and all of its work is within its share if none has. The zero value is ready for use.
//
// It addresses a tenant that submits several times its usual rate for some seconds.
type ShareMeter struct {
	allowance ShareAllowance
	setup     *mill.Setup
	// weighted says that a tenant of the setup has a weight.
	weighted bool
	buckets  map[string]*bucket
}

// bucket holds the jobs that a tenant may still submit within its share, as of a time.
type bucket struct {
	tokens float64
	at     time.Time
}

// NewShareMeter returns a meter with an allowance.
func NewShareMeter(allowance ShareAllowance) ShareMeter {
	return ShareMeter{allowance: allowance}
}

// Configure applies a setup, and drops what is known of tenants that it does not name. It costs nothing for the setup that
// was applied last.
func (m *ShareMeter) Configure(setup *mill.Setup) {
	// A submission that was looked up before a change of the setup may be admitted after it.
	if m.setup == setup || m.setup != nil && setup.Version < m.setup.Version {
		return
	}

	m.setup = setup
	m.weighted = false
	kept := make(map[string]*bucket, len(setup.Tenants))

	for i := range setup.Tenants {
		tenant := &setup.Tenants[i]
		m.weighted = m.weighted || tenant.Weight > 0

		if b, ok := m.buckets[tenant.Name]; ok {
			kept[tenant.Name] = b
		}
	}

	m.buckets = kept
}

// Take counts a submission of a tenant with a weight, and reports whether it is beyond the tenant's share, and then the time
// until the next one is not. A submission beyond the share takes nothing of it.
func (m *ShareMeter) Take(tenant string, weight float64, now time.Time) (beyond bool, wait time.Duration) {
	if weight <= 0 {
		if !m.weighted {
			return false, 0
		}

		return true, shareWindow
	}

	b := m.refilled(tenant, weight, now)
	if b.tokens < 1 {
		return true, time.Duration((1 - b.tokens) / m.allowance.rate(weight) * float64(time.Second))
	}

	b.tokens--

	return false, 0
}

// refilled returns a tenant's bucket with what has been added to it until now.
func (m *ShareMeter) refilled(tenant string, weight float64, now time.Time) *bucket {
	most := m.allowance.burst(weight)

	b, ok := m.buckets[tenant]
	if !ok {
		if m.buckets == nil {
			m.buckets = make(map[string]*bucket)
		}

		b = &bucket{tokens: most, at: now}
		m.buckets[tenant] = b
	}

	if passed := now.Sub(b.at); passed > 0 {
		b.tokens += passed.Seconds() * m.allowance.rate(weight)
		b.at = now
	}

	b.tokens = min(b.tokens, most)

	return b
}
