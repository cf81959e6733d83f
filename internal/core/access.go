package core

import (
	"github.com/ansel1/merry/v2"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// access is what a call on a queue may do with jobs.
type access struct {
	index *mill.SetupIndex
	queue *mill.Queue
	// tenant is the name of the tenant that holds the call's key; "" for a call on a public queue without one.
	tenant string
	// weight is the tenant's share in jobs per second.
	weight float64
	// unrestricted means that the setup has no tenants.
	unrestricted bool
}

// authenticate returns what a call on a queue may do, or ErrUnauthenticated if it needs the key of a tenant.
func authenticate(index *mill.SetupIndex, queue *mill.Queue, key mill.APIKey) (access, error) {
	if !index.HasTenants() {
		return access{index: index, queue: queue, unrestricted: true}, nil
	}

	tenant, ok := index.TenantOf(key)

	switch {
	case ok:
		return access{index: index, queue: queue, tenant: tenant.Name, weight: tenant.Weight}, nil
	case queue.Public:
		return access{index: index, queue: queue}, nil
	default:
		return access{}, merry.Prependf(mill.ErrUnauthenticated, "queue %q", queue.Name, merry.NoCaptureStack())
	}
}

// checkJob returns ErrForbidden unless the call may read and cancel a job. Job ids do not depend on the queue, so a call
// without a key must be kept from naming a job of another queue by the path of a public one.
func (a *access) checkJob(job *jobs.Job) error {
	switch {
	case a.unrestricted:
		return nil
	case a.tenant != "" && (job.Tenant == "" || job.Tenant == a.tenant):
		return nil
	case a.tenant == "" && job.CurrentQueue(a.index) == a.queue:
		return nil
	default:
		return merry.Prepend(mill.ErrForbidden, job.ID, merry.NoCaptureStack())
	}
}
