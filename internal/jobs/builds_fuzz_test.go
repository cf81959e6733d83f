package jobs

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/oracle"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// attemptsOf returns the number of attempts of a queue, which its name holds.
func attemptsOf(queue string) int {
	return int(queue[0] - '0')
}

// gangsOf returns the steps of all occurrences of a job.
func gangsOf(job string, work *mill.Workload) []mill.StepID {
	var gangs []mill.StepID

	for occurrence := range work.Occurrences() {
		for step := range work.Steps {
			gangs = append(gangs, mill.StepID{Job: job, Occurrence: occurrence, Step: step})
		}
	}

	return gangs
}

// gangEnd is the end of a member's run, as its worker lists it.
type gangEnd struct {
	run   mill.RunRef
	cause mill.FinishCause
}

// knownRun is the run of a gang that a leader knows.
type knownRun struct {
	*GangRun

	number int
}

// proposed is a command that is not committed yet.
type proposed struct {
	command Command
	end     gangEnd
	// earlier says that a leader of an earlier build has proposed it.
	earlier bool
}

// builds plays replicas of this and of an earlier build, which apply the same commands of leaders of both builds.
type builds struct {
	replica *State
	earlier *earlierReplica
	work    map[string]mill.Workload
	queue   map[string]string
	// limit holds the number of attempts of the queue that a job belongs to, which may differ from that of the first queue of
	// the name; 0 for no limit.
	limit map[string]int
	// active holds the runs that have not ended, and listed the ends that workers list until they are committed.
	active  map[mill.TaskID]int
	listed  []gangEnd
	pending []proposed
	// earlierLeads says that the leader is of the earlier build. read holds the ends that it has read, and gangs the runs of
	// gangs that it knows.
	earlierLeads bool
	read         map[mill.RunRef]bool
	gangs        map[mill.StepID]*knownRun
	// ended counts the failed attempts by the ends of workers, and noted by those that are committed. ownFailures counts the
	// committed ones of each member, as far as the replica can know them.
	ended       oracle.Attempts
	noted       oracle.Attempts
	ownFailures map[mill.TaskID]int
	// uncertain holds the jobs that were open when the replica has loaded data of the earlier build.
	uncertain map[string]bool
	// endedByEarlier holds the gangs of which the last end was proposed by a leader of the earlier build.
	endedByEarlier map[mill.StepID]bool
}

// TestFuzzBuildsAgree lets members of gangs fail together under leaders of this and of an earlier build in turn.
func TestFuzzBuildsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &builds{
			replica:     NewState(),
			earlier:     &earlierReplica{jobs: make(map[string]*earlierJob)},
			work:        make(map[string]mill.Workload),
			queue:       make(map[string]string),
			limit:       make(map[string]int),
			active:      make(map[mill.TaskID]int),
			read:        make(map[mill.RunRef]bool),
			gangs:       make(map[mill.StepID]*knownRun),
			ownFailures: make(map[mill.TaskID]int),
			uncertain:   make(map[string]bool),

			endedByEarlier: make(map[mill.StepID]bool),
		}

		s := &mill.Setup{Version: 1, Services: []mill.Service{{Name: "pool"}}}
		for attempts := 1; attempts <= 4; attempts++ {
			name := fmt.Sprint(attempts)
			s.Queues = append(s.Queues, mill.Queue{Name: name, Prefix: name, Service: "pool", MaxAttempts: attempts, Timeout: 1})
		}

		for limit := 0; limit <= 4; limit++ {
			for _, first := range s.Queues[:4] {
				first.Prefix, first.MaxAttempts = routeOf(first.Name, limit), limit
				s.Queues = append(s.Queues, first)
			}
		}

		b.replica.Apply(&Command{Setup: s})
		b.submit(t)

		t.Repeat(map[string]func(*rapid.T){
			"submit": b.submit,
			"place":  func(t *rapid.T) { b.place(t, b.gang(t)) },
			"run":    b.run,
			"end":    func(t *rapid.T) { b.end(t, b.gang(t), rapid.Bool().Draw(t, "together")) },
			"read":   b.readEnd,
			"reads":  b.readEnd,
			"late":   b.proposeAgain,
			"commit": b.commitSome,
			"lose":   b.loseEnd,
			"lead":   b.lead,
			"reload": func(t *rapid.T) { b.load(t, false) },
			"load":   func(t *rapid.T) { b.load(t, true) },
			"":       b.check,
		})
	})
}

