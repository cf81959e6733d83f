package raft

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
)

// healRounds is enough rounds for an election, catch-up and the promotion of every server to voter.
const healRounds = 400

// TestFuzzOneLog injects crashes, freezes, network partitions, lost disks, and
// lost and duplicated messages. It checks that no term has two leaders, that no
// two servers apply different entries at an index, and that the group recovers,
// with every server a voter, once the faults end.
func TestFuzzOneLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.SampledFrom(clusterSizes).Draw(t, "servers")...)
		c.heal(rapid.SampledFrom([]int{20, 150, 150, 150}).Draw(t, "start"))

		act := &actions{c: c, name: rapid.SampledFrom(c.names)}

		t.Repeat(map[string]func(*rapid.T){
			"propose":      act.propose,
			"proposeAgain": act.propose,
			"rounds":       act.rounds,
			"moreRounds":   act.rounds,
			"deliver":      act.deliver,
			"deliverMore":  act.deliver,
			"duplicate":    act.duplicate,
			"drop":         act.drop,
			"wait":         act.wait,
			"kill":         act.kill,
			"restart":      act.restart,
			"restartMore":  act.restart,
			"crashSoon":    act.crashSoon,
			"loseDisk":     act.loseDisk,
			"freeze":       act.freeze,
			"thaw":         act.thaw,
			"cut":          act.cut,
			"isolate":      act.isolate,
			"mend":         act.heal,
			"killLeader":   act.killLeader,
			"isolateLead":  act.isolateLeader,
			"proposeAlone": act.proposeAlone,
			"handOver":     act.handOver,
			"contest":      act.contest,
			"contestMore":  act.contest,
			"lag":          act.lag,
		})

		c.checkRecovery()
	})
}

// TestFuzzElections tests elections only: candidates with short logs, concurrent
// candidates, and servers that crash while they store a vote or an entry.
func TestFuzzElections(t *testing.T) {
	seeds.SetChecks(t, 3000)
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, "a", "b", "c")
		c.heal(150)

		act := &actions{c: c, name: rapid.SampledFrom(c.names)}

		t.Repeat(map[string]func(*rapid.T){
			"propose":      act.propose,
			"proposeAlone": act.proposeAlone,
			"lag":          act.lag,
			"contest":      act.contest,
			"win":          act.win,
			"winMore":      act.win,
			"crashSoon":    act.crashSoon,
			"restartAll":   act.restartAll,
			"rounds":       act.rounds,
			"mend":         act.heal,
		})

		c.checkRecovery()
	})
}

func (c *cluster) checkRecovery() {
	c.heal(healRounds)

	leading := c.leaders()
	if len(leading) != 1 {
		c.t.Fatalf("leaders %v after the faults have ended: %s", leading, c.describe())
	}

	node := c.servers[leading[0]].node
	if len(node.Membership().Servers) != len(c.names) {
		c.t.Fatalf("voters %v after the faults have ended", node.Membership())
	}

	before := node.CommitIndex()

	c.propose(leading[0])

	for range 10 {
		c.round()
	}

	for _, name := range c.names {
		if c.servers[name].node.CommitIndex() <= before {
			c.t.Fatalf("%s has commit %d, the leader had %d", name, c.servers[name].node.CommitIndex(), before)
		}
	}
}

// TestCatchesUpAfterHundredsOfChanges checks that a server catches up by snapshot
// after the entries that it missed were discarded from the leader's log.
func TestCatchesUpAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.heal(healRounds)

	leader := c.leaders()[0]
	behind := c.names[0]

	if behind == leader {
		behind = c.names[1]
	}

	c.stop(behind)

	for range 500 {
		c.propose(leader)
		c.round()
	}

	assert.Assert(t, c.servers[leader].node.log.base > 400)
	c.heal(healRounds)
	assert.Equal(t, c.servers[behind].node.CommitIndex(), c.servers[leader].node.CommitIndex())
	assert.DeepEqual(t, c.servers[behind].state.applied, c.servers[leader].state.applied)
}

// TestIsolatedServerDoesNotDisturb checks that a server that returns from a long
// network partition neither deposes the leader nor raises its term.
func TestIsolatedServerDoesNotDisturb(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.heal(healRounds)

	leader := c.leaders()[0]
	term := c.servers[leader].node.Term()
	alone := c.names[0]

	if alone == leader {
		alone = c.names[1]
	}

	c.network.Isolate(alone, c.names)

	for range healRounds {
		c.round()
	}

	c.heal(healRounds)
	assert.DeepEqual(t, c.leaders(), []string{leader})
	assert.Equal(t, c.servers[leader].node.Term(), term)
}

// TestEmptiedFolderIsAnotherVoter checks that a server that lost its data folder
// joins with a new identity. Under its old one it could vote twice in a term, or
// lack entries that it had acknowledged.
func TestEmptiedFolderIsAnotherVoter(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.heal(healRounds)

	lost := c.servers["b"].disk.Identity()
	c.loseDisk("b")
	c.heal(healRounds)

	membership := c.servers[c.leaders()[0]].node.Membership()
	assert.Equal(t, len(membership.Servers), 3)
	assert.Assert(t, !membership.Has(lost))
	assert.Assert(t, membership.Has(c.servers["b"].disk.Identity()))
}

