package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// voters returns the VMs in the leader's membership.
func (c *cluster) voters() []string {
	var names []string

	for _, server := range c.servers[c.leaders()[0]].node.Membership().Servers {
		names = append(names, server.VM)
	}

	return names
}

// rounds advances time without restarting stopped servers.
func (c *cluster) rounds(count int) {
	for range count {
		c.round()
	}
}

// TestLearnerReplacesLostVoter checks that a server on another VM replaces a
// voter that is lost for good, so that the group then tolerates another loss.
func TestLearnerReplacesLostVoter(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	c.rounds(healRounds)
	assert.Equal(t, len(c.voters()), 3, "a fourth voter would tolerate no more failures: %v", c.voters())

	lost := c.voters()[1]
	c.stop(lost)
	c.rounds(healRounds + 4*unreachableTicks)

	voters := c.voters()
	assert.Equal(t, len(voters), 3)

	for _, name := range voters {
		assert.Assert(t, name != lost, "the lost voter is still a voter: %v", voters)
	}

	next := voters[1]
	if next == c.leaders()[0] {
		next = voters[2]
	}

	c.stop(next)
	c.rounds(healRounds)

	leader := c.leaders()[0]
	before := c.servers[leader].node.CommitIndex()
	c.propose(leader)
	c.rounds(healRounds)
	assert.Assert(t, c.servers[leader].node.CommitIndex() > before, "nothing is committed after the second loss")
}

// TestFiveVotersOfSix checks that six servers form five voters and a learner,
// and that the learner replaces a lost voter.
func TestFiveVotersOfSix(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e", "f")
	c.rounds(4 * healRounds)
	assert.Equal(t, len(c.voters()), 5)

	lost := c.voters()[1]
	if lost == c.leaders()[0] {
		lost = c.voters()[2]
	}

	c.stop(lost)
	c.rounds(healRounds + 4*unreachableTicks)

	voters := c.voters()
	assert.Equal(t, len(voters), 5, "%v", voters)
}

// TestBootstrapTogether checks that servers bootstrapped with the same membership elect a leader.
func TestBootstrapTogether(t *testing.T) {
	c := newCluster(t, "a")
	c.names = []string{"a", "b", "c"}

	servers := make([]Server, 0, len(c.names))

	for _, name := range c.names {
		c.servers[name] = &server{name: name}
		c.newDisk(name)
		servers = append(servers, c.serverOf(c.servers[name]))
	}

	c.leaderByTerm = make(map[uint64]string)
	c.committed = make(map[uint64]string)

	for _, name := range c.names {
		bootstrapped, err := Bootstrap(c.servers[name].disk, servers...)
		assert.NilError(t, err)
		assert.Assert(t, bootstrapped)
		c.start(name)
	}

	c.rounds(healRounds)
	assert.Equal(t, len(c.leaders()), 1)
	assert.DeepEqual(t, c.voters(), c.names)
}

// TestElectionAfterRestartOfAll repeatedly restarts all servers at once and
// checks that a leader is nearly always elected within one election timeout of
// half a second.
func TestElectionAfterRestartOfAll(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.rounds(healRounds)

	late := 0

	for range 50 {
		for _, name := range c.names {
			c.stop(name)
		}

		for _, name := range c.names {
			c.start(name)
		}

		c.rounds(electionTicks)

		if len(c.leaders()) == 0 {
			late++
		}

		c.rounds(healRounds)
		assert.Equal(t, len(c.leaders()), 1)
	}

	assert.Assert(t, late <= 5, "%d of 50 elections took longer", late)
}

// TestRestartDoesNotDepose checks that repeated restarts of followers do not depose the leader.
func TestRestartDoesNotDepose(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.rounds(healRounds)

	leader := c.leaders()[0]
	term := c.servers[leader].node.Term()

	for range 20 {
		for _, name := range c.names {
			if name != leader {
				c.stop(name)
				c.start(name)
				c.rounds(electionTicks)
			}
		}
	}

	assert.DeepEqual(t, c.leaders(), []string{leader})
	assert.Equal(t, c.servers[leader].node.Term(), term)
}

