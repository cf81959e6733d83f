package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// maxStandstillLines bounds the jobs that one summary describes.
const maxStandstillLines = 8

// standstills finds the jobs that stand still beside room for them; its zero value is ready for use.
type standstills struct {
	// since holds since when steps whose jobs are idle have had room each time that it was looked for, and described
	// those of them that were.
	since     map[mill.StepID]time.Time
	described map[mill.StepID]bool
}

// update looks for the jobs that stand still among the candidates of the last plan. It returns their number, and
// describes at most maxStandstillLines of those that were not described before.
func (f *standstills) update(s *Scheduler, now time.Time) (count int, found []Standstill) {
	since := make(map[mill.StepID]time.Time, len(f.since))
	described := make(map[mill.StepID]bool, len(f.described))
	standing := make(map[string]bool)

	for _, c := range s.lastCandidates {
		if len(c.waiting) == 0 || !plan.Overdue(c.idleFor(now)) {
			continue
		}

		room := s.findRoom(c, now)
		if room.places < plan.RoomFactor*c.together() {
			continue
		}

		since[c.id] = now
		if earlier, ok := f.since[c.id]; ok {
			since[c.id] = earlier
		}

		if now.Sub(since[c.id]) < standstillTime {
			continue
		}

		standing[c.id.Job] = true

		if described[c.id] = f.described[c.id]; !described[c.id] && len(found) < maxStandstillLines {
			described[c.id] = true
			found = append(found, s.describeStandstill(c, &room, now))
		}
	}

	f.since, f.described = since, described

	return len(standing), found
}
