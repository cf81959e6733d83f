package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
)

// healRounds is enough rounds for failure detection, a new epoch, catch-up and the admission of three replicas.
const healRounds = 200

// TestFuzzCommittedStays injects crashes, freezes, network partitions, lost
// disks, lost and duplicated messages, and delayed epochs. It checks that no two
// replicas commit different entries at an index, and that the ledger recovers
// once the faults end.
func TestFuzzCommittedStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, map[string]bool{"a": true, "b": true, "c": false})
		c.heal(rapid.IntRange(0, 40).Draw(t, "start"))

		act := &actions{c: c, name: rapid.SampledFrom(c.names)}

		t.Repeat(map[string]func(*rapid.T){
			"propose":      act.propose,
			"proposeAgain": act.propose,
			"rounds":       act.rounds,
			"moreRounds":   act.rounds,
			"partial":      act.partialRounds,
			"morePartial":  act.partialRounds,
			"deliver":      act.deliver,
			"duplicate":    act.duplicate,
			"drop":         act.drop,
			"wait":         act.wait,
			"ask":          act.proposeEpoch,
			"learnLate":    act.setOldEpoch,
			"handOver":     act.handOver,
			"kill":         act.kill,
			"restart":      act.restart,
			"crashSoon":    act.crashSoon,
			"loseDisk":     act.loseDisk,
			"freeze":       act.freeze,
			"thaw":         act.thaw,
			"cut":          act.cut,
			"isolate":      act.isolate,
			"mend":         act.heal,
		})

		c.checkRecovery()
	})
}

// checkRecovery ends all faults and expects a new entry to be committed, unless
// every replica of the latest epoch has lost its content.
func (c *cluster) checkRecovery() {
	c.heal(healRounds)

	if !c.recoverable() {
		return
	}

	primary := c.primary()
	if primary == nil {
		c.t.Fatalf("no primary after the faults have ended: %s", c.describe())
	}

	before := primary.replica.CommitIndex()
	c.sequence++

	if !c.propose(primary.name, newBegin(c.sequence)) {
		c.t.Fatalf("the primary rejected a proposal after the faults have ended")
	}

	for range 10 {
		c.round()
	}

	if primary.replica.CommitIndex() <= before {
		c.t.Fatalf("nothing is committed after the faults have ended: commit %d, last %d, epoch %+v",
			before, primary.replica.log.last(), primary.replica.Epoch())
	}
}

func newBegin(sequence uint64) Command {
	return Command{Begin: &Begin{
		Key:     fmt.Sprintf("key%d", sequence),
		Attempt: Attempt{Owner: "entry", Incarnation: 1, Sequence: sequence},
	}}
}

// TestRestartCatchesUpBySnapshot checks that a restarted replica catches up by
// snapshot after the entries that it missed were discarded from the primary's log.
func TestRestartCatchesUpBySnapshot(t *testing.T) {
	c := newCluster(t, map[string]bool{"a": true, "b": true})
	c.heal(healRounds)

	primary := c.primary()
	assert.Assert(t, primary != nil)

	other := "b"
	if primary.name == "b" {
		other = "a"
	}

	c.stop(other)

	for range compactEntries + retainedEntries + 100 {
		c.sequence++
		c.propose(primary.name, newBegin(c.sequence))

		if c.sequence%50 == 0 {
			c.round()
		}
	}

	c.heal(healRounds)
	assert.Assert(t, c.primary().replica.log.base > 0)
	assert.Equal(t, c.replicas[other].replica.CommitIndex(), c.primary().replica.CommitIndex())
}

// roundCounts ranges from a moment to longer than the timeouts after which replicas suspect each other.
var roundCounts = rapid.SampledFrom([]int{1, 2, 4, 8, 20, 40})

var masks = []int{0, 1, 2, 3, 4, 5, 6, allReplicas}

// actions draws the actions of a fuzz test.
type actions struct {
	c    *cluster
	name *rapid.Generator[string]
}