func (b *builds) submit(t *rapid.T) {
	if len(b.work) == 3 {
		t.Skip("enough jobs")
	}

	job := fmt.Sprintf("job%d", len(b.work))
	work := mill.Workload{Steps: make([]mill.Step, rapid.IntRange(1, 2).Draw(t, "steps"))}
	work.Repeat.Times = rapid.SampledFrom([]int{0, 0, 2}).Draw(t, "times")

	for i := range work.Steps {
		work.Steps[i] = mill.Step{Count: rapid.IntRange(1, 4).Draw(t, "members"), Gang: true}
	}

	b.work[job] = work
	b.queue[job] = rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "attempts")
	tenant := rapid.SampledFrom([]string{"", "t"}).Draw(t, "tenant")
	b.limit[job] = attemptsOf(b.queue[job])
	submit := &Submit{Job: job, Queue: b.queue[job], Work: work, Tenant: tenant}

	if rapid.IntRange(0, 2).Draw(t, "other queue of the name") == 0 {
		b.limit[job] = rapid.IntRange(0, 4).Draw(t, "limit")
		submit.Route = &SelectedRoute{Prefix: routeOf(b.queue[job], b.limit[job])}
	}

	b.apply(&Command{Submit: submit})
}

// routeOf returns the prefix of a queue that shares its name with another and has a limit of its own.
func routeOf(queue string, limit int) string {
	return fmt.Sprint(queue, "/", limit)
}

func (b *builds) apply(command *Command) Result {
	b.earlier.apply(command)

	return b.replica.Apply(command)
}

func (b *builds) gang(t *rapid.T) mill.StepID {
	job := fmt.Sprintf("job%d", rapid.IntRange(0, len(b.work)-1).Draw(t, "job"))
	work := b.work[job]

	return rapid.SampledFrom(gangsOf(job, &work)).Draw(t, "gang")
}

func (b *builds) members(id mill.StepID) int {
	work := b.work[id.Job]

	return work.Steps[id.Step].Count
}

// place commits what is proposed and places a gang whose earlier run is over.
func (b *builds) place(t *rapid.T, id mill.StepID) {
	b.commit(t, len(b.pending))

	job, _ := b.replica.Job(id.Job)
	if job.Finished() || slices.ContainsFunc(b.listed, func(end gangEnd) bool { return end.run.Task.StepID == id }) {
		return
	}

	number := 1

	for index := range b.members(id) {
		_, task := job.Task(id.Task(index))
		if task != nil && task.Phase != TaskPending {
			return
		}

		if task != nil {
			number = max(number, task.Run+1)
		}
	}

	b.gangs[id] = &knownRun{GangRun: NewGangRun(job, id, number), number: number}

	for index := range b.members(id) {
		task := id.Task(index)
		assert.Equal(t, b.apply(&Command{Place: &Place{Task: task, Run: number, Worker: fmt.Sprint("w", index)}}), ResultApplied)
		b.active[task] = number
	}
}

// run places a gang, ends the whole run and has the leader read all ends.
func (b *builds) run(t *rapid.T) {
	id := b.gang(t)
	b.place(t, id)
	b.end(t, id, true)

	for _, end := range b.listed {
		b.readListed(end)
	}
}

// end ends some runs of a gang at the same moment, or all that have not ended. Their ends are listed in any order.
func (b *builds) end(t *rapid.T, id mill.StepID, together bool) {
	var ends []gangEnd

	for index := range b.members(id) {
		run, ok := b.active[id.Task(index)]
		if !ok || !together && rapid.Bool().Draw(t, "goes on") {
			continue
		}

		cause := rapid.SampledFrom([]mill.FinishCause{
			mill.FinishFailed, mill.FinishFailed, mill.FinishFailed, mill.FinishStopped, mill.FinishGangMemberLost,
			mill.FinishLeaseExpired, mill.FinishWorkerCrashed,
		}).Draw(t, "cause")
		ends = append(ends, gangEnd{run: mill.RunRef{Task: id.Task(index), Run: run}, cause: cause})

		delete(b.active, id.Task(index))
	}

	if together && len(ends) == b.members(id) && rapid.IntRange(0, 3).Draw(t, "done") == 0 {
		for i := range ends {
			ends[i].cause = mill.FinishDone
		}
	}

	for _, ended := range ends {
		if ended.cause == mill.FinishFailed {
			b.ended.RecordFailed(ended.run, true)
		}
	}

	if len(ends) > 0 {
		b.listed = append(b.listed, rapid.Permutation(ends).Draw(t, "order")...)
	}
}

