package mill

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Queue is the configuration of a queue, to which callers submit jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request; the longest prefix wins.
	Host   string
	Prefix string
	// Service names the pool of workers that runs the queue's tasks.
	Service string
	// Priority orders queues; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which its job fails.
	MaxAttempts int
	// Stretch and Objective set a job's target completion time: Stretch times the duration of the
	// job's critical path, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Timeout limits the duration of one call by a caller.
	Timeout time.Duration
	// Advice is nil for a queue whose tasks may run on any worker of the service.
	Advice *AdvicePolicy
	// Public queues take calls without a tenant's key.
	Public bool `cbor:",omitempty"`
}

// RouteKey selects a queue: no two queues of a setup share one, while names need not be unique.
type RouteKey struct {
	Host   string
	Prefix string
}

// Key returns what selects the queue.
func (q *Queue) Key() RouteKey {
	return RouteKey{Host: q.Host, Prefix: q.Prefix}
}

// AdvicePolicy is the time that a request for advice takes, as a base and an amount per worker, and
// how long the advice is valid.
type AdvicePolicy struct {
	Decide    time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Cost returns how long the advisor takes for a request about n workers.
func (p *AdvicePolicy) Cost(n int) time.Duration {
	return p.Decide + time.Duration(n)*p.PerWorker
}

// Service is a pool of workers.
type Service struct {
	Name string
	// EnforcesCapacity means that the workers refuse tasks that exceed their free capacity.
	EnforcesCapacity bool `cbor:"Guards"`
	// Spare means that the machines of the pool are switched off.
	Spare bool
	// MaxConnections limits the open connections to one worker.
	MaxConnections int
}

// CallLimits limits what a caller may send.
type CallLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Setup is one version of the queues and services, as an operator sent it.
type Setup struct {
	// Version orders setups; the highest is in force.
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   CallLimits
	// Tenants is empty where callers need no keys.
	Tenants []Tenant `cbor:",omitempty"`
	// Document is the setup as the operator sent it, unparsed.
	Document []byte
}

// Validate returns ErrInvalid naming the first error found.
func (s *Setup) Validate() error {
	routes := make(map[RouteKey]string, len(s.Queues))
	services := make(map[string]bool, len(s.Services))

	for i := range s.Services {
		services[s.Services[i].Name] = true
	}

	for i := range s.Queues {
		q := &s.Queues[i]

		if !services[q.Service] {
			return merry.Prependf(ErrInvalid, "queue %q: service %q is not declared", q.Name, q.Service)
		}

		if q.Timeout <= 0 {
			return merry.Prependf(ErrInvalid, "queue %q: timeout %s: want more than 0", q.Name, q.Timeout)
		}

		if other, ok := routes[q.Key()]; ok {
			return merry.Prependf(ErrInvalid, "queues %q and %q share host %q and prefix %q", other, q.Name, q.Host, q.Prefix)
		}

		routes[q.Key()] = q.Name
	}

	return s.validateTenants()
}

// validateTenants does not look at empty keys, which no call can carry.
func (s *Setup) validateTenants() error {
	holders := make(map[KeyDigest]string)

	for i := range s.Tenants {
		tenant := &s.Tenants[i]
		if err := tenant.validate(i); err != nil {
			return err
		}

		for _, key := range tenant.Keys {
			if key == "" {
				continue
			}

			other, ok := holders[key.Digest()]
			if ok && other != tenant.Name {
				return merry.Prependf(ErrInvalid, "tenants %q and %q share an API key", other, tenant.Name)
			}

			holders[key.Digest()] = tenant.Name
		}
	}

	return nil
}
