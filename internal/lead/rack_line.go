package lead

import (
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/plan"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// rackKey is a rack's part of a pool.
type rackKey struct {
	service string
	rack    string
}

// rackPass is what a pass knows of racks; its zero value is empty.
type rackPass struct {
	workers map[rackKey][]*worker
	running map[*worker][]plan.RunningTask
	// claimed is what the tasks that wait for a rack, of the steps so far, will take of it.
	claimed map[rackKey]mill.Resources
	// lines holds the lines of steps that are alike, as of the first one.
	lines map[rackDemand]rackLine
}

// rackDemand is what steps have in common that share a line for a rack.
type rackDemand struct {
	rack   string
	demand roomDemand
}

// rackLine is the line for a rack: the places that there will be, and how many tasks come first.
type rackLine struct {
	key     rackKey
	workers []*worker
	places  []plan.RackPlace
	ahead   int
}

// rackLine returns the line for a rack at the step's turn.
func (s *Scheduler) rackLine(c *candidate, rack string, p *pass) rackLine {
	line := rackLine{key: rackKey{service: c.queue.Service, rack: rack}}
	shared := rackDemand{rack: rack, demand: c.roomDemand()}
	mayShare := c.advice == nil && c.step.MaxPerWorker == 0

	if found, ok := p.racks.lines[shared]; ok && mayShare {
		found.ahead = plan.TasksAhead(p.racks.claimed[found.key], c.step.Reserves())

		return found
	}

	known := make([]plan.RackWorker, 0, len(p.rackWorkers(c, rack)))

	for _, w := range p.rackWorkers(c, rack) {
		s.examinedWorkers++

		if described, ok := s.describeRackWorker(c, w, p); ok {
			known = append(known, described)
			line.workers = append(line.workers, w)
		}
	}

	line.places = plan.RackPlaces(known, c.step.Reserves())
	line.ahead = plan.TasksAhead(p.racks.claimed[line.key], c.step.Reserves())

	if mayShare {
		if p.racks.lines == nil {
			p.racks.lines = make(map[rackDemand]rackLine)
		}

		p.racks.lines[shared] = line
	}

	return line
}

// expected returns the expected time until a task of the step has a place.
func (l *rackLine) expected(number int, runTime time.Duration) time.Duration {
	return plan.WaitInLine(l.places, l.ahead+number, runTime)
}

// describeRackWorker describes a worker on a rack that tasks of the step may wait for.
func (s *Scheduler) describeRackWorker(c *candidate, w *worker, p *pass) (described plan.RackWorker, ok bool) {
	if !c.compatible(w) || w.isolatingRuns > 0 || w.health.OnProbation() {
		return plan.RackWorker{}, false
	}

	described = plan.RackWorker{Free: w.unreserved(), Running: s.runningOn(w, p)}

	if c.step.MaxPerWorker > 0 {
		if described.MaxTasks = c.step.MaxPerWorker - w.countTasks(c.id); described.MaxTasks <= 0 {
			return plan.RackWorker{}, false
		}
	}

	if !c.allowsEver(w) {
		if c.advice.answeredFor[w.status.ID] {
			return plan.RackWorker{}, false
		}

		described.OpensIn = c.queue.Advice.Cost(1)
	}

	return described, true
}

// runningOn returns the runs on a worker as of the first call in the pass.
func (s *Scheduler) runningOn(w *worker, p *pass) []plan.RunningTask {
	if running, ok := p.racks.running[w]; ok {
		return running
	}

	running := make([]plan.RunningTask, 0, len(w.runs))
	for _, r := range w.runsByTask() {
		running = append(running, plan.RunningTask{Reserves: r.reserves, Remaining: s.remainingOrMore(r, p.now)})
	}

	if p.racks.running == nil {
		p.racks.running = make(map[*worker][]plan.RunningTask)
	}

	p.racks.running[w] = running

	return running
}

// overrunShare is how much of its estimated run time a run is assumed to take yet at least: a run that takes longer than
// estimated says nothing about when it ends.
const overrunShare = 0.1

// remainingOrMore returns the estimated time until a run finishes, which is not short for a run that should have finished.
func (s *Scheduler) remainingOrMore(r *run, now time.Time) time.Duration {
	least := time.Duration(overrunShare * float64(s.estimates.Correct(r.queue, r.step.Estimate)))

	return max(least, s.remainingTime(r, now))
}

// rackWorkers returns the workers of the step's pool on a rack.
func (p *pass) rackWorkers(c *candidate, rack string) []*worker {
	if p.racks.workers == nil {
		p.racks.workers = make(map[rackKey][]*worker)

		for service, found := range p.poolsByService() {
			for _, w := range found.workers {
				key := rackKey{service: service, rack: w.status.Rack}
				p.racks.workers[key] = append(p.racks.workers[key], w)
			}
		}
	}

	return p.racks.workers[rackKey{service: c.queue.Service, rack: rack}]
}

// claimRack puts tasks of the step into the line for a rack.
func (s *Scheduler) claimRack(c *candidate, key rackKey, tasks int, p *pass) {
	if tasks == 0 {
		return
	}

	if p.racks.claimed == nil {
		p.racks.claimed = make(map[rackKey]mill.Resources)
	}

	claimed := p.racks.claimed[key]
	for range tasks {
		claimed = claimed.Add(c.step.Reserves())
	}

	p.racks.claimed[key] = claimed
}

// askAboutPlaces has the advisor asked about the workers on a rack that tasks of the step wait for, early enough that there
// are tickets when there is room.
func (s *Scheduler) askAboutPlaces(c *candidate, line *rackLine, tasks int, p *pass) {
	if c.advice == nil {
		return
	}

	end := min(len(line.places), line.ahead+tasks)

	for _, place := range line.places[min(end, line.ahead):end] {
		id := line.workers[place.Worker].status.ID
		if place.In > c.queue.Advice.Cost(1)+adviceSlack || slices.Contains(c.adviceWanted, id) {
			continue
		}

		if _, valid := c.allows(id, p.now.Add(place.In)); !valid {
			c.adviceWanted = append(c.adviceWanted, id)
		}
	}

	c.adviceWanted = c.adviceWanted[:min(len(c.adviceWanted), s.adviceNames(c))]
}

// withRackFirst puts workers on the rack that a step wants, of which the advisor has not answered for, before others that it
// is to be asked about: they are worth most to the step. They take half of the names, so that others remain if they are
// refused or get no room.
func (s *Scheduler) withRackFirst(c *candidate, ids []string, p *pass) []string {
	if c.step.DataRack == "" || !c.prefersRack() || s.farFactor(c.queue.Name) <= 1 || len(ids) == 0 {
		return ids
	}

	names := s.adviceNames(c)
	first := make([]string, 0, names)

	for _, w := range p.rackWorkers(c, c.step.DataRack) {
		if len(first) < names/2 && c.compatible(w) && !c.advice.answeredFor[w.status.ID] {
			first = append(first, w.status.ID)
		}
	}

	for _, id := range ids {
		if len(first) < names && !slices.Contains(first, id) {
			first = append(first, id)
		}
	}

	return first
}
