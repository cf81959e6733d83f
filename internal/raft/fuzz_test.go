package raft

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
)

// healRounds is enough for an election, catch-up and the admission of every server.
const healRounds = 400

// TestFuzzOneLog draws kills, freezes, cuts, lost disks, lost and doubled
// messages, and checks that no term has two leaders, that no two servers apply
// different entries at an index, and that the consensus works again, with every
// server a voter, once the faults end.
func TestFuzzOneLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.SampledFrom(sizes).Draw(t, "servers")...)
		w.heal(rapid.SampledFrom([]int{20, 150, 150, 150}).Draw(t, "start"))

		draw := &drawer{w: w, name: rapid.SampledFrom(w.names)}

		t.Repeat(map[string]func(*rapid.T){
			"propose":      draw.propose,
			"proposeAgain": draw.propose,
			"rounds":       draw.rounds,
			"moreRounds":   draw.rounds,
			"deliver":      draw.deliver,
			"deliverMore":  draw.deliver,
			"duplicate":    draw.duplicate,
			"drop":         draw.drop,
			"wait":         draw.wait,
			"kill":         draw.kill,
			"restart":      draw.restart,
			"restartMore":  draw.restart,
			"crashSoon":    draw.crashSoon,
			"loseDisk":     draw.loseDisk,
			"freeze":       draw.freeze,
			"thaw":         draw.thaw,
			"cut":          draw.cut,
			"isolate":      draw.isolate,
			"mend":         draw.mend,
			"killLeader":   draw.killLeader,
			"isolateLead":  draw.isolateLeader,
			"proposeAlone": draw.proposeAlone,
			"handOver":     draw.handOver,
			"contest":      draw.contest,
			"contestMore":  draw.contest,
			"lag":          draw.lag,
		})

		w.checkWorksAgain()
	})
}

// TestFuzzElections draws elections only: candidates with short logs, votes that
// cross, and servers that crash while they store a vote or an entry.
func TestFuzzElections(t *testing.T) {
	seeds.Checks(t, 3000)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, "a", "b", "c")
		w.heal(150)

		draw := &drawer{w: w, name: rapid.SampledFrom(w.names)}

		t.Repeat(map[string]func(*rapid.T){
			"propose":      draw.propose,
			"proposeAlone": draw.proposeAlone,
			"lag":          draw.lag,
			"contest":      draw.contest,
			"win":          draw.win,
			"winMore":      draw.win,
			"crashSoon":    draw.crashSoon,
			"restartAll":   draw.restartAll,
			"rounds":       draw.rounds,
			"mend":         draw.mend,
		})

		w.checkWorksAgain()
	})
}

func (w *world) checkWorksAgain() {
	w.heal(healRounds)

	leading := w.leading()
	if len(leading) != 1 {
		w.t.Fatalf("leaders %v after the faults have ended: %s", leading, w.describe())
	}

	node := w.servers[leading[0]].node
	if len(node.Membership().Servers) != len(w.names) {
		w.t.Fatalf("voters %v after the faults have ended", node.Membership())
	}

	before := node.Commit()

	w.propose(leading[0])

	for range 10 {
		w.round()
	}

	for _, name := range w.names {
		if w.servers[name].node.Commit() <= before {
			w.t.Fatalf("%s has commit %d, the leader had %d", name, w.servers[name].node.Commit(), before)
		}
	}
}

func TestCatchesUpAfterHundredsOfChanges(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.heal(healRounds)

	leader := w.leading()[0]
	behind := w.names[0]

	if behind == leader {
		behind = w.names[1]
	}

	w.stop(behind)

	for range 500 {
		w.propose(leader)
		w.round()
	}

	assert.Assert(t, w.servers[leader].node.log.base > 400)
	w.heal(healRounds)
	assert.Equal(t, w.servers[behind].node.Commit(), w.servers[leader].node.Commit())
	assert.DeepEqual(t, w.servers[behind].state.applied, w.servers[leader].state.applied)
}

func TestIsolatedServerDoesNotDisturb(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.heal(healRounds)

	leader := w.leading()[0]
	term := w.servers[leader].node.Term()
	alone := w.names[0]

	if alone == leader {
		alone = w.names[1]
	}

	w.network.Isolate(alone, w.names)

	for range healRounds {
		w.round()
	}

	w.heal(healRounds)
	assert.DeepEqual(t, w.leading(), []string{leader})
	assert.Equal(t, w.servers[leader].node.Term(), term)
}

func TestEmptiedFolderIsAnotherVoter(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.heal(healRounds)

	lost := w.servers["b"].disk.Identity()
	w.loseDisk("b")
	w.heal(healRounds)

	membership := w.servers[w.leading()[0]].node.Membership()
	assert.Equal(t, len(membership.Servers), 3)
	assert.Assert(t, !membership.Has(lost))
	assert.Assert(t, membership.Has(w.servers["b"].disk.Identity()))
}

