package lead

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberrymill/cranberrymill/internal/jobs"
	"github.com/cranberrymill/cranberrymill/internal/place"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// The simulated deployment: how long a commit, an order on its way, and the way to the advisor and back take, how often a
// worker reports, and through how many addresses the advisor can be asked.
const (
	loadCommitTime     = 26 * time.Millisecond
	loadOrderTime      = 12 * time.Millisecond
	loadAdviceTime     = 20 * time.Millisecond
	loadStopTime       = 200 * time.Millisecond
	loadReportInterval = 1500 * time.Millisecond
	loadAddresses      = 153
)

// A simulated plan takes loadPlanTime, and loadWorkerTime for each time that it looks at a worker; a dispatch takes
// loadDispatchTime. The large deployment's leader measures these, with one processor for all that it does.
const (
	loadPlanTime     = 3 * time.Millisecond
	loadWorkerTime   = 100 * time.Nanosecond
	loadDispatchTime = time.Millisecond
)

// loadJob is a submitted job; due is when it should be complete.
type loadJob struct {
	queue *loadQueue
	due   time.Time
	// counts says that the job is still to be counted.
	counts bool
	// tenant is that of the job; nil for none.
	tenant *loadTenant
}

// loadWorker is a worker without faults.
type loadWorker struct {
	status   mill.WorkerStatus
	running  map[mill.TaskID]mill.RunStatus
	finished []mill.FinishedRun
	number   uint64
	// renewal is the one that waits for its answer, and sentAt when the leader sent it.
	renewal *Renew
	sentAt  time.Time
	// lost says that the worker has no power.
	lost bool
}

// loadSimulation is a leader under the load of the large deployment, 1,100 workers and 65 jobs a second, in simulated
// time. There are no faults, but the leader's plans take time.
type loadSimulation struct {
	now       time.Time
	random    *rand.Rand
	events    loadEvents
	number    int
	state     *jobs.State
	scheduler *Scheduler
	cadence   cadence
	// planTime is what a plan takes besides the time for the workers that it looks at.
	planTime time.Duration
	// updates are passed to the scheduler before it plans or dispatches.
	updates []func()
	queues  []*loadQueue
	workers map[string]*loadWorker
	jobs    map[string]*loadJob
	// shape, unless nil, changes the steps that are submitted. slowdown, unless nil, returns how many times as long a run
	// takes on a worker, and is told of each start.
	shape    func(q *loadQueue, step *mill.Step)
	slowdown func(run mill.RunRef, step *mill.Step, w *loadWorker) float64
	// countFrom is when the jobs are submitted whose times count.
	countFrom time.Time
	// admit decides on a submission and names its tenant; nil where there are no tenants.
	admit func(q *loadQueue, submit *jobs.Submit) (tenant *loadTenant, admitted bool)
}

func newLoadSimulation(seed uint64) *loadSimulation {
	return newLoadSimulationOf(seed, loadQueues(), 0, (*loadSimulation).addLoadWorkers)
}

// newLoadSimulationOf returns a leader under the load of some queues on the workers that a function adds.
func newLoadSimulationOf(
	seed uint64, queues []*loadQueue, farFactor float64, addWorkers func(l *loadSimulation),
) *loadSimulation {
	l := &loadSimulation{
		now:      simStart,
		planTime: loadPlanTime,
		random:   rand.New(rand.NewPCG(seed, seed)),
		state:    jobs.NewState(),
		queues:   queues,
		workers:  make(map[string]*loadWorker),
		jobs:     make(map[string]*loadJob),
	}

	setup := &mill.Setup{Version: 1, Services: []mill.Service{{Name: "small"}, {Name: "large"}}}
	for _, q := range l.queues {
		setup.Queues = append(setup.Queues, q.Queue)
	}

	l.state.Apply(&jobs.Command{Setup: setup})

	bounds := Bounds{
		MaxLease: 10 * time.Second, GangTimeout: 5 * time.Second, MaxStopTime: 900 * time.Millisecond, FarFactor: farFactor,
	}
	l.scheduler = New(bounds, 1, l.now, l.state, place.Pack{})

	addWorkers(l)
	l.registerAddresses()

	for _, q := range l.queues {
		l.arrive(q)
	}

	return l
}

