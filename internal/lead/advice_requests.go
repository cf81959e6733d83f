package lead

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
)

const (
	// addressTimeout is how long after its last registration an address is no longer used for
	// requests.
	addressTimeout = 2 * time.Second
	// adviceSlack is how long a reply may take beyond the time in the queue's policy: latency
	// between regions, and other requests that the advisor has not finished.
	adviceSlack = 600 * time.Millisecond
	// quickAddressShare is the share of the addresses, one in this many, that is kept free for
	// quick requests.
	quickAddressShare = 4
	// quickAdviceTime is the longest time in which a quick request is answered.
	quickAdviceTime = 50 * time.Millisecond
)

// requestAdvice returns the advice requests that are due, at most one for each idle address: those for overdue steps, which
// the plan has chosen, and then others. More steps may wait than the advisor can be asked about, so only steps for which
// the plan has reserved capacity are asked about, in order of precedence, and some addresses are kept free for requests
// that are answered quickly. The remaining addresses are used to find out early which workers may
// run steps that have no capacity yet.
func (s *Scheduler) requestAdvice(candidates []*candidate, p *pass) []AdviceRequest {
	for _, c := range candidates {
		if p.idleAddressesLeft() == 0 {
			return p.requests
		}

		if len(c.adviceWanted) > 0 && p.mayRequest(c) {
			p.request(s.newAdviceRequest(c, p.nextAddress(), s.addUnknownWorkers(c, p)))
		}
	}

	s.requestEarlyAdvice(candidates, p)

	return p.requests
}

// requestEarlyAdvice adds requests for steps that were never asked about, as long as more than half
// of the addresses remain idle.
func (s *Scheduler) requestEarlyAdvice(candidates []*candidate, p *pass) {
	for _, c := range candidates {
		if p.idleAddressesLeft() <= len(s.advisorAddresses)/2 {
			return
		}

		if !c.canRequestAdvice(p.now) || s.knowsEnough(c) {
			continue
		}

		unknown := func(w *worker) bool { return !c.advice.answered.has(w.index) }
		if workers := s.withRackFirst(c, p.pool(c).mostFreeIDs(c, s.adviceNames(c), unknown), p); len(workers) > 0 {
			p.request(s.newAdviceRequest(c, p.nextAddress(), workers))
		}
	}
}

// addUnknownWorkers adds workers that were never asked about to a request that is due. Each further
// worker costs the advisor little compared with the request itself, and knowing the answer early
// saves a request when capacity becomes free.
func (s *Scheduler) addUnknownWorkers(c *candidate, p *pass) []string {
	c.adviceWanted = s.withRackFirst(c, c.adviceWanted, p)

	known := func(id string) bool { return c.advice.answeredFor[id] }
	if !slices.ContainsFunc(c.adviceWanted, func(id string) bool { return !known(id) }) {
		return c.adviceWanted
	}

	widened := slices.Clone(c.adviceWanted)
	names := s.adviceNames(c)

	for _, id := range p.pool(c).mostFreeIDs(c, names, nil) {
		if len(widened) < names && !known(id) && !slices.Contains(widened, id) {
			widened = append(widened, id)
		}
	}

	return widened
}

func (s *Scheduler) newAdviceRequest(c *candidate, address string, workers []string) AdviceRequest {
	s.advisorAddresses[address].busy = true
	c.advice.requestPending = true
	c.advice.requested = workers

	return AdviceRequest{
		Address: address,
		Step:    c.id,
		Queue:   c.queue.Name,
		Workers: workers,
		Timeout: c.queue.Advice.Cost(len(workers)) + adviceSlack,
	}
}

// hasQuickAdvice reports whether the advisor answers requests for the step's queue quickly.
func (c *candidate) hasQuickAdvice() bool {
	return c.queue.Advice.Cost(plan.MinAdviceNames) <= quickAdviceTime
}

// canRequestAdvice reports whether the step needs advice and no request for it is outstanding.
func (c *candidate) canRequestAdvice(now time.Time) bool {
	return c.advice != nil && len(c.waiting) > 0 && !c.advice.requestPending && !now.Before(c.advice.nextRequest)
}

func (s *Scheduler) idleAdvisorAddresses(now time.Time) []string {
	var idle []string

	for address, a := range s.advisorAddresses {
		if !a.busy && now.Sub(a.lastHeard) < addressTimeout {
			idle = append(idle, address)
		}
	}

	slices.Sort(idle)

	return idle
}

// knowsEnough reports whether no early request for a step is worth its time: for a gang, once enough allowed workers
// are known, and for other steps, which can start in part, once the advisor has answered.
func (s *Scheduler) knowsEnough(c *candidate) bool {
	if !c.step.Gang {
		return len(c.advice.answeredFor) > 0
	}

	return len(c.advice.tickets) >= plan.KnownWanted(c.workersNeeded())
}

// adviceNames returns how many workers a request for a step names at the most.
func (s *Scheduler) adviceNames(c *candidate) int {
	if !c.step.Gang {
		return plan.MinAdviceNames
	}

	return plan.AdviceNames(plan.KnownWanted(c.workersNeeded()), s.allowedShares.Share(c.queue.Name))
}
