package lead

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 400)
}

// simStep is the resolution of simulated time.
const simStep = 10 * time.Millisecond

// simStart is the start of simulated time.
var simStart = time.Unix(1_800_000_000, 0)

// failer is a test or a rapid check.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// jobSpec is a submitted job with what the simulation needs to know of it.
type jobSpec struct {
	work     mill.Workload
	queue    string
	tenant   string
	duration time.Duration
	canceled time.Time
}

// timedEvent is a function to call at a time.
type timedEvent struct {
	at time.Time
	do func()
}

// leader is a scheduler with its term.
type leader struct {
	scheduler *Scheduler
	term      uint64
}

// proposal is a list of commands that is being committed.
type proposal struct {
	at       time.Time
	by       *leader
	commands []jobs.Command
	// readFailed holds the runs whose ends as failed the leader had read when it proposed the commands.
	readFailed map[mill.RunRef]bool
}

// faults is the probability of each fault of an order, in percent.
type faults struct {
	lostOrder  int
	unsent     int
	lostAnswer int
	late       int
	// lostReport and lateReport are those of a worker's report.
	lostReport int
	lateReport int
	// repeatedList is the probability that a list of runs arrives once more, later.
	repeatedList int
	// slowAnswer is the probability that an answer is long on its way, and outlives its sender.
	slowAnswer int
	// clockSetBack is the probability that an executor restarts with an earlier wall clock.
	clockSetBack int
}

// simulation is a pool of executors with a replicated log and its leader, in simulated time. It
// checks every start against what runs on the executors.
type simulation struct {
	t         failer
	draws     *rapid.T
	now       time.Time
	state     *jobs.State
	executors []*executor
	leader    *leader
	events    []timedEvent
	proposals []proposal
	specs     map[string]*jobSpec
	faults    faults
	// completedTasks holds the tasks whose completion is committed.
	completedTasks map[mill.TaskID]bool
	attempts       attemptCheck
	// crashingTasks crash each executor that starts them; crashes counts that, and startsAfterCrashes the starts after
	// the third time. losses counts for every task the crashes of executors that ran it.
	crashingTasks      map[mill.TaskID]bool
	crashes            map[mill.TaskID]int
	startsAfterCrashes map[mill.TaskID]int
	losses             map[mill.TaskID]int
	// crashDelay is how long after its start a crashing task crashes its executor. crashesUnanswered loses the answers that
	// are on their way when an executor crashes, and staysAway says that executors do not come back.
	crashDelay        time.Duration
	crashesUnanswered bool
	staysAway         bool
	// failingJobs holds the jobs whose tasks always fail, and failingRuns those whose tasks fail in runs up to a number.
	failingJobs map[string]bool
	failingRuns map[string]int
	gangFaults  gangFaults
	// memberLag is how much later than the first one the other members of a gang that is done end at the most.
	memberLag time.Duration
	// faultless says that the test injects no faults.
	faultless bool
	// disturbedAt is when the leader or an order was last disturbed; see checkCanceled.
	disturbedAt time.Time
	// shedsStops makes unhealthy workers refuse half of the stop orders.
	shedsStops bool
	// provider is nil in simulations without maintenance waves.
	provider *provider
	// unreadable selects the commands that cannot be logged; nil for none.
	unreadable func(command *jobs.Command) bool
	// withoutReports makes new leaders begin before any worker has reported to them.
	withoutReports bool
	// farFactor is that of the next leader's bounds; steps want racks if it is over 1.
	farFactor float64
	// choices numbers the decisions that are derived from a hash instead of the test's seed.
	choices uint64
	// advisorAddresses are those through which the advisor can be asked, one request at a time, and decideTime is how long
	// it takes to answer.
	advisorAddresses []string
	decideTime       time.Duration
	standstill       standstillCheck
	// nextTenant is the tenant of the jobs that are submitted from now on, and nextBeyondShare says that they are beyond its
	// share.
	nextTenant      string
	nextBeyondShare bool
	tenants         tenantCheck
	// adviceRequests counts the advice requests, and adviceRequestsByJob those for each job.
	adviceRequests      int
	adviceRequestsByJob map[string]int
}