// addLoadWorkers adds the workers of the large deployment.
func (l *loadSimulation) addLoadWorkers() {
	for i := range 792 {
		l.addSmallWorker(fmt.Sprintf("s%03d", i), i)
	}

	for i := range 308 {
		l.addLargeWorker(fmt.Sprintf("l%03d", i))
	}
}

func (l *loadSimulation) addSmallWorker(id string, number int) *loadWorker {
	halves := []int64{2, 2, 1, 4}[number%4]

	return l.addWorker(id, "small", mill.Resources{MilliCores: 8000 * halves, MemoryMiB: 32768 * halves})
}

func (l *loadSimulation) addLargeWorker(id string) *loadWorker {
	return l.addWorker(id, "large", mill.Resources{MilliCores: 64000, MemoryMiB: 262144, Accelerators: 8})
}

func (l *loadSimulation) addWorker(id, service string, capacity mill.Resources) *loadWorker {
	w := &loadWorker{
		status:  mill.WorkerStatus{ID: id, Service: service, Address: id, Capacity: capacity},
		running: make(map[mill.TaskID]mill.RunStatus),
	}
	l.workers[id] = w
	l.after(time.Duration(l.random.Int64N(int64(loadReportInterval))), func() { l.report(w) })

	return w
}

func (l *loadSimulation) registerAddresses() {
	now := l.now

	l.update(func() {
		for i := range loadAddresses {
			l.scheduler.AdvisorReachable(fmt.Sprintf("front%d", i), now)
		}
	})
	l.after(time.Second, l.registerAddresses)
}

func (l *loadSimulation) after(delay time.Duration, do func()) {
	l.number++
	heap.Push(&l.events, loadEvent{at: l.now.Add(delay), number: l.number, do: do})
}

func (l *loadSimulation) update(do func()) {
	l.updates = append(l.updates, do)
}

// clockMilli returns the clock of every worker.
func (l *loadSimulation) clockMilli() int64 {
	return l.now.Sub(simStart).Milliseconds() + 1
}

func (l *loadSimulation) accepted() mill.OrderReply {
	return mill.OrderReply{Outcome: mill.OutcomeAccepted, ClockMilli: l.clockMilli()}
}

func (l *loadSimulation) report(w *loadWorker) {
	if w.lost {
		return
	}

	w.status.Sequence++
	w.status.ClockMilli = l.clockMilli()
	status, at := w.status, l.now

	l.update(func() { l.scheduler.Report(&status, at) })
	l.after(loadReportInterval, func() { l.report(w) })
}

func (l *loadSimulation) arrive(q *loadQueue) {
	l.after(time.Duration(l.random.ExpFloat64()/q.perSecond*float64(time.Second)), func() {
		l.submit(q)
		l.arrive(q)
	})
}

// spread returns a random amount with the given mean, up to twice as much.
func (l *loadSimulation) spread(mean float64) float64 {
	return mean * (l.random.Float64() + l.random.Float64())
}

func (l *loadSimulation) submit(q *loadQueue) {
	id := fmt.Sprintf("%s%d", q.Name, len(l.jobs))
	steps := 1 + int(q.steps-1+l.random.Float64())
	work := mill.Workload{}
	chain := time.Duration(0)

	for index := range steps {
		run := time.Duration(l.spread(float64(q.runTime)))
		step := mill.Step{
			Count: max(1, int(l.spread(q.width))), PerTask: q.perTask, Gang: q.gang, LongRunning: q.stays > 0,
			Estimate:      time.Duration(float64(run) * (1 + q.estimateError*(l.random.Float64()-0.5))),
			Checkpointing: q.Priority > 0,
		}

		if index > 0 {
			step.After = []int{index - 1}
		}

		if l.shape != nil {
			l.shape(q, &step)
		}

		chain += step.Estimate
		work.Steps = append(work.Steps, step)
	}

	objective := time.Duration(q.Stretch*float64(chain)) + q.Objective + time.Duration(steps)*q.Advice.Cost(30)
	submitted := &loadJob{queue: q, due: l.now.Add(objective), counts: !l.countFrom.IsZero() && !l.now.Before(l.countFrom)}
	submit := &jobs.Submit{Job: id, Queue: q.Name, UnixMilli: l.now.UnixMilli(), Work: work}

	if l.admit != nil {
		tenant, admitted := l.admit(q, submit)
		if !admitted {
			return
		}

		submitted.tenant = tenant
	}

	l.state.Apply(&jobs.Command{Submit: submit})
	l.jobs[id] = submitted

	if q.stays > 0 {
		l.after(q.stays, func() { l.state.Apply(&jobs.Command{Cancel: &jobs.Cancel{Job: id}}) })
	}
}

