package core

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrymill/cranberrymill/internal/drive"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

const (
	// contactTimeout bounds the exchange of one contact, beyond the time for which its reply may be held back. The messages
	// have a few hundred bytes, which a narrow link between regions carries in this time beside other traffic.
	contactTimeout = 800 * time.Millisecond
	// slowReply is how long a process may take to say who leads before the next one is asked too: a round trip between
	// regions. Processes that are cut off then do not add up to the time without a leader.
	slowReply = 200 * time.Millisecond
	// longPollTimeout is the longest time that the leader holds back its reply to a ContactRequest.
	longPollTimeout = 500 * time.Millisecond
	// earlierBuildPeriod is how long a process that did not know MethodContact is asked by MethodFollow instead. It may be
	// replaced by one of this build at any time.
	earlierBuildPeriod = 10 * time.Second
)

// Run finds the leader and stays in contact with it until the context ends.
func (c *LeaderClient) Run(ctx context.Context) error {
	go c.watch(ctx)

	for ctx.Err() == nil {
		if leader, _ := c.currentLeader(); leader != "" {
			c.contactLeader(ctx, leader)
		} else {
			c.search(ctx)
		}
	}

	return nil
}

// contactLeader exchanges one contact with the leader, which holds its reply back once it has answered before.
func (c *LeaderClient) contactLeader(ctx context.Context, leader string) {
	limit, cancel := context.WithCancel(ctx)
	defer cancel()

	wait, ok := c.beginContact(leader, cancel)
	if !ok {
		return
	}

	start := time.Now()

	err := c.ask(limit, leader, wait, 0)
	if err != nil && limit.Err() == nil {
		c.recordContactFailure(leader, start, err)
	}

	if current, _ := c.currentLeader(); err != nil || current == "" {
		drive.Pause(ctx, retryInterval)
	}
}

// beginContact has a contact with the leader end when that changes, and returns for how long the reply may be held back. It
// reports false if another process has become known as the leader meanwhile.
func (c *LeaderClient) beginContact(leader string, end context.CancelFunc) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.endContact = end

	if c.confirmed {
		wait = longPollTimeout
	}

	return wait, c.leader == leader
}

// search asks the next process in turn for the leader. It returns when that process has answered, or is slow to.
func (c *LeaderClient) search(ctx context.Context) {
	answered := make(chan struct{})

	go func() {
		defer close(answered)

		// The counter of contacts shows a failure, and the next process is asked.
		_ = c.ask(ctx, c.nextProcess(), 0, 0)
	}()

	slow := time.NewTimer(slowReply)
	defer slow.Stop()

	select {
	case <-answered:
	case <-slow.C:
		return
	case <-ctx.Done():
		return
	}

	if leader, _ := c.currentLeader(); leader == "" {
		drive.Pause(ctx, retryInterval)
	}
}

// nextProcess returns the address of the core process other than the leader to ask next, or "" if none is known.
func (c *LeaderClient) nextProcess() string {
	c.mu.Lock()
	defer c.mu.Unlock()

	addresses := slices.DeleteFunc(c.knownAddresses(), func(address string) bool { return address == c.leader })
	if len(addresses) == 0 {
		return ""
	}

	c.nextAddress++

	return addresses[c.nextAddress%len(addresses)]
}

// ask exchanges one contact with a process, whose reply may be held back for the given time, also until it knows a leader of
// a later term than the given one, unless that is 0.
func (c *LeaderClient) ask(ctx context.Context, address string, wait time.Duration, term uint64) error {
	limit, cancel := context.WithTimeout(ctx, wait+contactTimeout)
	defer cancel()

	reply, err := c.exchange(limit, address, &ContactRequest{
		Version:   c.SetupVersion(),
		Advisor:   c.advisorAddress,
		RelayFor:  c.relayFor,
		UnixMilli: time.Now().UnixMilli(),
		WaitMilli: wait.Milliseconds(),
		Term:      term,
	})

	c.metrics.count(reply, err, errors.Is(limit.Err(), context.DeadlineExceeded))

	if err == nil {
		c.update(address, reply)
	}

	return err
}

