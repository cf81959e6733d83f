package core_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrymill/cranberrymill/internal/core"
	"github.com/cranberrymill/cranberrymill/internal/front"
	"github.com/cranberrymill/cranberrymill/internal/wire"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// narrowEntry is a front process on a narrow link.
type narrowEntry struct {
	cluster *testCluster
	link    *narrowLink
	front   *front.Front
	stop    func()
}

func newNarrowEntry(cluster *testCluster) *narrowEntry {
	entry := &narrowEntry{cluster: cluster, link: &narrowLink{}}
	entry.start()
	cluster.t.Cleanup(func() { entry.stop() })

	return entry
}

func (e *narrowEntry) start() {
	client := wire.NewClientWithDial(e.link.dial)
	process := front.New(front.Config{
		VM: "narrow", Address: "127.0.0.1:1", Seeds: e.cluster.addresses, Client: client,
	})
	ctx, cancel := context.WithCancel(context.Background())
	listener := listen(e.cluster.t)
	done := make(chan error, 1)

	go func() { done <- process.Run(ctx, listener) }()

	e.front = process
	e.stop = func() {
		cancel()
		assert.Check(e.cluster.t, <-done)
		assert.Check(e.cluster.t, client.Close())
	}
}

// restart has a new process take the entry's place, without anything that the earlier one knew.
func (e *narrowEntry) restart() {
	e.stop()
	e.start()
}

// expectService waits until the entry is ready, applies the limits of the given version and has a submission accepted.
// The time limit only tells a process that is cut off for good from one that is not.
func (e *narrowEntry) expectService(version uint64) {
	e.cluster.t.Helper()

	job := fmt.Sprintf("job-%d-%p", version, e.front)
	check := func() error {
		limits, ok := e.front.Limits()

		switch {
		case !e.front.Ready():
			return errors.New("the entry is not ready")
		case !ok || limits.MaxBodyBytes != int(version):
			return fmt.Errorf("limits %+v (%t), want those of version %d", limits, ok, version)
		default:
		}

		receipt, err := e.front.Submit(callContext(), at("/q/"+job), &mill.Workload{
			Spec: job, Steps: []mill.Step{{Count: 1, Estimate: time.Second}},
		})
		if err == nil && receipt.Verdict != mill.VerdictAccepted {
			err = fmt.Errorf("verdict %d: %s", receipt.Verdict, receipt.Reason)
		}

		return err
	}

	poll.WaitOn(e.cluster.t, func(poll.LogT) poll.Result {
		if err := check(); err != nil {
			return poll.Continue("version %d: %v", version, err)
		}

		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// largeSetup returns a setup with that many queues, whose document has about 250 bytes for each, and whose limits name the
// version.
func largeSetup(version uint64, queues int) *mill.Setup {
	setup := &mill.Setup{
		Version:  version,
		Services: []mill.Service{{Name: "s"}},
		Limits:   mill.CallLimits{MaxBodyBytes: int(version)},
	}
	setup.Queues = append(setup.Queues, mill.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Timeout: time.Second})

	for i := range queues - 1 {
		name := fmt.Sprintf("queue-%d", i)
		setup.Queues = append(setup.Queues, mill.Queue{
			Name: name, Host: "h", Prefix: "/" + name + "/", Service: "s", Timeout: time.Second, MaxAttempts: 3,
		})
		setup.Document = fmt.Appendf(setup.Document, `{"name":%q,"host":"h","path_prefix":%q,"service":"s","timeout_ms":1000,`+
			`"target_latency_ms":250,"priority":1,"max_attempts":3,"stretch":1.5,`+
			`"advice":{"decide_ms":20,"period_ms":0.5,"validity_ms":4000},"version":%20d}`, name, "/"+name+"/", version)
	}

	return setup
}

func (c *testCluster) commit(setup *mill.Setup) {
	c.t.Helper()
	c.eventually("configure", func() error { return c.running().Configure(callContext(), setup) })
}

// expectDocument waits until the setup of a version is read back, and expects the document as it was committed.
func (c *testCluster) expectDocument(version uint64, document []byte) {
	c.t.Helper()
	c.eventually("read", func() error {
		setup, err := c.running().CurrentSetup(callContext())
		if err == nil {
			assert.Equal(c.t, setup.Version, version)
			assert.Assert(c.t, bytes.Equal(setup.Document, document))
		}

		return err
	})
}

// running returns a core process that runs.
func (c *testCluster) running() *core.Core {
	for at, stop := range c.stops {
		if stop != nil {
			return c.cores[at]
		}
	}

	panic("no core process runs")
}

// stopLeader stops the core process that leads.
func (c *testCluster) stopLeader() {
	for at, process := range c.cores {
		if c.stops[at] != nil && process.Leading() {
			c.stop(at)

			return
		}
	}

	c.t.Fatal("no core process leads")
}

// TestEntryOnNarrowLinkKeepsLeader guards against contact with the leader that depends on the size of the setup: entries on
// links of 1.5 Mbit/s have lost the leader for good after a setup of 300 kB. A process on such a link must go on serving
// while large setups are committed, small changes follow closely, the leader changes and the process itself restarts, and
// the link must carry less than a single setup.
func TestEntryOnNarrowLinkKeepsLeader(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.commit(largeSetup(1, 10))

	entry := newNarrowEntry(cluster)
	entry.expectService(1)

	version := uint64(1)

	for _, queues := range []int{1200, 8000} {
		version++
		cluster.commit(largeSetup(version, queues))
		entry.expectService(version)

		for range 5 {
			version++
			cluster.commit(largeSetup(version, queues))
		}

		entry.expectService(version)
		cluster.expectDocument(version, largeSetup(version, queues).Document)
	}

	cluster.stopLeader()
	entry.expectService(version)
	entry.restart()
	entry.expectService(version)

	assert.Assert(t, entry.link.received.Load() < 300_000, "the link has carried %d bytes", entry.link.received.Load())
}