// runUntil simulates until a time with a leader that schedules.
func (l *loadSimulation) runUntil(end time.Time) {
	for next := l.now; next.Before(end); {
		l.handleEvents(next)

		next = next.Add(l.schedule())
	}

	l.handleEvents(end)
}

// outage simulates until a time without plans or orders.
func (l *loadSimulation) outage(end time.Time) {
	l.handleEvents(end)
}

func (l *loadSimulation) handleEvents(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		event := heap.Pop(&l.events).(loadEvent)
		l.now = event.at
		event.do()
	}

	l.now = end
}

// schedule plans or dispatches, as a runner does, and returns the time until the next time.
func (l *loadSimulation) schedule() time.Duration {
	for _, update := range l.updates {
		update()
	}

	l.updates = nil

	var actions Actions

	took := loadDispatchTime

	if l.cadence.planDue(l.now) {
		actions = l.scheduler.Next(l.now, l.now.UnixMilli(), l.state)
		took = l.planTime + time.Duration(l.scheduler.examinedWorkers)*loadWorkerTime
		l.cadence.planned(l.now, took)
	} else {
		actions = l.scheduler.Dispatch(l.now)
	}

	sortActions(&actions)
	l.scheduler.TakeEvents()
	l.after(took, func() { l.perform(&actions) })

	return took + restAfter(took)
}

func (l *loadSimulation) perform(actions *Actions) {
	if commands := actions.Commands; len(commands) > 0 {
		l.after(loadCommitTime, func() { l.commit(commands) })
	}

	for i := range actions.Starts {
		l.after(loadOrderTime, func() { l.start(&actions.Starts[i]) })
	}

	for i := range actions.Stops {
		l.after(loadOrderTime, func() { l.stop(&actions.Stops[i]) })
	}

	sentAt := l.now
	for i := range actions.Renews {
		l.after(loadOrderTime, func() { l.renew(&actions.Renews[i], sentAt) })
	}

	for i := range actions.AdviceRequests {
		l.advise(&actions.AdviceRequests[i])
	}
}

func (l *loadSimulation) commit(commands []jobs.Command) {
	results := make([]jobs.Result, 0, len(commands))

	for i := range commands {
		results = append(results, l.state.Apply(&commands[i]))

		if finish := commands[i].Finish; finish != nil {
			l.count(finish.Task.Job)
		}
	}

	l.update(func() { l.scheduler.Committed(commands, results, nil, l.now) })
}

// count counts a job if it is complete now.
func (l *loadSimulation) count(id string) {
	submitted := l.jobs[id]

	job, ok := l.state.Job(id)
	if !ok || job.Outcome != mill.JobCompleted || !submitted.counts {
		return
	}

	submitted.counts = false

	submitted.record(!l.now.After(submitted.due))
}

// record counts the job as complete in time or late.
func (j *loadJob) record(inTime bool) {
	if j.tenant != nil {
		j.tenant.record(inTime)
	}

	if inTime {
		j.queue.inTime++
	} else {
		j.queue.late++
	}
}

// countOverdue counts the jobs that should be complete by now and are not.
func (l *loadSimulation) countOverdue() {
	for _, submitted := range l.jobs {
		if submitted.counts && submitted.queue.stays == 0 && l.now.After(submitted.due) {
			submitted.record(false)
		}
	}
}