func (a *actions) propose(t *rapid.T) {
	leaders := a.c.leaders()
	if len(leaders) == 0 {
		return
	}

	primary := rapid.SampledFrom(leaders).Draw(t, "leader")

	for range rapid.IntRange(1, 4).Draw(t, "count") {
		a.c.sequence++
		a.c.propose(primary, newBegin(a.c.sequence))
	}
}

func (a *actions) rounds(t *rapid.T) {
	for range roundCounts.Draw(t, "rounds") {
		a.c.round()
	}
}

func (a *actions) partialRounds(t *rapid.T) {
	proposers := rapid.SampledFrom(masks).Draw(t, "asks")
	receivers := rapid.SampledFrom(masks).Draw(t, "learns")

	for range roundCounts.Draw(t, "rounds") {
		a.c.partialRound(proposers, receivers)
	}
}

func (a *actions) deliver(t *rapid.T) {
	if a.c.network.Len() > 0 {
		a.c.deliver(rapid.IntRange(0, a.c.network.Len()-1).Draw(t, "at"), false)
	}
}

func (a *actions) duplicate(t *rapid.T) {
	if a.c.network.Len() > 0 {
		a.c.deliver(rapid.IntRange(0, a.c.network.Len()-1).Draw(t, "at"), true)
	}
}

func (a *actions) drop(t *rapid.T) {
	if a.c.network.Len() > 0 {
		at := rapid.IntRange(0, a.c.network.Len()-1).Draw(t, "at")
		a.c.network.Drop(at)
	}
}

func (a *actions) wait(t *rapid.T) {
	name := a.name.Draw(t, "name")

	for range rapid.IntRange(1, 25).Draw(t, "ticks") {
		a.c.tick(name)
	}
}

func (a *actions) proposeEpoch(t *rapid.T) {
	a.c.proposeEpoch(a.name.Draw(t, "name"), rapid.Bool().Draw(t, "lost"))
}

func (a *actions) setOldEpoch(t *rapid.T) {
	a.c.setEpoch(a.name.Draw(t, "name"), rapid.IntRange(0, 3).Draw(t, "back"))
}

func (a *actions) handOver(*rapid.T) {
	for _, name := range a.c.leaders() {
		r := a.c.replicas[name]
		r.replica.TransferPrimary()
		a.c.processOutput(r)
	}
}

func (a *actions) kill(t *rapid.T) { a.c.stop(a.name.Draw(t, "name")) }

// restart opens a replica that is down. Half the time it then sets an epoch that
// may be out of date, as a control log server that lags would.
func (a *actions) restart(t *rapid.T) {
	name := a.name.Draw(t, "name")
	if a.c.replicas[name].replica != nil {
		return
	}

	a.c.start(name)

	if rapid.Bool().Draw(t, "learns") {
		a.c.setEpoch(name, rapid.IntRange(0, 5).Draw(t, "back"))
	}
}

func (a *actions) crashSoon(t *rapid.T) {
	points := []fakes.CrashPoint{fakes.CrashBeforeSave, fakes.CrashAfterSave}
	a.c.replicas[a.name.Draw(t, "name")].crash = rapid.SampledFrom(points).Draw(t, "point")
}

func (a *actions) loseDisk(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "seldom") == 0 {
		a.c.loseDisk(a.name.Draw(t, "name"))
	}
}

func (a *actions) freeze(t *rapid.T) { a.c.replicas[a.name.Draw(t, "name")].frozen = true }
func (a *actions) thaw(t *rapid.T)   { a.c.replicas[a.name.Draw(t, "name")].frozen = false }
func (a *actions) heal(*rapid.T)     { a.c.network.Heal() }

func (a *actions) cut(t *rapid.T) {
	a.c.network.Cut(a.name.Draw(t, "from"), a.name.Draw(t, "to"))
}

func (a *actions) isolate(t *rapid.T) {
	name := a.name.Draw(t, "name")

	a.c.network.Isolate(name, a.c.names)
}
