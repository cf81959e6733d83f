package lead

import (
	"time"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// simCloseEnds and simDistantEnds are how far apart the ends of a failing gang's members are at the most: little, or
	// so far that orders to stop arrive between them.
	simCloseEnds   = 100 * time.Millisecond
	simDistantEnds = time.Second
)

// gangFaults is the probability, in percent, of what happens between the ends of a failing gang's members: an executor
// crashes, the lease of one expires, or the leader changes.
type gangFaults struct {
	crash    int
	lapse    int
	takeover int
}

// memberEnd is when and how a member of a failing gang ends.
type memberEnd struct {
	at    time.Time
	cause mill.FinishCause
}

// runFails reports whether a run always fails, whichever executor it is on.
func (sim *simulation) runFails(run mill.RunRef) bool {
	return sim.failingJobs[run.Task.Job] || run.Run <= sim.failingRuns[run.Task.Job]
}

// failGang decides how the members of a gang's run end of which one fails: some of those that can fail do so, and the others
// end because of them.
func (sim *simulation) failGang(a *execution) {
	members := sim.gangMembers(a)
	sim.failMembers(members)

	for _, member := range members {
		if member.end == nil {
			member.end = &memberEnd{at: sim.now.Add(sim.gap("broken")), cause: mill.FinishGangMemberLost}
		}
	}

	at := members[sim.choose("member", len(members))]

	if sim.chance("crash in gang", sim.gangFaults.crash) {
		sim.crashWithin(sim.holder(at), simDistantEnds)
	}

	if sim.chance("lapse in gang", sim.gangFaults.lapse) {
		sim.expireLease(sim.holder(at))
	}

	if sim.chance("takeover in gang", sim.gangFaults.takeover) {
		sim.takeOver(members)
	}

	for _, member := range members {
		if !member.end.at.After(sim.now) {
			sim.holder(member).finish(member, member.end.cause)
		}
	}
}

// failMembers has one or more members of a gang fail, the first one now.
func (sim *simulation) failMembers(members []*execution) {
	var failing []*execution

	for _, member := range members {
		if member.fails {
			failing = append(failing, member)
		}
	}

	first := failing[sim.choose("first", len(failing))]
	first.end = &memberEnd{at: sim.now, cause: mill.FinishFailed}

	all := sim.choose("all fail", 3) == 0

	for _, member := range failing {
		if member != first && (all || sim.flip("fails too")) {
			member.end = &memberEnd{at: sim.now.Add(sim.gap("failed")), cause: mill.FinishFailed}
		}
	}
}

// gap draws how long after the first member of a failing gang another one ends.
func (sim *simulation) gap(name string) time.Duration {
	switch sim.choose(name+" apart", 4) {
	case 0:
		return sim.within(name, simDistantEnds)
	case 1:
		return sim.within(name, simCloseEnds)
	default:
		return 0
	}
}

// within draws a time of one step to the given limit.
func (sim *simulation) within(name string, limit time.Duration) time.Duration {
	return time.Duration(1+sim.choose(name, int(limit/simStep))) * simStep
}

// holder returns the executor on which a run is active.
func (sim *simulation) holder(a *execution) *executor {
	for _, e := range sim.executors {
		if e.running[a.ref.Task] == a {
			return e
		}
	}

	sim.t.Fatalf("%s: run %d of %s is active nowhere", sim.elapsed(), a.ref.Run, a.ref.Task)

	return nil
}

// crashWithin crashes an executor within a span of time, and has it come back.
func (sim *simulation) crashWithin(e *executor, span time.Duration) {
	incarnation := e.startedAt

	sim.after(sim.within("crash", span), func() {
		if e.up && e.startedAt.Equal(incarnation) {
			e.crash()
			sim.after(2*minRestartTime, e.comeBack)
		}
	})
}

// expireLease has no orders reach an executor until its lease has expired. The members of failing gangs on it do not end
// before that, unless they fail themselves.
func (sim *simulation) expireLease(e *executor) {
	const length = simMaxLease + 2*time.Second

	e.mute = true

	for _, a := range e.running {
		if a.end != nil && a.end.cause != mill.FinishFailed {
			a.end.at = sim.now.Add(length)
		}
	}

	sim.after(length, func() { e.mute = false })
}

// takeOver changes the leader before the members of a failing gang can be stopped. Some of them fail after that, or their
// ends are not read before.
func (sim *simulation) takeOver(members []*execution) {
	at := simCloseEnds + sim.within("takeover", simStopTime-simCloseEnds)

	for _, member := range members {
		if member.end.cause != mill.FinishFailed {
			continue
		}

		switch e := sim.holder(member); sim.choose("beside takeover", 4) {
		case 0:
			member.end.at = sim.now.Add(at + sim.within("failed", simCloseEnds))
		case 1:
			e.mute = true
			sim.after(at, func() { e.mute = false })
		default:
		}
	}

	sim.after(at, sim.newLeader)
}
