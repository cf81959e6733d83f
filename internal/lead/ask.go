package lead

import (
	"cmp"
	"slices"
	"time"
)

const (
	// quietCaller is how long an address may be silent before it is not asked through any more.
	quietCaller = 2 * time.Second
	// askSlack is what an answer may take beyond what the policy says: the ways
	// between regions, and other questions that the advisor has not finished.
	askSlack = 600 * time.Millisecond
	// reservedShare is the part of the addresses, one in that many, that is kept for
	// steps which could start with an answer.
	reservedShare = 4
)

// ask returns the questions for the advisor that are due, one for each address that
// has none open. It answers days on which more steps wait than can be asked about:
// steps that could be placed with an answer come first, and a part of the
// addresses is kept for those; the rest keeps tickets fresh for the steps that are
// next, so that room which becomes free is not idle while the advisor decides.
func (s *Scheduler) ask(candidates []*candidate, now time.Time) []Ask {
	callers := s.freeCallers(now)
	asks := s.askFor(nil, candidates, callers, now, s.urgentNames)
	spare := len(callers) - len(asks) - len(s.callers)/reservedShare

	if spare <= 0 {
		return asks
	}

	return s.askFor(asks, candidates, callers[:len(asks)+spare], now, s.nextNames)
}

// askFor adds questions until every caller has one.
func (s *Scheduler) askFor(
	asks []Ask, candidates []*candidate, callers []string, now time.Time,
	choose func(c *candidate, now time.Time) []string,
) []Ask {
	for _, c := range candidates {
		if len(asks) == len(callers) {
			break
		}

		if !c.canAsk(now) {
			continue
		}

		names := choose(c, now)
		if len(names) == 0 {
			continue
		}

		caller := callers[len(asks)]
		s.callers[caller].busy = true
		c.advice.asking = true

		asks = append(asks, Ask{
			Caller:  caller,
			Step:    c.id,
			Workers: names,
			Limit:   c.queue.Advice.Cost(len(names)) + askSlack,
		})
	}

	return asks
}

// canAsk reports whether the step needs advice and none is being asked for.
func (c *candidate) canAsk(now time.Time) bool {
	return c.advice != nil && len(c.waiting) > 0 && !c.advice.asking && !now.Before(c.advice.next)
}

func (s *Scheduler) freeCallers(now time.Time) []string {
	var free []string

	for address, c := range s.callers {
		if !c.busy && now.Sub(c.heard) < quietCaller {
			free = append(free, address)
		}
	}

	slices.Sort(free)

	return free
}

// urgentNames returns the workers to ask about for a step that has room but no
// leave to use it: those that are allowed and have no valid ticket, and otherwise
// those that were not asked about yet.
func (s *Scheduler) urgentNames(c *candidate, now time.Time) []string {
	standing := s.standing(c, now, true)

	if len(standing.expired) > 0 {
		return names(append(standing.expired, standing.valid...))
	}

	return names(standing.unknown)
}

// nextNames returns the workers to ask about for a step without room, so that it
// can take what becomes free: all that are allowed, or more as long as none is.
func (s *Scheduler) nextNames(c *candidate, now time.Time) []string {
	standing := s.standing(c, now, false)

	if len(standing.expired)+len(standing.valid) == 0 {
		return names(standing.unknown)
	}

	return names(standing.expired)
}

// standing sorts the workers that could run a step by what the advisor has said.
type standing struct {
	unknown []*worker
	expired []*worker
	valid   []*worker
}

// standing looks at all workers, or at those with room now.
func (s *Scheduler) standing(c *candidate, now time.Time, withRoom bool) standing {
	var found standing

	for _, w := range s.workers {
		if !c.suits(w) || !w.usable(now) || (withRoom && !c.step.Reserves().Fits(w.free())) {
			continue
		}

		allowed, holds := c.allows(w.status.ID, now)

		switch {
		case allowed && holds:
			found.valid = append(found.valid, w)
		case allowed:
			found.expired = append(found.expired, w)
		case !c.advice.asked[w.status.ID]:
			found.unknown = append(found.unknown, w)
		default:
		}
	}

	return found
}

// names returns the ids of the workers with the most room.
func names(workers []*worker) []string {
	slices.SortFunc(workers, func(a, b *worker) int {
		x, y := a.free(), b.free()

		return cmp.Or(
			cmp.Compare(y.Accelerators, x.Accelerators),
			cmp.Compare(y.MilliCores, x.MilliCores),
			cmp.Compare(a.status.ID, b.status.ID),
		)
	})

	ids := make([]string, 0, maxAsked)

	for _, w := range workers[:min(len(workers), maxAsked)] {
		ids = append(ids, w.status.ID)
	}

	return ids
}