// readEnd has the leader read an end that is listed, and propose it.
func (b *builds) readEnd(t *rapid.T) {
	if len(b.listed) == 0 {
		t.Skip("no end is listed")
	}

	b.readListed(rapid.SampledFrom(b.listed).Draw(t, "end"))
}

func (b *builds) readListed(end gangEnd) {
	if known := b.gangs[end.run.Task.StepID]; b.read[end.run] || known == nil || known.number != end.run.Run {
		return
	}

	b.read[end.run] = true
	b.propose(end)
}

func (b *builds) propose(end gangEnd) {
	finished := &Finish{Task: end.run.Task, Run: end.run.Run, Cause: end.cause}

	if !b.earlierLeads {
		b.gangs[end.run.Task.StepID].Amend(finished)
	}

	b.pending = append(b.pending, proposed{command: Command{Finish: finished}, end: end, earlier: b.earlierLeads})
}

// proposeAgain drops a command that was never proposed, because too many were, and proposes it again later.
func (b *builds) proposeAgain(t *rapid.T) {
	if len(b.pending) == 0 {
		t.Skip("nothing is proposed")
	}

	at := rapid.IntRange(0, len(b.pending)-1).Draw(t, "at")
	end := b.pending[at].end
	b.pending = slices.Delete(b.pending, at, at+1)

	if rapid.Bool().Draw(t, "soon") {
		b.propose(end)
	} else {
		delete(b.read, end.run)
	}
}

func (b *builds) commitSome(t *rapid.T) {
	b.commit(t, rapid.IntRange(0, len(b.pending)).Draw(t, "entries"))
}

func (b *builds) commit(t *rapid.T, count int) {
	for _, p := range b.pending[:count] {
		before := b.outcome(p.end.run.Task.Job)
		result := b.apply(&p.command)

		if result == ResultApplied {
			b.recordEnd(p.end, p.earlier)
			b.endedByEarlier[p.end.run.Task.StepID] = p.earlier
		}

		b.listed = slices.DeleteFunc(b.listed, func(end gangEnd) bool { return end.run == p.end.run })

		if before == "" && b.outcome(p.end.run.Task.Job) == mill.JobFailed && !p.earlier {
			assert.Assert(t, b.outOfAttempts(p.end.run.Task.Job, &b.ended), "a job fails with attempts left")
		}
	}

	b.pending = slices.Clone(b.pending[count:])
}

func (b *builds) recordEnd(end gangEnd, earlier bool) {
	if end.cause == mill.FinishFailed {
		// A leader of the earlier build goes by the first queue of the name.
		job := end.run.Task.Job
		b.uncertain[job] = b.uncertain[job] || earlier && b.limit[job] != attemptsOf(b.queue[job])

		b.noted.RecordFailed(end.run, true)
		b.ownFailures[end.run.Task]++
	}
}

func (b *builds) outcome(job string) mill.JobState {
	found, _ := b.replica.Job(job)

	return found.Outcome
}

// outOfAttempts reports whether a gang of the job has failed as often as its queue allows.
func (b *builds) outOfAttempts(job string, attempts *oracle.Attempts) bool {
	work := b.work[job]

	return slices.ContainsFunc(gangsOf(job, &work), func(id mill.StepID) bool {
		return reaches(b.limit[job], attempts.Failed(id.Task(0), true))
	})
}

// loseEnd has a worker end before any leader has read that a run has failed there.
func (b *builds) loseEnd(t *rapid.T) {
	if len(b.listed) == 0 {
		t.Skip("no end is listed")
	}

	lost := rapid.SampledFrom(b.listed).Draw(t, "lost")
	if b.read[lost.run] || lost.cause == mill.FinishDone {
		return
	}

	for i := range b.listed {
		if b.listed[i].run == lost.run {
			b.listed[i].cause = mill.FinishLeaseExpired
		}
	}
}

