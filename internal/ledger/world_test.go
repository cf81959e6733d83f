package ledger

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/cranberrymill/cranberrymill/internal/ctrl"
	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 20000)
}

// copyOf is one copy of the ledger in the world; replica is nil while it is down.
type copyOf struct {
	name    string
	durable bool
	disk    *fakes.Disk
	replica *Replica
	frozen  bool
	crash   fakes.CrashPoint
	asking  []mill.Epoch
}

// failer is a test, or a check of a test.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// world is a ledger whose copies, links and control log fail as the test draws.
type world struct {
	t         failer
	names     []string
	copies    map[string]*copyOf
	network   *fakes.Network[Message]
	control   *ctrl.State
	revision  uint64
	epochs    []mill.Epoch
	lives     int
	committed map[uint64]string
	sequence  uint64
	limits    limits
}

func newWorld(t failer, copies map[string]bool) *world {
	w := &world{
		t:         t,
		copies:    make(map[string]*copyOf),
		network:   fakes.NewNetwork(func(m Message) (string, string) { return m.From.VM, m.Address }),
		control:   ctrl.NewState(),
		committed: make(map[uint64]string),
		limits:    limits{compact: 12, retained: 3},
	}
	w.names = slices.Sorted(maps.Keys(copies))

	for _, name := range w.names {
		w.copies[name] = &copyOf{name: name, durable: copies[name]}
		w.start(name)
	}

	return w
}

func (w *world) member(c *copyOf) mill.Member {
	return mill.Member{VM: c.name, Identity: c.disk.Identity(), Address: c.name, Durable: c.durable}
}

// start opens a copy; one without a disk comes back with nothing and another identity.
func (w *world) start(name string) {
	c := w.copies[name]
	if c.disk == nil || !c.durable {
		w.lives++
		c.disk = fakes.NewDisk(fmt.Sprintf("%s%d", name, w.lives), c.durable)
	}

	replica, err := Open("dc", w.member(c), c.disk)
	if err != nil {
		w.t.Fatalf("open %s: %v", name, err)
	}

	replica.limits = w.limits
	c.replica = replica
	c.frozen = false
	c.crash = fakes.CrashNever
	c.asking = nil
	w.settle(c)
}

func (w *world) stop(name string) {
	w.copies[name].replica = nil
}

func (w *world) loseDisk(name string) {
	w.stop(name)
	w.copies[name].disk = nil
}

// settle performs what a copy wants done, or as much as its crash point lets it.
func (w *world) settle(c *copyOf) {
	if c.replica == nil {
		return
	}

	if !fakes.ProcessOutput[Message](c.replica, c.disk, c.crash, w.network.Send) {
		c.replica = nil

		return
	}

	w.observe(c)
}

// observe compares what a copy has committed with what any copy has before.
func (w *world) observe(c *copyOf) {
	if c.replica == nil {
		return
	}

	for _, applied := range c.replica.TakeApplied() {
		w.checkApplied(c, applied)
	}

	if epoch, ok := c.replica.Wish(); ok {
		c.asking = append(c.asking, epoch)
	}
}

func (w *world) checkApplied(c *copyOf, applied Applied) {
	data, err := wire.Encode(&applied.Entry)
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}

	index := applied.Entry.Index

	known, ok := w.committed[index]
	if ok && known != string(data) {
		w.t.Fatalf("%s committed another entry at %d than was committed before", c.name, index)
	}

	w.committed[index] = string(data)
}

// deliver hands over the message at a position unless its link is cut.
func (w *world) deliver(at int, keep bool) {
	message, to, ok := w.network.Take(at, keep)

	c := w.copies[to]
	if !ok || c == nil || c.replica == nil || c.frozen {
		return
	}

	c.replica.Step(message)
	w.settle(c)
}

func (w *world) tick(name string) {
	c := w.copies[name]
	if c.replica == nil || c.frozen {
		return
	}

	c.replica.Tick()
	w.settle(c)
}