// TestLongLogAfterRestart restarts servers whose log is longer than the limit on
// uncommitted entries. The new leader rejects proposals until it has committed
// that log, and CommittedInTerm must return true only then.
func TestLongLogAfterRestart(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.rounds(healRounds)

	for _, name := range c.names {
		c.servers[name].node.limits.compact = 4 * maxUncommitted
	}

	leader := c.leaders()[0]

	for range 2 * maxUncommitted {
		c.propose(leader)
		c.round()
	}

	c.rounds(healRounds)

	for _, name := range c.names {
		c.stop(name)
		c.start(name)
	}

	rejected := false

	for range 10 * healRounds {
		c.round()

		for _, name := range c.leaders() {
			node := c.servers[name].node
			_, _, err := node.Propose(nil)
			rejected = rejected || err != nil
			assert.Assert(t, err == nil || !node.CommittedInTerm(), "a leader with CommittedInTerm rejected a proposal: %v", err)
			c.processOutput(c.servers[name])
		}
	}

	assert.Assert(t, rejected, "the log was too short: the leader rejected no proposal")
	assert.Equal(t, len(c.leaders()), 1)
	assert.Assert(t, c.servers[c.leaders()[0]].node.CommittedInTerm())
}

// TestLearnerIsReadyUnderLoad checks that a learner counts as ready although the
// commit index is a round trip ahead of what it has acknowledged, as is always
// the case under load, and that a learner without any entries does not.
func TestLearnerIsReadyUnderLoad(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	c.rounds(healRounds)

	node := c.servers[c.leaders()[0]].node

	for range 20 {
		c.propose(c.leaders()[0])
		c.round()
	}

	assert.Equal(t, len(node.readyLearners()), 1)

	for _, p := range node.progress.list {
		if !node.log.membership.Has(p.server.Identity) {
			p.matchIndex = node.commitIndex - 3
			p.ticksSinceReply = 0
			assert.Equal(t, len(node.readyLearners()), 1, "three entries are in flight")

			p.matchIndex = 0
			assert.Equal(t, len(node.readyLearners()), 0, "the learner has no entries yet")
		}
	}
}

// TestTwoSilentOfFive checks that a group of five voters that temporarily loses
// two keeps five voters: the learner replaces one, and the other stays a voter.
func TestTwoSilentOfFive(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e", "f")
	c.rounds(4 * healRounds)

	stopped := 0

	for _, name := range c.voters() {
		if name != c.leaders()[0] && stopped < 2 {
			c.stop(name)

			stopped++
		}
	}

	c.rounds(healRounds + 6*unreachableTicks)
	assert.Equal(t, len(c.voters()), 5, "%v", c.voters())
}

// TestLearnerFindsLeaderThroughFollower checks that a server without a log can
// join when the only server it knows is a follower.
func TestLearnerFindsLeaderThroughFollower(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.rounds(healRounds)

	var followers []string

	for _, name := range c.names {
		if name != c.leaders()[0] {
			followers = append(followers, name)
		}
	}

	lost, known := followers[0], followers[1]
	c.loseDisk(lost)
	c.start(lost)
	c.servers[lost].node.SetPeers([]Server{{VM: known, Address: known}})
	c.rounds(4 * healRounds)

	membership := c.servers[c.leaders()[0]].node.Membership()
	assert.Assert(t, membership.Has(c.servers[lost].disk.Identity()), "%v", membership.Servers)
}

// TestLeaderIgnoresItsOwnJoinRequest guards against a leader that treats itself as a follower which never answers: it
// stepped down while just a majority was left, and else removed itself from the voters. A join request that it sent as a
// candidate may reach it late.
func TestLeaderIgnoresItsOwnJoinRequest(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e", "f")
	c.rounds(4 * healRounds)

	leader := c.leaders()[0]
	term := c.servers[leader].node.Term()

	for _, name := range c.names {
		s := c.servers[name]
		s.node.Step(Message{Kind: KindJoin, From: c.serverOf(c.servers[leader])})
		c.processOutput(s)
	}

	c.rounds(2 * unreachableTicks)

	assert.DeepEqual(t, c.leaders(), []string{leader})
	assert.Equal(t, c.servers[leader].node.Term(), term, "the leader has been replaced without a fault")

	members := c.servers[leader].node.Membership()
	assert.Assert(t, members.Has(c.servers[leader].disk.Identity()), "the leader has removed itself from the voters")
}