var clusterSizes = [][]string{{"a", "b", "c"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e"}}

// actions draws the actions of a fuzz test.
type actions struct {
	c    *cluster
	name *rapid.Generator[string]
}

var roundCounts = rapid.SampledFrom([]int{1, 2, 4, 8, 20, 40})

func (a *actions) propose(t *rapid.T) {
	leading := a.c.leaders()
	if len(leading) == 0 {
		return
	}

	leader := rapid.SampledFrom(leading).Draw(t, "leader")

	for range rapid.IntRange(1, 4).Draw(t, "count") {
		a.c.propose(leader)
	}
}

func (a *actions) rounds(t *rapid.T) {
	for range roundCounts.Draw(t, "rounds") {
		a.c.round()
	}
}

func (a *actions) wait(t *rapid.T) {
	name := a.name.Draw(t, "name")

	for range roundCounts.Draw(t, "ticks") {
		a.c.tick(name)
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

func (a *actions) kill(t *rapid.T) { a.c.stop(a.name.Draw(t, "name")) }

func (a *actions) restart(t *rapid.T) {
	if name := a.name.Draw(t, "name"); a.c.servers[name].node == nil {
		a.c.start(name)
	}
}

func (a *actions) crashSoon(t *rapid.T) {
	points := []fakes.CrashPoint{fakes.CrashBeforeSave, fakes.CrashAfterSave}
	a.c.servers[a.name.Draw(t, "name")].crash = rapid.SampledFrom(points).Draw(t, "point")
}

func (a *actions) loseDisk(t *rapid.T) {
	if name := a.name.Draw(t, "name"); a.c.canLoseDisk(name) {
		a.c.loseDisk(name)
		a.c.start(name)
	}
}

func (a *actions) freeze(t *rapid.T) { a.c.servers[a.name.Draw(t, "name")].frozen = true }
func (a *actions) thaw(t *rapid.T)   { a.c.servers[a.name.Draw(t, "name")].frozen = false }
func (a *actions) heal(*rapid.T)     { a.c.network.Heal() }

func (a *actions) cut(t *rapid.T) {
	a.c.network.Cut(a.name.Draw(t, "from"), a.name.Draw(t, "to"))
}

func (a *actions) killLeader(*rapid.T) {
	for _, name := range a.c.leaders() {
		a.c.stop(name)
	}
}

func (a *actions) isolateLeader(*rapid.T) {
	for _, name := range a.c.leaders() {
		a.isolateServer(name)
	}
}

// proposeAlone makes a leader store an entry that reaches at most one other server.
func (a *actions) proposeAlone(t *rapid.T) {
	leading := a.c.leaders()
	if len(leading) == 0 {
		return
	}

	reached := a.name.Draw(t, "reached")
	before := a.c.network.Len()

	a.c.propose(leading[0])

	for _, message := range a.c.network.TakeSince(before) {
		if message.Address == reached {
			a.c.network.Send([]Message{message})
			a.c.deliver(a.c.network.Len()-1, false)
		}
	}
}

func (a *actions) handOver(*rapid.T) {
	for _, name := range a.c.leaders() {
		a.c.servers[name].node.TransferLeadership()
		a.c.processOutput(a.c.servers[name])
	}
}

// contest makes several servers start elections at the same time. Their
// messages arrive in any order, and servers restart in between.
func (a *actions) contest(t *rapid.T) {
	for _, name := range a.c.names {
		for range rapid.SampledFrom([]int{0, 11, 20, 20}).Draw(t, "ticks") {
			a.c.tick(name)
		}
	}

	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		if rapid.IntRange(0, 9).Draw(t, "restart") == 9 {
			name := a.name.Draw(t, "name")
			a.c.stop(name)
			a.c.start(name)
		}

		a.deliver(t)
	}
}

// win makes one server start an election while the others are ready to vote for it.
func (a *actions) win(t *rapid.T) {
	a.restartAll(t)
	a.isolateLeader(t)

	candidate := a.name.Draw(t, "candidate")

	for _, name := range a.c.names {
		ticks := electionTicks
		if name == candidate {
			ticks = 2 * electionTicks
		}

		for range ticks {
			a.c.tick(name)
		}
	}

	for range a.c.network.Len() * 2 {
		if a.c.network.Len() > 0 {
			a.c.deliver(0, false)
		}
	}
}

func (a *actions) restartAll(*rapid.T) {
	for _, name := range a.c.names {
		if a.c.servers[name].node == nil {
			a.c.start(name)
		}
	}
}

// lag makes one server fall behind and then isolates the leader.
func (a *actions) lag(t *rapid.T) {
	a.isolate(t)

	for range 3 {
		a.propose(t)
		a.c.round()
	}

	a.c.network.Heal()
	a.isolateLeader(t)
}

func (a *actions) isolate(t *rapid.T) {
	a.isolateServer(a.name.Draw(t, "name"))
}

func (a *actions) isolateServer(name string) {
	a.c.network.Isolate(name, a.c.names)
}

// TestLargeEntriesAreCompacted guards against large entries, which replace the
// whole configuration, filling the memory of every server.
func TestLargeEntriesAreCompacted(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.heal(healRounds)

	leader := c.servers[c.leaders()[0]]
	leader.node.limits.compact = 1 << 20

	for range 100 {
		_, _, err := leader.node.Propose(make([]byte, 1<<20))
		assert.NilError(t, err)
		c.processOutput(leader)
		c.round()
	}

	held := 0
	for i := range leader.node.log.entries {
		held += len(leader.node.log.entries[i].Data)
	}

	assert.Assert(t, held <= 2*compactBytes, held)
}