func (l *loadSimulation) start(start *Start) {
	w := l.workers[start.To.ID]
	if w.lost {
		l.update(func() { l.scheduler.StartAnswered(start, mill.OrderReply{Outcome: mill.OutcomeUnreachable}, l.now) })

		return
	}

	run := mill.RunRef{Task: start.Order.Task, Run: start.Order.Run}
	w.running[run.Task] = mill.RunStatus{RunRef: run, Percent: fullPercent}

	job, ok := l.state.Job(run.Task.Job)
	if ok && l.jobs[run.Task.Job].queue.stays == 0 && !job.Finished() {
		step := &job.Work.Steps[run.Task.Step]
		// The lengths do not depend on the order of the starts, so that policies can be compared on the same jobs.
		length := time.Duration(float64(step.Estimate) * (0.8 + 0.004*float64(percentOf(run.Task.String()))))

		if l.slowdown != nil {
			length = time.Duration(float64(length) * l.slowdown(run, step, w))
		}

		l.after(length, func() { l.finish(w, run, mill.FinishDone) })
	}

	reply := l.accepted()
	l.after(loadOrderTime, func() { l.update(func() { l.scheduler.StartAnswered(start, reply, l.now) }) })
}

func (l *loadSimulation) stop(stop *Stop) {
	w := l.workers[stop.To.ID]
	if w.lost {
		return
	}

	l.after(loadStopTime, func() { l.finish(w, stop.Run, mill.FinishStopped) })

	reply := l.accepted()
	l.after(loadOrderTime, func() { l.update(func() { l.scheduler.StopAnswered(stop, reply, l.now) }) })
}

func (l *loadSimulation) finish(w *loadWorker, run mill.RunRef, cause mill.FinishCause) {
	if status, ok := w.running[run.Task]; !ok || status.Run != run.Run || w.lost {
		return
	}

	delete(w.running, run.Task)
	w.number++
	w.finished = append(w.finished, mill.FinishedRun{RunRef: run, Number: w.number, Cause: cause})
	l.answerRenewal(w)
}

func (l *loadSimulation) renew(renewal *Renew, sentAt time.Time) {
	w := l.workers[renewal.To.ID]
	if w.lost {
		reply := &mill.RenewReply{OrderReply: mill.OrderReply{Outcome: mill.OutcomeUnreachable}}
		l.update(func() { l.scheduler.RenewAnswered(renewal, reply, sentAt, l.now) })

		return
	}

	w.renewal, w.sentAt = renewal, sentAt

	for len(w.finished) > 0 && w.finished[0].Number <= renewal.Order.Acknowledged {
		w.finished = w.finished[1:]
	}

	if renewal.Order.Wait == 0 || len(w.finished) > 0 {
		l.answerRenewal(w)

		return
	}

	l.after(renewal.Order.Wait, func() {
		if w.renewal == renewal {
			l.answerRenewal(w)
		}
	})
}

func (l *loadSimulation) answerRenewal(w *loadWorker) {
	renewal, sentAt := w.renewal, w.sentAt
	if renewal == nil || w.lost {
		return
	}

	w.renewal = nil
	reply := &mill.RenewReply{OrderReply: l.accepted(), Finished: append([]mill.FinishedRun(nil), w.finished...)}

	for _, status := range w.running {
		if l.jobs[status.Task.Job].queue.stays == 0 {
			status.Percent = float64(l.clockMilli()) // A run that makes progress.
		}

		reply.Running = append(reply.Running, status)
	}

	slices.SortFunc(reply.Running, func(a, b mill.RunStatus) int { return a.Task.Compare(b.Task) })

	l.after(loadOrderTime, func() { l.update(func() { l.scheduler.RenewAnswered(renewal, reply, sentAt, l.now) }) })
}

func (l *loadSimulation) advise(request *AdviceRequest) {
	q := l.jobs[request.Step.Job].queue

	l.after(loadAdviceTime+q.Advice.Cost(len(request.Workers)), func() {
		reply := &mill.Advice{Validity: q.Advice.Validity}

		for _, id := range request.Workers {
			if percentOf(request.Step.String()+id) < q.allowedPercent {
				reply.Tickets = append(reply.Tickets, mill.Ticket{Worker: id, Text: "t"})
			}
		}

		l.update(func() { l.scheduler.AdviceAnswered(request, reply, l.now) })
	})
}

// percentOf returns a number below 100 that follows from a text.
func percentOf(text string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(text))

	return hash.Sum32() % 100
}