// ask brings the oldest wish of a copy before the control log; with the
// answer lost the copy asks again later.
func (w *world) ask(name string, answerLost bool) {
	c := w.copies[name]
	if c.replica == nil || c.frozen || len(c.asking) == 0 {
		return
	}

	epoch := c.asking[0]
	w.revision++

	data, err := wire.Encode(&ctrl.Command{Epoch: &epoch})
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}

	w.control.Apply(w.revision, data)
	verdict := w.control.Verdict()

	if current := w.control.View().Epoch("dc"); len(w.epochs) == 0 || w.epochs[len(w.epochs)-1].Number < current.Number {
		w.epochs = append(w.epochs, current)
	}

	if answerLost {
		return
	}

	c.asking = c.asking[1:]

	if !verdict.Accepted {
		c.replica.WishRefused(epoch)
		w.settle(c)
	}
}

// learn tells a copy of an epoch, not always the latest.
func (w *world) learn(name string, back int) {
	c := w.copies[name]
	if c.replica == nil || c.frozen || len(w.epochs) == 0 {
		return
	}

	c.replica.SetEpoch(w.epochs[max(len(w.epochs)-1-back, 0)])
	w.settle(c)
}

func (w *world) propose(name string, commands ...Command) bool {
	c := w.copies[name]
	if c.replica == nil || c.frozen {
		return false
	}

	_, _, err := c.replica.Propose(commands)
	w.settle(c)

	return err == nil
}

// heal ends all faults and lets time pass fairly.
func (w *world) heal(rounds int) {
	w.network.Heal()

	for _, name := range w.names {
		w.copies[name].frozen = false
		w.copies[name].crash = fakes.CrashNever

		if w.copies[name].replica == nil {
			w.start(name)
		}
	}

	for range rounds {
		w.round()
	}
}

func (w *world) round() {
	w.partialRound(everyone, everyone)
}

// everyone is the mask of all copies.
const everyone = 1<<3 - 1

// partialRound lets a tick pass, in which only some copies reach the control
// log and only some hear of it.
func (w *world) partialRound(asks, learns int) {
	for at, name := range w.names {
		w.tick(name)

		if asks&(1<<at) != 0 {
			w.ask(name, false)
		}

		if learns&(1<<at) != 0 {
			w.learn(name, 0)
		}
	}

	for range w.network.Len() {
		w.deliver(0, false)
	}
}

// leaders returns the copies that take themselves for the primary.
func (w *world) leaders() []string {
	var leading []string

	for _, name := range w.names {
		if c := w.copies[name]; c.replica != nil && c.replica.Leading() {
			leading = append(leading, name)
		}
	}

	return leading
}

// recoverable reports whether any replica of the latest epoch still has its content.
func (w *world) recoverable() bool {
	if len(w.epochs) == 0 {
		return true
	}

	epoch := w.epochs[len(w.epochs)-1]

	for _, name := range w.names {
		c := w.copies[name]
		if c.disk != nil && (c.durable || c.replica != nil) && epoch.Has(c.disk.Identity()) {
			return true
		}
	}

	return false
}

// primary returns the copy that leads the latest epoch.
func (w *world) primary() *copyOf {
	for _, name := range w.names {
		c := w.copies[name]
		if c.replica != nil && c.replica.Leading() && len(w.epochs) > 0 &&
			c.replica.Epoch().Number == w.epochs[len(w.epochs)-1].Number {
			return c
		}
	}

	return nil
}

// describe says what each copy knows, for a failure.
func (w *world) describe() string {
	text := fmt.Sprintf("epochs %d", len(w.epochs))

	for _, name := range w.names {
		c := w.copies[name]
		r := c.replica
		text += fmt.Sprintf("; %s %s leading %t epoch %d ballot %v pledge %t wish %t wishing %t asking %d commit %d last %d",
			name, c.disk.Identity(), r.leading, r.epoch.Number, r.ballot, r.pledge != nil, r.wish != nil, r.wishing,
			len(c.asking), r.commit, r.log.last())
	}

	return text
}
