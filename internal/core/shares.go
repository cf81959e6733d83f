package core

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/lead"
	"github.com/cranberrymill/cranberrymill/internal/logs"
	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// shares decides which new jobs are beyond the shares of their tenants. Its zero value is ready for use. Leaders don't hand
// over what is in it: a new one starts with all shares unused.
type shares struct {
	mu    sync.Mutex
	meter plan.ShareMeter
	// committing counts the submissions of each job that are being committed. Another one of the same job must not be
	// refused, since the job may run.
	committing map[string]int
	limiter    logs.Limiter
}

// admission is a new job that was admitted.
type admission struct {
	shares      *shares
	job         string
	beyondShare bool
}

// admit returns the admission of a new job, or the receipt with which it is refused.
func (s *shares) admit(found *submission, runner *lead.Runner, now time.Time) (*admission, *mill.Receipt) {
	s.mu.Lock()
	defer s.mu.Unlock()

	admitted := &admission{shares: s, job: found.id}

	if found.access.tenant != "" && s.committing[found.id] == 0 {
		var refused *mill.Receipt
		if admitted.beyondShare, refused = s.judge(found, runner, now); refused != nil {
			return nil, refused
		}
	}

	if s.committing == nil {
		s.committing = make(map[string]int)
	}

	s.committing[found.id]++

	return admitted, nil
}

// judge reports whether a new job is beyond its tenant's share, and returns the receipt if it is refused for that.
func (s *shares) judge(found *submission, runner *lead.Runner, now time.Time) (beyond bool, refused *mill.Receipt) {
	s.meter.Configure(found.setup)

	beyond, wait := s.meter.Take(found.access.tenant, found.access.weight, now)
	if !beyond || runner == nil {
		return beyond, nil
	}

	admit, retryAfter := plan.AdmitBeyondShare(found.id, runner.SaturatedFor(found.access.queue.Service), wait)
	if admit {
		return true, nil
	}

	s.logRefusal(found, wait, now)

	return true, &mill.Receipt{
		Verdict: mill.VerdictBeyondShare, RetryAfter: retryAfter, Reason: "the tenant sends more than its share",
	}
}

// unknownOutcomeTime is how long after its commit has failed a job may still be committed: no proposal of this leader, or
// of one that it succeeded, stays undecided for longer.
const unknownOutcomeTime = 10 * time.Second

// end records the end of the job's commit. After an error the job may still be committed.
func (a *admission) end(err error) {
	if err != nil {
		time.AfterFunc(unknownOutcomeTime, a.forget)

		return
	}

	a.forget()
}

func (a *admission) forget() {
	a.shares.mu.Lock()
	defer a.shares.mu.Unlock()

	if a.shares.committing[a.job]--; a.shares.committing[a.job] <= 0 {
		delete(a.shares.committing, a.job)
	}
}

// refusalLogInterval is the least time between two lines on refused submissions.
const refusalLogInterval = time.Second

func (s *shares) logRefusal(found *submission, wait time.Duration, now time.Time) {
	skipped, ok := s.limiter.Allow(now, refusalLogInterval)
	if !ok {
		return
	}

	log.Info().Str("job", found.id).Str("queue", found.access.queue.Name).Str("tenant", found.access.tenant).
		Float64("weight", found.access.weight).Dur("wait", wait).Int("skipped", skipped).
		Msg("submission beyond the tenant's share refused, its service is full")
}
