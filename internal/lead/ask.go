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
	// keptShare is the part of the addresses, one in that many, that is kept for quick questions.
	keptShare = 4
	// quickAnswer is how long a quick question may take.
	quickAnswer = 50 * time.Millisecond
)

// ask returns the questions for the advisor that are due, one for each address that
// has none open. It answers days on which more steps wait than can be asked about:
// only steps that the plan has kept room for are asked about, in their order, and
// some addresses are kept for questions that are answered quickly. What is left
// learns early which workers may run a step that has no room yet.
func (s *Scheduler) ask(candidates []*candidate, p *pass) []Ask {
	callers, now := p.callers, p.now
	kept := len(s.callers) / keptShare

	var asks []Ask

	for _, c := range candidates {
		free := len(callers) - len(asks)
		if free == 0 {
			return asks
		}

		if len(c.wanted) > 0 && c.canAsk(now) && (free > kept || c.quick()) {
			asks = append(asks, s.askOne(c, callers[len(asks)], s.widen(c, now)))
		}
	}

	return s.askEarly(asks, candidates, callers, now)
}

// askEarly adds questions about steps that were never asked about, as long as half
// of the addresses are left.
func (s *Scheduler) askEarly(asks []Ask, candidates []*candidate, callers []string, now time.Time) []Ask {
	for _, c := range candidates {
		if len(callers)-len(asks) <= len(s.callers)/2 {
			break
		}

		if !c.canAsk(now) || len(c.advice.asked) > 0 {
			continue
		}

		if names := names(s.suitable(c, now)); len(names) > 0 {
			asks = append(asks, s.askOne(c, callers[len(asks)], names))
		}
	}

	return asks
}

// widen adds workers that were never asked about to a question that is due: one more
// name costs the advisor little beside the question itself, and what is known early need
// not be asked when room becomes free.
func (s *Scheduler) widen(c *candidate, now time.Time) []string {
	known := func(id string) bool { return c.advice.asked[id] }
	if !slices.ContainsFunc(c.wanted, func(id string) bool { return !known(id) }) {
		return c.wanted
	}

	widened := slices.Clone(c.wanted)

	for _, id := range names(s.suitable(c, now)) {
		if len(widened) < maxAsked && !known(id) && !slices.Contains(widened, id) {
			widened = append(widened, id)
		}
	}

	return widened
}

func (s *Scheduler) askOne(c *candidate, caller string, names []string) Ask {
	s.callers[caller].busy = true
	c.advice.asking = true
	c.advice.named = names

	return Ask{
		Caller:  caller,
		Step:    c.id,
		Workers: names,
		Limit:   c.queue.Advice.Cost(len(names)) + askSlack,
	}
}

// quick reports whether the advisor answers questions of the step's queue quickly.
func (c *candidate) quick() bool {
	return c.queue.Advice.Cost(maxAsked) <= quickAnswer
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

// suitable returns the workers that could run the step if they were empty.
func (s *Scheduler) suitable(c *candidate, now time.Time) []*worker {
	var found []*worker

	for _, w := range s.workers {
		if c.suits(w) && w.usable(now) {
			found = append(found, w)
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
