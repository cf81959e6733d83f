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

// testReplica is a replica of the cluster; its replica field is nil while it is down.
type testReplica struct {
	name          string
	durable       bool
	disk          *fakes.Disk
	replica       *Replica
	frozen        bool
	crash         fakes.CrashPoint
	epochRequests []mill.Epoch
}

// fatalReporter is implemented by testing.T and rapid.T.
type fatalReporter interface {
	Fatalf(format string, arguments ...any)
}

// cluster is a simulated ledger with injected faults of its replicas, network and control log.
type cluster struct {
	t         fatalReporter
	names     []string
	replicas  map[string]*testReplica
	network   *fakes.Network[Message]
	control   *ctrl.State
	revision  uint64
	epochs    []mill.Epoch
	diskCount int
	committed map[uint64]string
	sequence  uint64
	limits    logLimits
}

// newCluster starts a cluster with a replica for each name in durable. The value says whether it has a disk.
func newCluster(t fatalReporter, durable map[string]bool) *cluster {
	c := &cluster{
		t:         t,
		replicas:  make(map[string]*testReplica),
		network:   fakes.NewNetwork(func(m Message) (string, string) { return m.From.VM, m.Address }),
		control:   ctrl.NewState(),
		committed: make(map[uint64]string),
		limits:    logLimits{compact: 12, retained: 3},
	}
	c.names = slices.Sorted(maps.Keys(durable))

	for _, name := range c.names {
		c.replicas[name] = &testReplica{name: name, durable: durable[name]}
		c.start(name)
	}

	return c
}

func (c *cluster) member(r *testReplica) mill.Member {
	return mill.Member{VM: r.name, Identity: r.disk.Identity(), Address: r.name, Durable: r.durable}
}

// start opens a replica. One without a disk starts empty and with a new identity.
func (c *cluster) start(name string) {
	r := c.replicas[name]
	if r.disk == nil || !r.durable {
		c.diskCount++
		r.disk = fakes.NewDisk(fmt.Sprintf("%s%d", name, c.diskCount), r.durable)
	}

	replica, err := Open("dc", c.member(r), r.disk)
	if err != nil {
		c.t.Fatalf("open %s: %v", name, err)
	}

	replica.limits = c.limits
	r.replica = replica
	r.frozen = false
	r.crash = fakes.CrashNever
	r.epochRequests = nil
	c.processOutput(r)
}

func (c *cluster) stop(name string) {
	c.replicas[name].replica = nil
}

func (c *cluster) loseDisk(name string) {
	c.stop(name)
	c.replicas[name].disk = nil
}

// processOutput handles the output of a replica, up to its crash point.
func (c *cluster) processOutput(r *testReplica) {
	if r.replica == nil {
		return
	}

	if !fakes.ProcessOutput[Message](r.replica, r.disk, r.crash, c.network.Send) {
		r.replica = nil

		return
	}

	c.observe(r)
}

// observe checks the entries that a replica has committed and collects its epoch requests.
func (c *cluster) observe(r *testReplica) {
	if r.replica == nil {
		return
	}

	for _, applied := range r.replica.TakeApplied() {
		c.checkApplied(r, applied)
	}

	if epoch, ok := r.replica.TakeEpochRequest(); ok {
		r.epochRequests = append(r.epochRequests, epoch)
	}
}

func (c *cluster) checkApplied(r *testReplica, applied Applied) {
	data, err := wire.Encode(&applied.Entry)
	if err != nil {
		c.t.Fatalf("encode: %v", err)
	}

	index := applied.Entry.Index

	known, ok := c.committed[index]
	if ok && known != string(data) {
		c.t.Fatalf("%s committed another entry at %d than was committed before", r.name, index)
	}

	c.committed[index] = string(data)
}

// deliver delivers the message at a position unless its link is cut.
func (c *cluster) deliver(at int, keep bool) {
	message, to, ok := c.network.Take(at, keep)

	r := c.replicas[to]
	if !ok || r == nil || r.replica == nil || r.frozen {
		return
	}

	r.replica.Step(message)
	c.processOutput(r)
}

func (c *cluster) tick(name string) {
	r := c.replicas[name]
	if r.replica == nil || r.frozen {
		return
	}

	r.replica.Tick()
	c.processOutput(r)
}

