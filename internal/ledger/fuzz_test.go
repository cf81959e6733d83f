package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
)

// healRounds is enough for suspicion, an epoch, catch-up and admission of three copies.
const healRounds = 200

// TestFuzzCommittedStays draws kills, freezes, cuts, lost disks, lost and
// doubled messages, and delayed epochs, and checks that no copy ever commits
// another entry at an index than one that was committed there, and that the
// ledger works again once the faults end.
func TestFuzzCommittedStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, map[string]bool{"a": true, "b": true, "c": false})
		w.heal(rapid.IntRange(0, 40).Draw(t, "start"))

		draw := &drawer{w: w, name: rapid.SampledFrom(w.names)}

		t.Repeat(map[string]func(*rapid.T){
			"propose":      draw.propose,
			"proposeAgain": draw.propose,
			"rounds":       draw.rounds,
			"moreRounds":   draw.rounds,
			"partial":      draw.partialRounds,
			"morePartial":  draw.partialRounds,
			"deliver":      draw.deliver,
			"duplicate":    draw.duplicate,
			"drop":         draw.drop,
			"wait":         draw.wait,
			"ask":          draw.ask,
			"learnLate":    draw.learnLate,
			"handOver":     draw.handOver,
			"kill":         draw.kill,
			"restart":      draw.restart,
			"crashSoon":    draw.crashSoon,
			"loseDisk":     draw.loseDisk,
			"freeze":       draw.freeze,
			"thaw":         draw.thaw,
			"cut":          draw.cut,
			"isolate":      draw.isolate,
			"mend":         draw.mend,
		})

		w.checkWorksAgain()
	})
}

// checkWorksAgain heals everything and expects a new entry to be committed,
// unless every replica of the latest epoch has lost its content.
func (w *world) checkWorksAgain() {
	w.heal(healRounds)

	if !w.recoverable() {
		return
	}

	c := w.primary()
	if c == nil {
		w.t.Fatalf("no primary after the faults have ended: %s", w.describe())
	}

	before := c.replica.Commit()
	w.sequence++

	if !w.propose(c.name, beginOf(w.sequence)) {
		w.t.Fatalf("the primary takes no proposal after the faults have ended")
	}

	for range 10 {
		w.round()
	}

	if c.replica.Commit() <= before {
		w.t.Fatalf("nothing is committed after the faults have ended: commit %d, last %d, epoch %+v",
			before, c.replica.log.last(), c.replica.Epoch())
	}
}

func beginOf(sequence uint64) Command {
	return Command{Begin: &Begin{
		Key:     fmt.Sprintf("key%d", sequence),
		Attempt: Attempt{Owner: "entry", Incarnation: 1, Sequence: sequence},
	}}
}

func TestRestartCatchesUpBySnapshot(t *testing.T) {
	w := newWorld(t, map[string]bool{"a": true, "b": true})
	w.heal(healRounds)

	c := w.primary()
	assert.Assert(t, c != nil)

	other := "b"
	if c.name == "b" {
		other = "a"
	}

	w.stop(other)

	for range compactEntries + retainedEntries + 100 {
		w.sequence++
		w.propose(c.name, beginOf(w.sequence))

		if w.sequence%50 == 0 {
			w.round()
		}
	}

	w.heal(healRounds)
	assert.Assert(t, w.primary().replica.log.base > 0)
	assert.Equal(t, w.copies[other].replica.Commit(), w.primary().replica.Commit())
}

// someRounds covers a moment, and the times after which copies suspect each other.
var someRounds = rapid.SampledFrom([]int{1, 2, 4, 8, 20, 40})

var masks = []int{0, 1, 2, 3, 4, 5, 6, everyone}

// drawer draws what happens next in a world.
type drawer struct {
	w    *world
	name *rapid.Generator[string]
}

func (d *drawer) propose(t *rapid.T) {
	leaders := d.w.leaders()
	if len(leaders) == 0 {
		return
	}

	who := rapid.SampledFrom(leaders).Draw(t, "leader")

	for range rapid.IntRange(1, 4).Draw(t, "count") {
		d.w.sequence++
		d.w.propose(who, beginOf(d.w.sequence))
	}
}

func (d *drawer) rounds(t *rapid.T) {
	for range someRounds.Draw(t, "rounds") {
		d.w.round()
	}
}

func (d *drawer) partialRounds(t *rapid.T) {
	asks := rapid.SampledFrom(masks).Draw(t, "asks")
	learns := rapid.SampledFrom(masks).Draw(t, "learns")

	for range someRounds.Draw(t, "rounds") {
		d.w.partialRound(asks, learns)
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

func (d *drawer) wait(t *rapid.T) {
	who := d.name.Draw(t, "name")

	for range rapid.IntRange(1, 25).Draw(t, "ticks") {
		d.w.tick(who)
	}
}

func (d *drawer) ask(t *rapid.T) {
	d.w.ask(d.name.Draw(t, "name"), rapid.Bool().Draw(t, "lost"))
}

func (d *drawer) learnLate(t *rapid.T) {
	d.w.learn(d.name.Draw(t, "name"), rapid.IntRange(0, 3).Draw(t, "back"))
}

func (d *drawer) handOver(*rapid.T) {
	for _, name := range d.w.leaders() {
		c := d.w.copies[name]
		c.replica.HandOver()
		d.w.settle(c)
	}
}

func (d *drawer) kill(t *rapid.T) { d.w.stop(d.name.Draw(t, "name")) }

// restart opens a copy that is down, and often tells it at once of an epoch
// that may be long over, as a control log server that is behind would.
func (d *drawer) restart(t *rapid.T) {
	name := d.name.Draw(t, "name")
	if d.w.copies[name].replica != nil {
		return
	}

	d.w.start(name)

	if rapid.Bool().Draw(t, "learns") {
		d.w.learn(name, rapid.IntRange(0, 5).Draw(t, "back"))
	}
}

func (d *drawer) crashSoon(t *rapid.T) {
	points := []fakes.CrashPoint{fakes.CrashBeforeSave, fakes.CrashAfterSave}
	d.w.copies[d.name.Draw(t, "name")].crash = rapid.SampledFrom(points).Draw(t, "point")
}

func (d *drawer) loseDisk(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "seldom") == 0 {
		d.w.loseDisk(d.name.Draw(t, "name"))
	}
}

func (d *drawer) freeze(t *rapid.T) { d.w.copies[d.name.Draw(t, "name")].frozen = true }
func (d *drawer) thaw(t *rapid.T)   { d.w.copies[d.name.Draw(t, "name")].frozen = false }
func (d *drawer) mend(*rapid.T)     { d.w.network.Heal() }

func (d *drawer) cut(t *rapid.T) {
	d.w.network.Cut(d.name.Draw(t, "from"), d.name.Draw(t, "to"))
}

func (d *drawer) isolate(t *rapid.T) {
	name := d.name.Draw(t, "name")

	d.w.network.Isolate(name, d.w.names)
}