// exchange asks by MethodContact, or by MethodFollow if the process is of the earlier build.
func (c *LeaderClient) exchange(ctx context.Context, address string, request *ContactRequest) (*ContactReply, error) {
	if !c.isEarlierBuild(address) {
		reply, err := wire.Call[ContactRequest, ContactReply](ctx, c.client, address, MethodContact, request)
		if !errors.Is(err, mill.ErrNotFound) {
			return reply, err
		}

		c.recordEarlierBuild(address)
	}

	follow := FollowRequest(*request)
	if follow.WaitMilli == 0 {
		// The earlier build sends all of a newer setup, which must not delay the search for the leader.
		follow.Version = math.MaxUint64
	}

	reply, err := wire.Call[FollowRequest, FollowReply](ctx, c.client, address, MethodFollow, &follow)
	if err != nil {
		return nil, err
	}

	contact := &ContactReply{Leader: reply.Leader, Term: reply.Term, Members: reply.Members}
	if reply.Setup != nil {
		contact.HasSetup, contact.SetupVersion, contact.Limits = true, reply.Setup.Version, reply.Setup.Limits
	}

	return contact, nil
}

func (c *LeaderClient) isEarlierBuild(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return time.Now().Before(c.earlierBuild[address])
}

func (c *LeaderClient) recordEarlierBuild(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.earlierBuild[address] = time.Now().Add(earlierBuildPeriod)
}

// update takes in the reply of a process.
func (c *LeaderClient) update(from string, reply *ContactReply) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if reply.HasSetup && (!c.hasSetup || reply.SetupVersion > c.setupVersion) {
		c.hasSetup, c.setupVersion, c.limits = true, reply.SetupVersion, reply.Limits
	}

	if len(reply.Members) > 0 {
		c.members = reply.Members
	}

	switch {
	case reply.Leader == "" && from == c.leader:
		c.dropLeader("it does not lead")
	case reply.Leader != "" && reply.Term >= c.term:
		if c.leader != reply.Leader {
			c.leader, c.confirmed = reply.Leader, false
			c.endContact()
			c.abandonCalls()
		}

		c.term = reply.Term
	default:
	}

	if from == reply.Leader {
		c.recordReply(from)
	}
}

// recordReply records that the process at the address has answered as the leader. The caller holds the lock.
func (c *LeaderClient) recordReply(address string) {
	if c.leader != address {
		return
	}

	c.confirmed, c.lastContact = true, time.Now()

	if !c.lostAt.IsZero() {
		log.Info().Str("leader", c.leader).Uint64("term", c.term).Dur("outage", time.Since(c.lostAt)).
			Msg("leader answers")

		c.lostAt = time.Time{}
	}
}

// recordContactFailure records that the leader did not answer a contact that began at the given time. A single broken
// connection does not mean that the process has gone.
func (c *LeaderClient) recordContactFailure(address string, start time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.leader != address {
		return
	}

	if c.confirmed && !c.isGone(start, err) {
		c.confirmed = false

		return
	}

	c.dropLeader(err.Error())
}

// recordCallFailure records that the process at the address did not serve a call that began at the given time, and reports
// whether it still counts as the leader although a whole attempt has passed without its answer.
func (c *LeaderClient) recordCallFailure(address string, start time.Time, err error) (silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.leader != address {
		return false
	}

	if c.isGone(start, err) {
		c.dropLeader(err.Error())

		return false
	}

	return time.Since(start) >= attemptTimeout
}

// isGone reports whether a failed call says that the leader is no longer there: nothing could be sent to it, it does not
// lead, or it has answered nothing for a whole attempt. The caller holds the lock.
func (c *LeaderClient) isGone(start time.Time, err error) bool {
	return errors.Is(err, mill.ErrUnreachable) || errors.Is(err, mill.ErrNotPrimary) ||
		time.Since(start) >= attemptTimeout && !c.lastContact.After(start)
}

// dropLeader has the others be asked who leads. The caller holds the lock.
func (c *LeaderClient) dropLeader(reason string) {
	if c.lostAt.IsZero() {
		c.lostAt = time.Now()

		log.Warn().Str("leader", c.leader).Uint64("term", c.term).Str("reason", reason).
			Dur("silent", time.Since(c.lastContact)).Msg("leader lost")
	}

	c.leader, c.confirmed = "", false
	c.endContact()
}
