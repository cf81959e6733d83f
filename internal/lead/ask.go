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
)

// ask returns the questions for the advisor that are due: one for each address
// that has none open, for the steps that come first.
func (s *Scheduler) ask(candidates []*candidate, now time.Time) []Ask {
	callers := s.freeCallers(now)

	var asks []Ask

	for _, c := range candidates {
		if len(asks) == len(callers) {
			break
		}

		if c.advice == nil || c.advice.asking || now.Before(c.advice.next) {
			continue
		}

		names := s.namesFor(c, now)
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

// namesFor returns the workers to ask about for a step that could not be placed
// whole: at first as many as a question may name, then those that are allowed,
// have room and no valid ticket, and otherwise those that were not asked about yet.
func (s *Scheduler) namesFor(c *candidate, now time.Time) []string {
	if len(c.waiting) == 0 {
		return nil
	}

	unknown, expired, valid := s.split(c, now)

	switch {
	case len(c.advice.asked) == 0:
		return names(unknown)
	case len(expired) > 0:
		return names(append(expired, valid...))
	default:
		return names(unknown)
	}
}

// split returns the workers that could run the step: those with unknown standing,
// and of those that are allowed and have room the ones without and with a valid ticket.
func (s *Scheduler) split(c *candidate, now time.Time) (unknown, expired, valid []*worker) {
	for _, w := range s.workers {
		if !c.suits(w) || !w.usable(now) {
			continue
		}

		allowed, holds := c.allows(w.status.ID, now)
		room := c.step.Reserves().Fits(w.free())

		switch {
		case !allowed && !c.advice.asked[w.status.ID]:
			unknown = append(unknown, w)
		case allowed && !holds && room:
			expired = append(expired, w)
		case allowed && room:
			valid = append(valid, w)
		default:
		}
	}

	return unknown, expired, valid
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