// lead begins a term. What the leader before has proposed is committed up to some entry, and the rest is lost.
func (b *builds) lead(t *rapid.T) {
	b.commitSome(t)

	b.earlierLeads = rapid.Bool().Draw(t, "earlier build")
	b.inherit()
}

// inherit has a new leader take over the runs that may be active.
func (b *builds) inherit() {
	b.pending = nil
	clear(b.read)
	clear(b.gangs)

	for id, job := range b.replica.OpenJobs() {
		for _, gang := range gangsOf(id, &job.Work) {
			for index := range job.Work.Steps[gang.Step].Count {
				if _, task := job.Task(gang.Task(index)); task != nil && task.Phase == TaskPlaced {
					b.gangs[gang] = &knownRun{GangRun: NewGangRun(job, gang, task.Run), number: task.Run}
				}
			}
		}
	}
}

// load loads the replica's snapshot, or that of a replica of the earlier build.
func (b *builds) load(t *rapid.T, earlier bool) {
	data, err := b.replica.Save()
	assert.NilError(t, err)

	if earlier {
		data = b.withoutAttempts(t, data)
	}

	next := NewState()
	assert.NilError(t, next.Load(data))

	b.replica = next

	if earlier {
		b.inherit() // A process that loads a snapshot of another one has not led until then.
	}
}

// withoutAttempts removes from a snapshot what an earlier build does not store.
func (b *builds) withoutAttempts(t *rapid.T, data []byte) []byte {
	var stored snapshot

	assert.NilError(t, wire.Decode(data, &stored))

	stored.Ending = nil

	for id, job := range stored.Jobs {
		b.uncertain[id] = true
		b.limit[id] = attemptsOf(b.queue[id])
		job.Route = nil

		for number, occurrence := range job.Occurrences {
			for i := range occurrence.Steps {
				step := &occurrence.Steps[i]
				step.FailedRuns, step.EarlierAttempts = nil, 0

				for at := range step.Tasks {
					step.Tasks[at].UncountedFailures = 0
					b.ownFailures[mill.StepID{Job: id, Occurrence: number, Step: i}.Task(at)] = step.Tasks[at].Failures
				}
			}
		}
	}

	data, err := wire.Encode(&stored)
	assert.NilError(t, err)

	return data
}

func (b *builds) check(t *rapid.T) {
	for _, ending := range b.replica.EndingRuns() {
		_, placed := b.active[ending.Task]
		kept := placed || slices.ContainsFunc(b.listed, func(end gangEnd) bool { return end.run.Task == ending.Task })
		lost := b.uncertain[ending.Task.Job]
		assert.Assert(t, ending.Tenant == "t" && (kept || lost), "%s is kept after its end is committed", ending.Task)
	}

	for _, job := range slices.Sorted(maps.Keys(b.work)) {
		outcome := b.outcome(job)
		assert.Equal(t, outcome, b.earlier.jobs[job].outcome, "replicas hold different outcomes of %s", job)

		if outcome != "" || b.leftToEarlier(job) {
			continue
		}

		assert.Assert(t, b.uncertain[job] || !b.outOfAttempts(job, &b.noted), "%s is open without attempts left", job)

		for task, failures := range b.ownFailures {
			assert.Assert(t, task.Job != job || b.countsOtherwise(job) || !reaches(b.limit[job], failures),
				"%s has failed %d times", task, failures)
		}
	}
}

// countsOtherwise reports whether a leader of the earlier build has counted attempts of a job by another queue.
func (b *builds) countsOtherwise(job string) bool {
	return b.uncertain[job] && b.limit[job] != attemptsOf(b.queue[job])
}

// leftToEarlier reports whether a gang of the job ended last under a leader of the earlier build that does not know of all
// attempts: those of a run whose end that counts was lost with its leader and its worker.
func (b *builds) leftToEarlier(job string) bool {
	work := b.work[job]

	return slices.ContainsFunc(gangsOf(job, &work), func(id mill.StepID) bool {
		limit := b.limit[job]

		return reaches(limit, b.noted.Failed(id.Task(0), true)) && b.earlier.jobs[job].failures(id) < limit && b.endedByEarlier[id]
	})
}