func newSimulation(t failer, draw *rapid.T, executors int) *simulation {
	sim := &simulation{
		t:                   t,
		draws:               draw,
		now:                 simStart,
		state:               jobs.NewState(),
		specs:               make(map[string]*jobSpec),
		completedTasks:      make(map[mill.TaskID]bool),
		crashingTasks:       make(map[mill.TaskID]bool),
		crashes:             make(map[mill.TaskID]int),
		startsAfterCrashes:  make(map[mill.TaskID]int),
		losses:              make(map[mill.TaskID]int),
		failingJobs:         make(map[string]bool),
		failingRuns:         make(map[string]int),
		adviceRequestsByJob: make(map[string]int),
		faultless:           true,
		advisorAddresses:    []string{"here", "there"},
		decideTime:          simDecideTime,
	}
	sim.attempts = newAttemptCheck(sim)
	sim.standstill = standstillCheck{sim: sim, lastRan: make(map[mill.TaskID]time.Time), asking: make(map[string]bool)}

	sim.tenants.sim = sim
	// Jobs must not run as those of the first queue of the name.
	setup := simSetup()
	namesake := setup.Queues[0]
	namesake.Host, namesake.Service, namesake.MaxAttempts = "other", "annex", 2
	setup.Queues = slices.Insert(setup.Queues, 0, namesake)
	sim.configure(setup)

	for i := range executors {
		sim.addExecutor(i)
	}

	sim.newLeader()

	return sim
}

func simSetup() *mill.Setup {
	queue := func(service, name string, priority int, advice *mill.AdvicePolicy) mill.Queue {
		return mill.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Service: service, MaxAttempts: 4, Priority: priority,
			Stretch: 2, Objective: time.Second, Timeout: time.Second, Advice: advice,
		}
	}

	return &mill.Setup{
		Version: 1,
		Queues: []mill.Queue{
			queue("pool", "free", 1, nil),
			queue("pool", "advised", 0, &mill.AdvicePolicy{Decide: simDecideTime, Validity: simValidity}),
			queue("annex", "annexFree", 1, nil),
			queue("annex", "annexAdvised", 0, &mill.AdvicePolicy{Decide: simDecideTime, Validity: simValidity}),
		},
		Services: []mill.Service{{Name: "pool"}, {Name: "annex"}},
	}
}

func (sim *simulation) addExecutor(index int) {
	e := &executor{
		sim:      sim,
		id:       fmt.Sprintf("x%02d", index),
		drift:    float64(index%3) * clockDrift / 2,
		capacity: mill.Resources{MilliCores: simCapacity, MemoryMiB: simCapacity, Accelerators: int64(index % 2 * 4)},
		rack:     fmt.Sprintf("r%d", index/2),
		pool:     "pool",
		up:       true,
	}
	e.address = e.id
	e.restart()
	sim.executors = append(sim.executors, e)
	sim.sendReports(e)
}

// sendReports sends the executor's status to the leader now and every simReportInterval.
func (sim *simulation) sendReports(e *executor) {
	if e.reports() {
		sim.sendReport(e)
	}

	sim.after(simReportInterval, func() { sim.sendReports(e) })
}

// sendReport sends the executor's status to the leader, subject to the simulated faults.
func (sim *simulation) sendReport(e *executor) {
	status := e.status()

	switch {
	case sim.chance("lost report", sim.faults.lostReport):
	case sim.chance("late report", sim.faults.lateReport):
		// Reports that are late may arrive after newer ones.
		sim.after(time.Duration(1+sim.choices%40)*100*time.Millisecond, func() { sim.leader.report(status, sim.now) })
	default:
		sim.leader.report(status, sim.now)
	}
}

func (l *leader) report(status *mill.WorkerStatus, at time.Time) {
	if l != nil {
		l.scheduler.Report(status, at)
	}
}

func (sim *simulation) queue(job string) *mill.Queue {
	route := sim.route(sim.specs[job].queue)
	queue, _ := sim.state.SetupIndex().Route(mill.RouteKey{Host: route.Host, Prefix: route.Prefix})

	return queue
}

