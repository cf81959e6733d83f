package raft

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
)

func TestMain(m *testing.M) {
	seeds.RunAndExit(m.Run, 4000)
}

// fakeStateMachine is a state machine that keeps the data of every applied entry.
type fakeStateMachine struct {
	c       *cluster
	applied []string
}

func (m *fakeStateMachine) Apply(index uint64, data []byte) {
	m.applied = append(m.applied, string(data))
	m.c.checkApplied(index, string(data))
}

func (m *fakeStateMachine) Save() ([]byte, error) { return []byte(strings.Join(m.applied, "\n")), nil }

func (m *fakeStateMachine) Load(data []byte) error {
	m.applied = nil
	if len(data) > 0 {
		m.applied = strings.Split(string(data), "\n")
	}

	return nil
}

// server is one server of the cluster; node is nil while it is down.
type server struct {
	name   string
	disk   *fakes.Disk
	node   *Node
	state  *fakeStateMachine
	frozen bool
	crash  fakes.CrashPoint
}

// fatalReporter is implemented by testing.T and rapid.T.
type fatalReporter interface {
	Fatalf(format string, arguments ...any)
}

// cluster is a simulated group of servers with injected server and network faults.
type cluster struct {
	t         fatalReporter
	names     []string
	servers   map[string]*server
	network   *fakes.Network[Message]
	diskCount int
	sequence  int
	// committed holds the data that any server has applied at each index.
	committed map[uint64]string
	// leaderByTerm holds the identity of the leader of each term.
	leaderByTerm map[uint64]string
}

func newCluster(t fatalReporter, names ...string) *cluster {
	c := &cluster{
		t:            t,
		names:        names,
		servers:      make(map[string]*server),
		network:      fakes.NewNetwork(func(m Message) (string, string) { return m.From.VM, m.Address }),
		committed:    make(map[uint64]string),
		leaderByTerm: make(map[uint64]string),
	}

	for _, name := range names {
		c.servers[name] = &server{name: name}
		c.newDisk(name)
	}

	first := c.servers[names[0]]
	if _, err := Bootstrap(first.disk, c.serverOf(first)); err != nil {
		t.Fatalf("bootstrap: %v", err)
	}

	for _, name := range names {
		c.start(name)
	}

	return c
}

func (c *cluster) newDisk(name string) {
	c.diskCount++
	c.servers[name].disk = fakes.NewDisk(fmt.Sprintf("%s%d", name, c.diskCount), true)
}

func (c *cluster) serverOf(s *server) Server {
	return Server{VM: s.name, Identity: s.disk.Identity(), Address: s.name}
}

func (c *cluster) start(name string) {
	s := c.servers[name]

	var peers []Server

	for _, other := range c.names {
		if other != name {
			peers = append(peers, Server{VM: other, Address: other})
		}
	}

	c.sequence++
	s.state = &fakeStateMachine{c: c}

	node, err := Open(c.serverOf(s), peers, s.disk, s.state, uint64(c.sequence))
	if err != nil {
		c.t.Fatalf("open %s: %v", name, err)
	}

	node.limits = logLimits{compact: 12, retained: 3}
	s.node = node
	s.frozen = false
	s.crash = fakes.CrashNever
	c.processOutput(s)
}

func (c *cluster) stop(name string) {
	c.servers[name].node = nil
}

// loseDisk stops a server and replaces its disk with an empty one that has a new identity.
func (c *cluster) loseDisk(name string) {
	c.stop(name)
	c.newDisk(name)
}

func (c *cluster) processOutput(s *server) {
	if s.node == nil {
		return
	}

	if !fakes.ProcessOutput[Message](s.node, s.disk, s.crash, c.network.Send) {
		s.node = nil

		return
	}

	c.checkLeader(s)
}

// checkApplied checks that no server has applied different data at the index.
func (c *cluster) checkApplied(index uint64, data string) {
	known, ok := c.committed[index]
	if ok && known != data {
		c.t.Fatalf("the entry at index %d differs from the one committed before", index)
	}

	c.committed[index] = data
}

// checkLeader checks that a term has at most one leader.
func (c *cluster) checkLeader(s *server) {
	if s.node == nil || !s.node.Leading() {
		return
	}

	known, ok := c.leaderByTerm[s.node.Term()]
	if ok && known != s.disk.Identity() {
		c.t.Fatalf("two leaders in term %d", s.node.Term())
	}

	c.leaderByTerm[s.node.Term()] = s.disk.Identity()
}

func (c *cluster) deliver(at int, keep bool) {
	message, to, ok := c.network.Take(at, keep)

	s := c.servers[to]
	if !ok || s == nil || s.node == nil || s.frozen {
		return
	}

	s.node.Step(message)
	c.processOutput(s)
}

func (c *cluster) tick(name string) {
	s := c.servers[name]
	if s.node == nil || s.frozen {
		return
	}

	s.node.Tick()
	c.processOutput(s)
}

func (c *cluster) round() {
	for _, name := range c.names {
		c.tick(name)
	}

	for range c.network.Len() {
		c.deliver(0, false)
	}
}

func (c *cluster) heal(rounds int) {
	c.network.Heal()

	for _, name := range c.names {
		c.servers[name].frozen = false
		c.servers[name].crash = fakes.CrashNever

		if c.servers[name].node == nil {
			c.start(name)
		}
	}

	for range rounds {
		c.round()
	}
}

// propose proposes an entry to a server, which must accept it if it believes itself to be the leader.
func (c *cluster) propose(name string) {
	s := c.servers[name]
	if s.node == nil || s.frozen {
		return
	}

	c.sequence++

	if _, _, err := s.node.Propose([]byte(fmt.Sprintf("entry%d", c.sequence))); err != nil && s.node.Leading() {
		c.t.Fatalf("the leader rejected a proposal: %v", err)
	}

	c.processOutput(s)
}

func (c *cluster) leaders() []string {
	var names []string

	for _, name := range c.names {
		if s := c.servers[name]; s.node != nil && s.node.Leading() {
			names = append(names, name)
		}
	}

	return names
}

// canLoseDisk reports whether every server is a voter and a majority would still
// have its disk after another loss. No consensus protocol survives more than
// that: a membership that is growing from one voter to two needs both.
func (c *cluster) canLoseDisk(name string) bool {
	for _, other := range c.names {
		s := c.servers[other]
		if s.node == nil || !c.allVoters(s.node.log.membership) || !c.quorumWithout(s.node.log.membership, name) {
			return false
		}
	}

	return true
}

func (c *cluster) allVoters(membership Membership) bool {
	for _, name := range c.names {
		if !membership.Has(c.servers[name].disk.Identity()) {
			return false
		}
	}

	return true
}

func (c *cluster) quorumWithout(membership Membership, lost string) bool {
	left := 0

	for _, name := range c.names {
		if name != lost && membership.Has(c.servers[name].disk.Identity()) {
			left++
		}
	}

	return left >= membership.Quorum()
}

// describe returns the state of each server for failure messages.
func (c *cluster) describe() string {
	var text strings.Builder

	for _, name := range c.names {
		n := c.servers[name].node
		fmt.Fprintf(&text, "; %s role %d term %d voted %q leader %q commit %d last %d (term %d) voters %v",
			c.servers[name].disk.Identity(), n.role, n.term, n.votedFor, n.leader.Identity, n.commitIndex, n.log.last(),
			n.log.lastTerm(), n.log.membership.Servers)
	}

	return text.String()
}
