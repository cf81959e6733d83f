package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
)

// keepsBeside is for how many steps room is looked for beside those that can be asked
// about at once: their turn comes while the next plan is made.
const keepsBeside = 8

// keep keeps room for a step that could run if the advisor allows it, so that
// steps which come later do not take it meanwhile, and names the workers to ask
// about: those that are known to be allowed, if they suffice, since they need no luck.
// Days on which far more steps wait than can be asked about would take up the process,
// so only those whose turn comes soon are looked at.
func (s *Scheduler) keep(c *candidate, p *pass) {
	if !c.advice.asking {
		if p.keeps == 0 || !c.canAsk(p.now) {
			return
		}

		p.keeps--
	}

	workers := s.toAskAbout(c, p)
	if s.keepOn(c, workers, func(w *worker) bool { return c.renewable(w, p.now) }) {
		return
	}

	s.keepOn(c, workers, func(w *worker) bool { return c.mayBeAllowed(w, p.now) })
}

// keepOn keeps room on workers of a choice, and reports whether the step fits on them.
func (s *Scheduler) keepOn(c *candidate, among []*worker, may func(w *worker) bool) bool {
	sites, workers := c.sites(among, may)

	chosen := plan.PlaceTasks(sites, c.demand(), len(c.waiting), s.placer, nil)
	if len(chosen) == 0 || (c.step.Gang && len(chosen) < len(c.waiting)) {
		return false
	}

	for _, at := range chosen {
		workers[at].keep(c.step.Reserves())
	}

	c.wanted = names(workers)

	return true
}

// toAskAbout returns the workers that room may be kept on: those that the open question names, or all.
func (s *Scheduler) toAskAbout(c *candidate, p *pass) []*worker {
	if !c.advice.asking {
		return p.pool(c).workers
	}

	return s.usableOf(c.advice.named, p.now)
}

// renewable reports whether the advisor is known to allow the worker, so that only the
// ticket has to be renewed; that of a gang holds for all members or for none.
func (c *candidate) renewable(w *worker, now time.Time) bool {
	allowed, valid := c.allows(w.status.ID, now)

	return allowed && (!valid || c.step.Gang)
}

// mayBeAllowed reports whether the advisor has not refused the worker, as far as it was
// asked; those that an open question names are not answered for yet.
func (c *candidate) mayBeAllowed(w *worker, now time.Time) bool {
	if c.advice.asking || c.renewable(w, now) {
		return true
	}

	allowed, _ := c.allows(w.status.ID, now)

	return !allowed && !c.advice.asked[w.status.ID]
}
