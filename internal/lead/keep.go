package lead

import (
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

	if s.keepOn(c, p, s.mayKeepAllowed) {
		return
	}

	s.keepOn(c, p, s.mayKeep)
}

// keepOn keeps room on workers of a choice, and reports whether the step fits on them.
func (s *Scheduler) keepOn(c *candidate, p *pass, may func(c *candidate, w *worker, p *pass) bool) bool {
	var (
		sites   []plan.Site
		workers []*worker
	)

	for _, w := range s.toAskAbout(c, p) {
		if c.suits(w) && c.step.Reserves().Fits(w.unkept()) && may(c, w, p) {
			sites = append(sites, c.site(w))
			workers = append(workers, w)
		}
	}

	chosen := plan.Spread(sites, c.demand(), len(c.waiting), s.placer, nil)
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

// mayKeepAllowed reports whether the advisor is known to allow the worker.
func (s *Scheduler) mayKeepAllowed(c *candidate, w *worker, p *pass) bool {
	allowed, valid := c.allows(w.status.ID, p.now)

	return allowed && (!valid || c.step.Gang)
}

// mayKeep reports whether the advisor may allow the worker: it has not refused it, and
// is not being asked about others.
func (s *Scheduler) mayKeep(c *candidate, w *worker, p *pass) bool {
	if c.advice.asking {
		return true
	}

	allowed, valid := c.allows(w.status.ID, p.now)

	return allowed && (!valid || c.step.Gang) || !allowed && !c.advice.asked[w.status.ID]
}
