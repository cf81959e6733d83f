package mill

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Queue is a named place where callers submit jobs.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request; the longest prefix wins.
	Host   string
	Prefix string
	// Service names the pool of workers that runs the queue's tasks.
	Service string
	// Priority orders queues; 0 comes first.
	Priority int
	// MaxAttempts is how many failed runs of one task fail its job.
	MaxAttempts int
	// Stretch times a job's longest chain of work, plus Objective, is the time in which it should complete.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds one call of a caller.
	Timeout time.Duration
	// Advice is nil for a queue whose tasks may run on any worker of the service.
	Advice *AdvicePolicy
}

// AdvicePolicy says what asking which workers may run a step costs and how long the answer holds.
type AdvicePolicy struct {
	Decide    time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Cost returns how long the advisor takes for a question about n workers.
func (p *AdvicePolicy) Cost(n int) time.Duration {
	return p.Decide + time.Duration(n)*p.PerWorker
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guards says that the workers refuse what does not fit.
	Guards bool
	// Spare pools hold machines that are off.
	Spare bool
	// MaxConnections bounds the open connections to one worker.
	MaxConnections int
}

// CallLimits bounds what a caller may send.
type CallLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Setup is one version of the queues and services, as an operator sent it.
type Setup struct {
	// Version orders setups; the highest one is in force.
	Version  uint64
	Queues   []Queue
	Services []Service
	Limits   CallLimits
	// Document is the setup in the form in which the operator sent it.
	Document []byte
}

// Find returns the queue of a request and the rest of the path behind its prefix.
func (s *Setup) Find(host, path string) (*Queue, string, bool) {
	var found *Queue

	for i := range s.Queues {
		q := &s.Queues[i]

		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (found == nil || len(q.Prefix) > len(found.Prefix)) {
			found = q
		}
	}

	if found == nil {
		return nil, "", false
	}

	return found, path[len(found.Prefix):], true
}

// Queue returns the queue of the name.
func (s *Setup) Queue(name string) (*Queue, bool) {
	for i := range s.Queues {
		if s.Queues[i].Name == name {
			return &s.Queues[i], true
		}
	}

	return nil, false
}

// Service returns the service of the name.
func (s *Setup) Service(name string) (*Service, bool) {
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i], true
		}
	}

	return nil, false
}

// Validate returns mill.ErrInvalid naming the first fault.
func (s *Setup) Validate() error {
	places := make(map[[2]string]string, len(s.Queues))

	for i := range s.Queues {
		q := &s.Queues[i]

		if _, ok := s.Service(q.Service); !ok {
			return merry.Prependf(ErrInvalid, "queue %q: service %q is not declared", q.Name, q.Service)
		}

		if q.Timeout <= 0 {
			return merry.Prependf(ErrInvalid, "queue %q: timeout %s: want more than 0", q.Name, q.Timeout)
		}

		place := [2]string{q.Host, q.Prefix}
		if other, ok := places[place]; ok {
			return merry.Prependf(ErrInvalid, "queues %q and %q share host %q and prefix %q", other, q.Name, q.Host, q.Prefix)
		}

		places[place] = q.Name
	}

	return nil
}
