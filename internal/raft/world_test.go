package raft

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cranberrymill/cranberrymill/internal/fakes"
	"github.com/cranberrymill/cranberrymill/internal/seeds"
)

func TestMain(m *testing.M) {
	seeds.Exit(m.Run, 4000)
}

// fakeMachine is a state machine that remembers what was applied.
type fakeMachine struct {
	w       *world
	applied []string
}

func (m *fakeMachine) Apply(index uint64, data []byte) {
	m.applied = append(m.applied, string(data))
	m.w.check(index, string(data))
}

func (m *fakeMachine) Save() ([]byte, error) { return []byte(strings.Join(m.applied, "\n")), nil }

func (m *fakeMachine) Load(data []byte) error {
	m.applied = nil
	if len(data) > 0 {
		m.applied = strings.Split(string(data), "\n")
	}

	return nil
}

// server is one server in the world; node is nil while it is down.
type server struct {
	name   string
	disk   *fakes.Disk
	node   *Node
	state  *fakeMachine
	frozen bool
	crash  fakes.CrashPoint
}

// failer is a test, or a check of a test.
type failer interface {
	Fatalf(format string, arguments ...any)
}

// world is a consensus whose servers and links fail as the test draws.
type world struct {
	t        failer
	names    []string
	servers  map[string]*server
	network  *fakes.Network[Message]
	lives    int
	sequence int
	// committed is the log that any server has applied, by index.
	committed map[uint64]string
	// leaders holds the identity of the leader of each term.
	leaders map[uint64]string
}

func newWorld(t failer, names ...string) *world {
	w := &world{
		t:         t,
		names:     names,
		servers:   make(map[string]*server),
		network:   fakes.NewNetwork(func(m Message) (string, string) { return m.From.VM, m.Address }),
		committed: make(map[uint64]string),
		leaders:   make(map[uint64]string),
	}

	for _, name := range names {
		w.servers[name] = &server{name: name}
		w.newDisk(name)
	}

	first := w.servers[names[0]]
	if _, err := Bootstrap(first.disk, w.serverOf(first)); err != nil {
		t.Fatalf("bootstrap: %v", err)
	}

	for _, name := range names {
		w.start(name)
	}

	return w
}

func (w *world) newDisk(name string) {
	w.lives++
	w.servers[name].disk = fakes.NewDisk(fmt.Sprintf("%s%d", name, w.lives), true)
}

func (w *world) serverOf(s *server) Server {
	return Server{VM: s.name, Identity: s.disk.Identity(), Address: s.name}
}

func (w *world) start(name string) {
	s := w.servers[name]

	var peers []Server

	for _, other := range w.names {
		if other != name {
			peers = append(peers, Server{VM: other, Address: other})
		}
	}

	w.sequence++
	s.state = &fakeMachine{w: w}

	node, err := Open(w.serverOf(s), peers, s.disk, s.state, uint64(w.sequence))
	if err != nil {
		w.t.Fatalf("open %s: %v", name, err)
	}

	node.limits = limits{compact: 12, retained: 3}
	s.node = node
	s.frozen = false
	s.crash = fakes.CrashNever
	w.settle(s)
}

func (w *world) stop(name string) {
	w.servers[name].node = nil
}

// loseDisk empties the data folder of a server that must be down for that.
func (w *world) loseDisk(name string) {
	w.stop(name)
	w.newDisk(name)
}

func (w *world) settle(s *server) {
	if s.node == nil {
		return
	}

	if !fakes.Perform[Message](s.node, s.disk, s.crash, w.network.Send) {
		s.node = nil

		return
	}

	w.checkLeader(s)
}

// check compares what is applied at an index with what any server has applied there.
func (w *world) check(index uint64, data string) {
	known, ok := w.committed[index]
	if ok && known != data {
		w.t.Fatalf("another entry is committed at %d than was before", index)
	}

	w.committed[index] = data
}

// checkLeader expects one leader in a term at the most.
func (w *world) checkLeader(s *server) {
	if s.node == nil || !s.node.Leading() {
		return
	}

	known, ok := w.leaders[s.node.Term()]
	if ok && known != s.disk.Identity() {
		w.t.Fatalf("two leaders in term %d", s.node.Term())
	}

	w.leaders[s.node.Term()] = s.disk.Identity()
}

func (w *world) deliver(at int, keep bool) {
	message, to, ok := w.network.Take(at, keep)

	s := w.servers[to]
	if !ok || s == nil || s.node == nil || s.frozen {
		return
	}

	s.node.Step(message)
	w.settle(s)
}

func (w *world) tick(name string) {
	s := w.servers[name]
	if s.node == nil || s.frozen {
		return
	}

	s.node.Tick()
	w.settle(s)
}

func (w *world) round() {
	for _, name := range w.names {
		w.tick(name)
	}

	for range w.network.Len() {
		w.deliver(0, false)
	}
}

func (w *world) heal(rounds int) {
	w.network.Mend()

	for _, name := range w.names {
		w.servers[name].frozen = false
		w.servers[name].crash = fakes.CrashNever

		if w.servers[name].node == nil {
			w.start(name)
		}
	}

	for range rounds {
		w.round()
	}
}

// propose adds an entry at a server that takes itself for the leader.
func (w *world) propose(name string) {
	s := w.servers[name]
	if s.node == nil || s.frozen {
		return
	}

	w.sequence++

	if _, _, err := s.node.Propose([]byte(fmt.Sprintf("entry%d", w.sequence))); err != nil && s.node.Leading() {
		w.t.Fatalf("the leader refuses an entry: %v", err)
	}

	w.settle(s)
}

func (w *world) leading() []string {
	var names []string

	for _, name := range w.names {
		if s := w.servers[name]; s.node != nil && s.node.Leading() {
			names = append(names, name)
		}
	}

	return names
}

// lossAllowed reports whether every server is a voter, and a majority would
// still have its disk after another loss. More than that no consensus can
// survive: a membership that is growing from one voter to two needs both.
func (w *world) lossAllowed(name string) bool {
	for _, other := range w.names {
		s := w.servers[other]
		if s.node == nil || !w.allVote(s.node.log.membership) || !w.quorumWithout(s.node.log.membership, name) {
			return false
		}
	}

	return true
}

func (w *world) allVote(membership Membership) bool {
	for _, name := range w.names {
		if !membership.Has(w.servers[name].disk.Identity()) {
			return false
		}
	}

	return true
}

func (w *world) quorumWithout(membership Membership, lost string) bool {
	left := 0

	for _, name := range w.names {
		if name != lost && membership.Has(w.servers[name].disk.Identity()) {
			left++
		}
	}

	return left >= membership.Quorum()
}

// describe says what each server knows, for a failure.
func (w *world) describe() string {
	var text strings.Builder

	for _, name := range w.names {
		n := w.servers[name].node
		fmt.Fprintf(&text, "; %s role %d term %d voted %q leader %q commit %d last %d (term %d) voters %v",
			w.servers[name].disk.Identity(), n.role, n.term, n.votedFor, n.leader.Identity, n.commit, n.log.last(),
			n.log.lastTerm(), n.log.membership.Servers)
	}

	return text.String()
}
