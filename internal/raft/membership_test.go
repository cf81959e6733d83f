package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// voters returns the VMs of the membership that the leader knows.
func (w *world) voters() []string {
	var names []string

	for _, server := range w.servers[w.leading()[0]].node.Membership().Servers {
		names = append(names, server.VM)
	}

	return names
}

// rounds lets time pass without bringing back what was stopped.
func (w *world) rounds(count int) {
	for range count {
		w.round()
	}
}

// TestLearnerReplacesLostVoter expects a voter that never comes back to be
// replaced by a server on another VM, so that another one can be lost after it.
func TestLearnerReplacesLostVoter(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d")
	w.rounds(healRounds)
	assert.Equal(t, len(w.voters()), 3, "a fourth voter would bear no more losses: %v", w.voters())

	lost := w.voters()[1]
	w.stop(lost)
	w.rounds(healRounds + 4*silentTicks)

	voters := w.voters()
	assert.Equal(t, len(voters), 3)

	for _, name := range voters {
		assert.Assert(t, name != lost, "the lost voter is still there: %v", voters)
	}

	next := voters[1]
	if next == w.leading()[0] {
		next = voters[2]
	}

	w.stop(next)
	w.rounds(healRounds)

	leader := w.leading()[0]
	before := w.servers[leader].node.Commit()
	w.propose(leader)
	w.rounds(healRounds)
	assert.Assert(t, w.servers[leader].node.Commit() > before, "nothing is committed after the second loss")
}

// TestFiveVotersOfSix expects six servers to have five voters and a learner that
// takes a lost voter's place.
func TestFiveVotersOfSix(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d", "e", "f")
	w.rounds(4 * healRounds)
	assert.Equal(t, len(w.voters()), 5)

	lost := w.voters()[1]
	if lost == w.leading()[0] {
		lost = w.voters()[2]
	}

	w.stop(lost)
	w.rounds(healRounds + 4*silentTicks)

	voters := w.voters()
	assert.Equal(t, len(voters), 5, "%v", voters)
}

// TestBootstrapTogether expects servers that begin with the same membership to elect a leader.
func TestBootstrapTogether(t *testing.T) {
	w := newWorld(t, "a")
	w.names = []string{"a", "b", "c"}

	servers := make([]Server, 0, len(w.names))

	for _, name := range w.names {
		w.servers[name] = &server{name: name}
		w.newDisk(name)
		servers = append(servers, w.serverOf(w.servers[name]))
	}

	w.leaders = make(map[uint64]string)
	w.committed = make(map[uint64]string)

	for _, name := range w.names {
		began, err := Bootstrap(w.servers[name].disk, servers...)
		assert.NilError(t, err)
		assert.Assert(t, began)
		w.start(name)
	}

	w.rounds(healRounds)
	assert.Equal(t, len(w.leading()), 1)
	assert.DeepEqual(t, w.voters(), w.names)
}

// TestElectionAfterRestartOfAll restarts all servers together, again and again. It
// expects the next leader within the time of one election, half a second, nearly always.
func TestElectionAfterRestartOfAll(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.rounds(healRounds)

	late := 0

	for range 50 {
		for _, name := range w.names {
			w.stop(name)
		}

		for _, name := range w.names {
			w.start(name)
		}

		w.rounds(electionTicks)

		if len(w.leading()) == 0 {
			late++
		}

		w.rounds(healRounds)
		assert.Equal(t, len(w.leading()), 1)
	}

	assert.Assert(t, late <= 5, "%d of 50 elections took longer", late)
}

// TestRestartDoesNotDepose restarts a follower again and again, and expects the leader to stay.
func TestRestartDoesNotDepose(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.rounds(healRounds)

	leader := w.leading()[0]
	term := w.servers[leader].node.Term()

	for range 20 {
		for _, name := range w.names {
			if name != leader {
				w.stop(name)
				w.start(name)
				w.rounds(electionTicks)
			}
		}
	}

	assert.DeepEqual(t, w.leading(), []string{leader})
	assert.Equal(t, w.servers[leader].node.Term(), term)
}

// TestLongLogAfterRestart restarts servers whose log is longer than what may be
// outstanding. The new leader refuses entries at first, and must be known to be
// current once it does not.
func TestLongLogAfterRestart(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.rounds(healRounds)

	for _, name := range w.names {
		w.servers[name].node.limits.compact = 4 * maxOutstanding
	}

	leader := w.leading()[0]

	for range 2 * maxOutstanding {
		w.propose(leader)
		w.round()
	}

	w.rounds(healRounds)

	for _, name := range w.names {
		w.stop(name)
		w.start(name)
	}

	refused := false

	for range 10 * healRounds {
		w.round()

		for _, name := range w.leading() {
			node := w.servers[name].node
			_, _, err := node.Propose(nil)
			refused = refused || err != nil
			assert.Assert(t, err == nil || !node.Current(), "a current leader refuses an entry: %v", err)
			w.settle(w.servers[name])
		}
	}

	assert.Assert(t, refused, "the log was too short to show anything")
	assert.Equal(t, len(w.leading()), 1)
	assert.Assert(t, w.servers[w.leading()[0]].node.Current())
}

// TestLearnerIsReadyUnderLoad expects a learner to be ready although the commit is
// a round trip ahead of what it has acknowledged, as it always is under load, and
// one that has nothing yet not to be.
func TestLearnerIsReadyUnderLoad(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d")
	w.rounds(healRounds)

	node := w.servers[w.leading()[0]].node

	for range 20 {
		w.propose(w.leading()[0])
		w.round()
	}

	assert.Equal(t, len(node.readyLearners()), 1)

	for _, p := range node.progress.list {
		if !node.log.membership.Has(p.server.Identity) {
			p.match = node.commit - 3
			p.quiet = 0
			assert.Equal(t, len(node.readyLearners()), 1, "three entries are on their way")

			p.match = 0
			assert.Equal(t, len(node.readyLearners()), 0, "it has nothing yet")
		}
	}
}

// TestTwoSilentOfFive expects a group of five that loses two servers for a while to
// stay one of five: the learner takes one place, and the other one is kept.
func TestTwoSilentOfFive(t *testing.T) {
	w := newWorld(t, "a", "b", "c", "d", "e", "f")
	w.rounds(4 * healRounds)

	stopped := 0

	for _, name := range w.voters() {
		if name != w.leading()[0] && stopped < 2 {
			w.stop(name)

			stopped++
		}
	}

	w.rounds(healRounds + 6*silentTicks)
	assert.Equal(t, len(w.voters()), 5, "%v", w.voters())
}

// TestLearnerFindsLeaderThroughFollower expects a server without a log to be admitted
// when the only server it knows is not the leader.
func TestLearnerFindsLeaderThroughFollower(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.rounds(healRounds)

	var followers []string

	for _, name := range w.names {
		if name != w.leading()[0] {
			followers = append(followers, name)
		}
	}

	lost, known := followers[0], followers[1]
	w.loseDisk(lost)
	w.start(lost)
	w.servers[lost].node.SetPeers([]Server{{VM: known, Address: known}})
	w.rounds(4 * healRounds)

	membership := w.servers[w.leading()[0]].node.Membership()
	assert.Assert(t, membership.Has(w.servers[lost].disk.Identity()), "%v", membership.Servers)
}
