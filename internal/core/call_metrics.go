package core

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cranberrymill/cranberrymill/internal/logs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// maxNamedTenants bounds the tenants whose submissions are counted by name, since each adds time series.
	maxNamedTenants = 64
	// maxCountedTenants bounds the tenants whose refusals are counted for the gauges: far more than a setup has.
	maxCountedTenants = 4096
	// otherTenants is the name under which all further tenants are counted.
	otherTenants = "other"
	// denialLogInterval bounds the lines about calls without the right key: callers can repeat them at will.
	denialLogInterval = 10 * time.Second
)

// SubmissionCounts counts a tenant's submissions at this process since it started.
type SubmissionCounts struct {
	Accepted int64 `json:"accepted"`
	Refused  int64 `json:"refused"`
}

// tenantCounts are the counts of a tenant with their metrics.
type tenantCounts struct {
	SubmissionCounts

	accepted tally.Counter
	refused  tally.Counter
}

// callMetrics counts the calls that the leader has decided by their tenants and keys.
type callMetrics struct {
	scope  tally.Scope
	denied map[string]tally.Counter
	line   logs.Limiter

	mu      sync.Mutex
	tenants map[string]*tenantCounts
	// refused counts the refused submissions of each tenant, also of those that have no counter of their own.
	refused map[string]int64
}

// The reasons of denied calls.
const (
	reasonUnauthenticated = "unauthenticated"
	reasonForbidden       = "forbidden"
)

func newCallMetrics(scope tally.Scope) *callMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}

	m := &callMetrics{
		scope: scope, denied: make(map[string]tally.Counter), tenants: make(map[string]*tenantCounts),
		refused: make(map[string]int64),
	}
	for _, reason := range []string{reasonUnauthenticated, reasonForbidden} {
		m.denied[reason] = scope.Tagged(map[string]string{"reason": reason}).Counter("calls_denied")
	}

	return m
}

// withDenials returns a handler that counts and logs the calls which another one denies for their keys. Neither the
// error nor the line holds the key.
func withDenials[Request, Reply any](
	m *callMetrics, call string, handle func(ctx context.Context, request *Request) (*Reply, error),
) func(ctx context.Context, request *Request) (*Reply, error) {
	return func(ctx context.Context, request *Request) (*Reply, error) {
		reply, err := handle(ctx, request)
		if err != nil {
			m.recordDenial(call, err)
		}

		return reply, err
	}
}

func (m *callMetrics) recordDenial(call string, err error) {
	var reason string

	switch {
	case errors.Is(err, mill.ErrUnauthenticated):
		reason = reasonUnauthenticated
	case errors.Is(err, mill.ErrForbidden):
		reason = reasonForbidden
	default:
		return
	}

	m.denied[reason].Inc(1)

	if skipped, ok := m.line.Allow(time.Now(), denialLogInterval); ok {
		log.Warn().Str("call", call).Str("reason", reason).Err(err).Int("skipped", skipped).Msg("call denied")
	}
}

// recordSubmission counts a new job of a tenant, or one that was refused.
func (m *callMetrics) recordSubmission(tenant string, accepted bool) {
	if tenant == "" {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	counts := m.countsOf(tenant)

	if accepted {
		counts.Accepted++
		counts.accepted.Inc(1)
	} else {
		counts.Refused++
		counts.refused.Inc(1)
		m.countRefusal(tenant)
	}
}

func (m *callMetrics) countRefusal(tenant string) {
	if _, ok := m.refused[tenant]; ok || len(m.refused) < maxCountedTenants {
		m.refused[tenant]++
	}
}

// refusals returns the number of a tenant's refused submissions.
func (m *callMetrics) refusals(tenant string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.refused[tenant]
}

// countsOf returns the counts of a tenant, or those of all others once there are too many.
func (m *callMetrics) countsOf(tenant string) *tenantCounts {
	if _, ok := m.tenants[tenant]; !ok && len(m.tenants) >= maxNamedTenants {
		tenant = otherTenants
	}

	counts, ok := m.tenants[tenant]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"tenant": tenant})
		counts = &tenantCounts{
			accepted: scope.Tagged(map[string]string{"verdict": "accepted"}).Counter("tenant_submissions"),
			refused:  scope.Tagged(map[string]string{"verdict": "refused"}).Counter("tenant_submissions"),
		}
		m.tenants[tenant] = counts
	}

	return counts
}

// submissions returns the counts of a tenant, which are 0 if it is counted with the others.
func (m *callMetrics) submissions(tenant string) SubmissionCounts {
	m.mu.Lock()
	defer m.mu.Unlock()

	if counts, ok := m.tenants[tenant]; ok {
		return counts.SubmissionCounts
	}

	return SubmissionCounts{}
}