// route returns what a submission to the queue of simSetup with that name tells of it.
func (sim *simulation) route(queue string) *jobs.SelectedRoute {
	return &jobs.SelectedRoute{Host: "h", Prefix: "/" + queue + "/"}
}

// newLeader replaces the leader. What the old leader has proposed is committed up to some entry,
// and the rest is lost.
func (sim *simulation) newLeader() {
	keep := len(sim.proposals)
	if keep > 0 {
		keep = sim.pick("entries that survive", keep+1)
	}

	for i := range sim.proposals[:keep] {
		sim.apply(&sim.proposals[i])
	}

	sim.proposals = nil
	sim.disturbedAt = sim.now
	clear(sim.standstill.asking)

	term := uint64(1)
	if sim.leader != nil {
		term = sim.leader.term + 1
	}

	bounds := Bounds{
		MaxLease: simMaxLease, GangTimeout: simGangTimeout, MaxStopTime: simStopTime, MaintenanceTime: simMaintenanceTime,
		CapacityDelay: simContact + simReportInterval, FarFactor: sim.farFactor,
	}
	sim.leader = &leader{scheduler: New(bounds, term, sim.now, sim.state, place.Pack{}), term: term}

	for _, e := range sim.executors {
		if e.reports() && !sim.withoutReports {
			sim.leader.report(e.status(), sim.now)
		}
	}
}

func (sim *simulation) after(length time.Duration, do func()) {
	sim.events = append(sim.events, timedEvent{at: sim.now.Add(length), do: do})
}

// pick draws a number below a limit from the test's seed, or derives it from a hash in tests
// without draws.
func (sim *simulation) pick(name string, limit int) int {
	if sim.draws != nil {
		return rapid.IntRange(0, limit-1).Draw(sim.draws, name)
	}

	return sim.choose(name, limit)
}

// choose derives a number below a limit from a hash. It takes no draw from the test's seed.
func (sim *simulation) choose(name string, limit int) int {
	sim.choices++

	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, name, sim.choices)

	return int(hash.Sum64() % uint64(limit))
}

// flip decides with even chances. It takes no draw from the test's seed.
func (sim *simulation) flip(name string) bool {
	return sim.choose(name, 2) == 0
}

// chance reports whether something that happens in a percentage of cases happens now.
func (sim *simulation) chance(name string, percent int) bool {
	return percent > 0 && sim.choose(name, 100) < percent
}

// run lets time pass.
func (sim *simulation) run(length time.Duration) {
	for end := sim.now.Add(length); sim.now.Before(end); {
		sim.step()
	}
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(simStep)

	due := slices.Clone(sim.events)
	sim.events = nil

	for _, e := range due {
		if e.at.After(sim.now) {
			sim.events = append(sim.events, e)
		} else {
			e.do()
		}
	}

	sim.commit()

	for _, e := range sim.executors {
		e.advance(simStep)
	}

	sim.plan()
	sim.checkCanceled()
	sim.standstill.check()
}

// commit applies the proposals that are due.
func (sim *simulation) commit() {
	for len(sim.proposals) > 0 && !sim.proposals[0].at.After(sim.now) {
		p := sim.proposals[0]
		sim.proposals = sim.proposals[1:]
		p.by.scheduler.Committed(p.commands, sim.apply(&p), nil, sim.now)
	}
}

func (sim *simulation) apply(p *proposal) []jobs.Result {
	commands := p.commands
	results := make([]jobs.Result, 0, len(commands))

	for i := range commands {
		if sim.unreadable != nil && sim.unreadable(&commands[i]) {
			results = append(results, jobs.ResultUnreadable)

			continue
		}

		result := sim.state.Apply(&commands[i])
		results = append(results, result)

		if finish := commands[i].Finish; finish != nil && result == jobs.ResultApplied && finish.Cause == mill.FinishDone {
			sim.markCompleted(finish.Task)
		}

		if finish := commands[i].Finish; finish != nil && result == jobs.ResultApplied {
			run := mill.RunRef{Task: finish.Task, Run: finish.Run}
			sim.attempts.recordCommitted(run, p.readFailed[run])
		}
	}

	return results
}