// proposeEpoch proposes the oldest epoch request of a replica to the control log.
// If the answer is lost, the replica proposes it again later.
func (c *cluster) proposeEpoch(name string, answerLost bool) {
	r := c.replicas[name]
	if r.replica == nil || r.frozen || len(r.epochRequests) == 0 {
		return
	}

	epoch := r.epochRequests[0]
	c.revision++

	data, err := wire.Encode(&ctrl.Command{Epoch: &epoch})
	if err != nil {
		c.t.Fatalf("encode: %v", err)
	}

	c.control.Apply(c.revision, data)
	verdict := c.control.Verdict()

	if current := c.control.View().Epoch("dc"); len(c.epochs) == 0 || c.epochs[len(c.epochs)-1].Number < current.Number {
		c.epochs = append(c.epochs, current)
	}

	if answerLost {
		return
	}

	r.epochRequests = r.epochRequests[1:]

	if !verdict.Accepted {
		r.replica.EpochRefused(epoch)
		c.processOutput(r)
	}
}

// setEpoch sets an epoch on a replica: the latest, or one that many epochs back.
func (c *cluster) setEpoch(name string, back int) {
	r := c.replicas[name]
	if r.replica == nil || r.frozen || len(c.epochs) == 0 {
		return
	}

	r.replica.SetEpoch(c.epochs[max(len(c.epochs)-1-back, 0)])
	c.processOutput(r)
}

func (c *cluster) propose(name string, commands ...Command) bool {
	r := c.replicas[name]
	if r.replica == nil || r.frozen {
		return false
	}

	_, _, err := r.replica.Propose(commands)
	c.processOutput(r)

	return err == nil
}

// heal ends all faults and runs a number of rounds.
func (c *cluster) heal(rounds int) {
	c.network.Heal()

	for _, name := range c.names {
		c.replicas[name].frozen = false
		c.replicas[name].crash = fakes.CrashNever

		if c.replicas[name].replica == nil {
			c.start(name)
		}
	}

	for range rounds {
		c.round()
	}
}

func (c *cluster) round() {
	c.partialRound(allReplicas, allReplicas)
}

// allReplicas is the bit mask of all three replicas.
const allReplicas = 1<<3 - 1

// partialRound runs one tick and delivers the messages. Only the replicas in the
// proposers mask can propose an epoch, and only those in the receivers mask
// receive the latest one.
func (c *cluster) partialRound(proposers, receivers int) {
	for at, name := range c.names {
		c.tick(name)

		if proposers&(1<<at) != 0 {
			c.proposeEpoch(name, false)
		}

		if receivers&(1<<at) != 0 {
			c.setEpoch(name, 0)
		}
	}

	for range c.network.Len() {
		c.deliver(0, false)
	}
}

// leaders returns the replicas that believe themselves to be the primary.
func (c *cluster) leaders() []string {
	var leading []string

	for _, name := range c.names {
		if r := c.replicas[name]; r.replica != nil && r.replica.Leading() {
			leading = append(leading, name)
		}
	}

	return leading
}

// recoverable reports whether any replica of the latest epoch still has its content.
func (c *cluster) recoverable() bool {
	if len(c.epochs) == 0 {
		return true
	}

	epoch := c.epochs[len(c.epochs)-1]

	for _, name := range c.names {
		r := c.replicas[name]
		if r.disk != nil && (r.durable || r.replica != nil) && epoch.Has(r.disk.Identity()) {
			return true
		}
	}

	return false
}

// primary returns the replica that leads the latest epoch.
func (c *cluster) primary() *testReplica {
	for _, name := range c.names {
		r := c.replicas[name]
		if r.replica != nil && r.replica.Leading() && len(c.epochs) > 0 &&
			r.replica.Epoch().Number == c.epochs[len(c.epochs)-1].Number {
			return r
		}
	}

	return nil
}

// describe returns the state of each replica for failure messages.
func (c *cluster) describe() string {
	text := fmt.Sprintf("epochs %d", len(c.epochs))

	for _, name := range c.names {
		r := c.replicas[name]
		n := r.replica
		text += fmt.Sprintf("; %s %s leading %t epoch %d ballot %v promotion %t request %t taken %t queued %d commit %d last %d",
			name, r.disk.Identity(), n.leading, n.epoch.Number, n.ballot, n.pendingPromotion != nil,
			n.epochRequest != nil, n.epochRequestTaken, len(r.epochRequests), n.commitIndex, n.log.last())
	}

	return text
}