var sizes = [][]string{{"a", "b", "c"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e"}}

// drawer draws what happens next in a world.
type drawer struct {
	w    *world
	name *rapid.Generator[string]
}

var someRounds = rapid.SampledFrom([]int{1, 2, 4, 8, 20, 40})

func (d *drawer) propose(t *rapid.T) {
	leading := d.w.leading()
	if len(leading) == 0 {
		return
	}

	who := rapid.SampledFrom(leading).Draw(t, "leader")

	for range rapid.IntRange(1, 4).Draw(t, "count") {
		d.w.propose(who)
	}
}

func (d *drawer) rounds(t *rapid.T) {
	for range someRounds.Draw(t, "rounds") {
		d.w.round()
	}
}

func (d *drawer) wait(t *rapid.T) {
	who := d.name.Draw(t, "name")

	for range someRounds.Draw(t, "ticks") {
		d.w.tick(who)
	}
}

func (d *drawer) deliver(t *rapid.T) {
	if d.w.network.Len() > 0 {
		d.w.deliver(rapid.IntRange(0, d.w.network.Len()-1).Draw(t, "at"), false)
	}
}

func (d *drawer) duplicate(t *rapid.T) {
	if d.w.network.Len() > 0 {
		d.w.deliver(rapid.IntRange(0, d.w.network.Len()-1).Draw(t, "at"), true)
	}
}

func (d *drawer) drop(t *rapid.T) {
	if d.w.network.Len() > 0 {
		at := rapid.IntRange(0, d.w.network.Len()-1).Draw(t, "at")
		d.w.network.Drop(at)
	}
}

func (d *drawer) kill(t *rapid.T) { d.w.stop(d.name.Draw(t, "name")) }

func (d *drawer) restart(t *rapid.T) {
	if name := d.name.Draw(t, "name"); d.w.servers[name].node == nil {
		d.w.start(name)
	}
}

func (d *drawer) crashSoon(t *rapid.T) {
	points := []fakes.CrashPoint{fakes.CrashBeforeSave, fakes.CrashAfterSave}
	d.w.servers[d.name.Draw(t, "name")].crash = rapid.SampledFrom(points).Draw(t, "point")
}

func (d *drawer) loseDisk(t *rapid.T) {
	if name := d.name.Draw(t, "name"); d.w.lossAllowed(name) {
		d.w.loseDisk(name)
		d.w.start(name)
	}
}

func (d *drawer) freeze(t *rapid.T) { d.w.servers[d.name.Draw(t, "name")].frozen = true }
func (d *drawer) thaw(t *rapid.T)   { d.w.servers[d.name.Draw(t, "name")].frozen = false }
func (d *drawer) mend(*rapid.T)     { d.w.network.Mend() }

func (d *drawer) cut(t *rapid.T) {
	d.w.network.Cut(d.name.Draw(t, "from"), d.name.Draw(t, "to"))
}

func (d *drawer) killLeader(*rapid.T) {
	for _, name := range d.w.leading() {
		d.w.stop(name)
	}
}

func (d *drawer) isolateLeader(*rapid.T) {
	for _, name := range d.w.leading() {
		d.cutOff(name)
	}
}

// proposeAlone has a leader store an entry that reaches one other server at most.
func (d *drawer) proposeAlone(t *rapid.T) {
	leading := d.w.leading()
	if len(leading) == 0 {
		return
	}

	reached := d.name.Draw(t, "reached")
	before := d.w.network.Len()

	d.w.propose(leading[0])

	for _, message := range d.w.network.Since(before) {
		if message.Address == reached {
			d.w.network.Send([]Message{message})
			d.w.deliver(d.w.network.Len()-1, false)
		}
	}
}

func (d *drawer) handOver(*rapid.T) {
	for _, name := range d.w.leading() {
		d.w.servers[name].node.HandOver()
		d.w.settle(d.w.servers[name])
	}
}

// contest has several servers stand for election at once, their messages
// arrive in any order, and a server restarts on the way.
func (d *drawer) contest(t *rapid.T) {
	for _, name := range d.w.names {
		for range rapid.SampledFrom([]int{0, 11, 20, 20}).Draw(t, "ticks") {
			d.w.tick(name)
		}
	}

	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		if rapid.IntRange(0, 9).Draw(t, "restart") == 9 {
			name := d.name.Draw(t, "name")
			d.w.stop(name)
			d.w.start(name)
		}

		d.deliver(t)
	}
}

// win has one server stand for election while the others are ready to vote.
func (d *drawer) win(t *rapid.T) {
	d.restartAll(t)
	d.isolateLeader(t)

	candidate := d.name.Draw(t, "candidate")

	for _, name := range d.w.names {
		ticks := electionTicks
		if name == candidate {
			ticks = 2 * electionTicks
		}

		for range ticks {
			d.w.tick(name)
		}
	}

	for range d.w.network.Len() * 2 {
		if d.w.network.Len() > 0 {
			d.w.deliver(0, false)
		}
	}
}

func (d *drawer) restartAll(*rapid.T) {
	for _, name := range d.w.names {
		if d.w.servers[name].node == nil {
			d.w.start(name)
		}
	}
}

// lag leaves one server behind and then takes the leader away.
func (d *drawer) lag(t *rapid.T) {
	d.isolate(t)

	for range 3 {
		d.propose(t)
		d.w.round()
	}

	d.w.network.Mend()
	d.isolateLeader(t)
}

func (d *drawer) isolate(t *rapid.T) {
	d.cutOff(d.name.Draw(t, "name"))
}

func (d *drawer) cutOff(name string) {
	d.w.network.Isolate(name, d.w.names)
}

// TestLargeEntriesAreCompacted keeps changes of the whole configuration from
// filling the memory of every server.
func TestLargeEntriesAreCompacted(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.heal(healRounds)

	leader := w.servers[w.leading()[0]]
	leader.node.limits.compact = 1 << 20

	for range 100 {
		_, _, err := leader.node.Propose(make([]byte, 1<<20))
		assert.NilError(t, err)
		w.settle(leader)
		w.round()
	}

	held := 0
	for i := range leader.node.log.list {
		held += len(leader.node.log.list[i].Data)
	}

	assert.Assert(t, held <= 2*compactBytes, held)
}