// markCompleted records a task's completion. The completion of one member completes its whole gang.
func (sim *simulation) markCompleted(task mill.TaskID) {
	sim.completedTasks[task] = true

	step := &sim.specs[task.Job].work.Steps[task.Step]
	if !step.Gang {
		return
	}

	for index := range step.Count {
		sim.completedTasks[task.Task(index)] = true
	}
}

func (sim *simulation) plan() {
	l := sim.leader
	for _, address := range sim.advisorAddresses {
		l.scheduler.AdvisorReachable(address, sim.now)
	}

	sim.checkIndexes(l.scheduler)

	actions := sim.next(l)
	l.scheduler.TakeEvents()

	sortActions(&actions)

	if sim.provider != nil {
		sim.provider.carryOut(&actions)
	}

	if len(actions.Commands) > 0 {
		sim.proposals = append(sim.proposals, proposal{
			at: sim.now.Add(20 * time.Millisecond), by: l, commands: actions.Commands,
			readFailed: sim.attempts.readBy(l, actions.Commands),
		})
	}

	for i := range actions.Starts {
		sim.sendStart(l, &actions.Starts[i])
	}

	for i := range actions.Stops {
		sim.sendStop(l, &actions.Stops[i])
	}

	for i := range actions.Renews {
		sim.sendRenew(l, &actions.Renews[i])
	}

	for i := range actions.Paces {
		sim.sendPace(l, &actions.Paces[i])
	}

	for i := range actions.AdviceRequests {
		sim.sendAdviceRequest(l, &actions.AdviceRequests[i])
	}
}

// next plans, or only dispatches: leaders of even terms make long plans, one in planSteps steps.
func (sim *simulation) next(l *leader) Actions {
	const planSteps = 3

	if l.term%2 == 0 && sim.now.Sub(simStart)/simStep%planSteps != 0 {
		return l.scheduler.Dispatch(sim.now)
	}

	return l.scheduler.Next(sim.now, sim.now.UnixMilli(), sim.state)
}

// sortActions puts orders in a fixed order, so that a seed replays.
func sortActions(actions *Actions) {
	slices.SortFunc(actions.Starts, func(a, b Start) int {
		return strings.Compare(a.Order.Task.String(), b.Order.Task.String())
	})
	slices.SortFunc(actions.Stops, func(a, b Stop) int { return strings.Compare(a.Run.Task.String(), b.Run.Task.String()) })
	slices.SortFunc(actions.Paces, func(a, b Pace) int {
		return strings.Compare(a.Order.Task.String(), b.Order.Task.String())
	})
	slices.SortFunc(actions.Renews, func(a, b Renew) int { return strings.Compare(a.To.ID, b.To.ID) })
}

func (sim *simulation) find(id string) *executor {
	for _, e := range sim.executors {
		if e.id == id {
			return e
		}
	}

	return nil
}

// findAt returns the executor at an address.
func (sim *simulation) findAt(address string) *executor {
	for _, e := range sim.executors {
		if e.address == address {
			return e
		}
	}

	return nil
}

func (sim *simulation) submit(id, queue string, duration time.Duration, steps ...mill.Step) {
	sim.submitWork(id, queue, duration, mill.Workload{Spec: id, Steps: steps})
}

func (sim *simulation) submitWork(id, queue string, duration time.Duration, work mill.Workload) {
	for i := range work.Steps {
		work.Steps[i].Estimate = duration
	}

	sim.specs[id] = &jobSpec{work: work, queue: queue, duration: duration, tenant: sim.nextTenant}
	sim.state.Apply(&jobs.Command{Submit: &jobs.Submit{
		Job: id, Queue: queue, Work: work, UnixMilli: sim.now.UnixMilli(), Tenant: sim.nextTenant,
		BeyondShare: sim.nextBeyondShare, Route: sim.route(queue),
	}})
}

func (sim *simulation) configure(setup *mill.Setup) {
	sim.state.Apply(&jobs.Command{Setup: setup})
	sim.tenants.limits.Configure(setup, sim.now)
}

func (sim *simulation) cancel(id string) {
	sim.state.Apply(&jobs.Command{Cancel: &jobs.Cancel{Job: id}})
	sim.specs[id].canceled = sim.now
}
