package oracle

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TenantLimits holds the limits of tenants over time; its zero value is ready for use. While several setups may be in force,
// the highest limit counts.
type TenantLimits struct {
	setups []dated
}

// dated is a setup with the time at which it was replaced; zero for the latest.
type dated struct {
	setup      *mill.Setup
	replacedAt time.Time
}

// Configure records that a setup replaces the earlier one.
func (l *TenantLimits) Configure(setup *mill.Setup, now time.Time) {
	if latest := len(l.setups) - 1; latest >= 0 {
		l.setups[latest].replacedAt = now
	}

	l.setups = append(l.setups, dated{setup: setup})
}

// Allow reports whether a tenant may have so much running by some setup that was in force at a time or after it.
func (l *TenantLimits) Allow(tenant string, running mill.Resources, since time.Time) bool {
	return slices.ContainsFunc(l.setups, func(d dated) bool {
		return (d.replacedAt.IsZero() || !d.replacedAt.Before(since)) && within(running, limit(d.setup, tenant))
	})
}

// limit returns a tenant's limit, in which 0 means none. A tenant that the setup does not name has none.
func limit(setup *mill.Setup, tenant string) mill.Resources {
	for i := range setup.Tenants {
		if setup.Tenants[i].Name == tenant {
			return setup.Tenants[i].MaxRunning
		}
	}

	return mill.Resources{}
}

func within(amount, limit mill.Resources) bool {
	return (limit.MilliCores == 0 || amount.MilliCores <= limit.MilliCores) &&
		(limit.MemoryMiB == 0 || amount.MemoryMiB <= limit.MemoryMiB) &&
		(limit.Accelerators == 0 || amount.Accelerators <= limit.Accelerators)
}
