package core_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// Keys that are easy to find in captured output.
const (
	keyA  = mill.APIKey("s3cret-of-a")
	keyA2 = mill.APIKey("s3cret-of-a-2")
	keyB  = mill.APIKey("s3cret-of-b")
)

// configureTenants commits a setup with a private and a public queue and two tenants. Tenant a has the given keys.
func (c *testCluster) configureTenants(version uint64, keysOfA ...mill.APIKey) {
	queue := mill.Queue{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Timeout: time.Second}
	public := queue
	public.Name, public.Prefix, public.Public = "open", "/open/", true

	c.eventually("configure", func() error {
		return c.cores[0].Configure(callContext(), &mill.Setup{
			Version: version, Queues: []mill.Queue{queue, public}, Services: []mill.Service{{Name: "s"}},
			Tenants:  []mill.Tenant{{Name: "a", Keys: keysOfA}, {Name: "b", Keys: []mill.APIKey{keyB}}},
			Document: fmt.Append(nil, version, string(keyA), string(keyB)),
		})
	})
}

func keyed(path string, key mill.APIKey) mill.Target {
	return mill.Target{Host: "h", Path: path, Key: key}
}

// submitOnce submits a job and returns the verdict.
func (c *testCluster) submitOnce(target mill.Target) mill.Verdict {
	c.t.Helper()

	receipt, err := c.front.Submit(callContext(), target, &mill.Workload{
		Spec: "s", Steps: []mill.Step{{Count: 1, Estimate: time.Second}},
	})
	assert.NilError(c.t, err)

	return receipt.Verdict
}

// expectVerdict submits a job until a leader decides, and checks the verdict.
func (c *testCluster) expectVerdict(target mill.Target, want mill.Verdict) {
	c.t.Helper()

	verdict := mill.VerdictUnknown

	c.eventually("submit", func() error {
		verdict = c.submitOnce(target)
		if verdict == mill.VerdictUnknown || verdict == mill.VerdictRefused {
			return mill.ErrUnavailable
		}

		return nil
	})
	assert.Check(c.t, verdict == want, "submit to %s: verdict %d, want %d", target.Path, verdict, want)
}

// expectAccess reads a job and cancels it until a leader answers, and checks the error.
func (c *testCluster) expectAccess(target mill.Target, want error) {
	c.t.Helper()

	c.expectError("read "+target.Path, want, func() error {
		_, err := c.front.State(callContext(), target)

		return err
	})
	c.expectError("cancel "+target.Path, want, func() error { return c.front.Cancel(callContext(), target) })
}

func (c *testCluster) expectError(what string, want error, call func() error) {
	c.t.Helper()

	var err error

	c.eventually(what, func() error {
		if err = call(); errors.Is(err, mill.ErrUnavailable) {
			return err
		}

		return nil
	})
	assert.Check(c.t, errors.Is(err, want), "%s: %v, want %v", what, err, want)
}

// TestKeys guards against calls that run or show something without the right key, and against keys that are refused
// though a tenant holds them.
func TestKeys(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configure(0, 1)
	cluster.submit("early", &mill.Workload{Spec: "s", Steps: []mill.Step{{Count: 1, Estimate: time.Second}}})
	cluster.configureTenants(2, keyA, keyA2)
	cluster.checkSubmissions()

	cluster.expectAccess(keyed("/none/of-a", keyA), mill.ErrNoQueue)
	cluster.expectAccess(keyed("/q/none", "unknown"), mill.ErrUnauthenticated)
	cluster.expectAccess(keyed("/q/none", keyA), mill.ErrNotFound)
	cluster.expectAccess(keyed("/q/of-a", ""), mill.ErrUnauthenticated)
	cluster.expectAccess(keyed("/q/of-a", keyB), mill.ErrForbidden)
	cluster.expectAccess(keyed("/open/of-a", ""), mill.ErrForbidden)
	cluster.expectAccess(keyed("/q/of-a", keyA2), nil)
	cluster.expectAccess(keyed("/q/early", keyB), nil)
	cluster.expectAccess(keyed("/open/anonymous", "unknown"), nil)

	for key, want := range map[mill.APIKey]error{keyA: nil, "": mill.ErrUnauthenticated} {
		cluster.expectError("count", want, func() error {
			_, err := cluster.front.Pending(callContext(), keyed("/q/", key))

			return err
		})
	}
}

func (c *testCluster) checkSubmissions() {
	c.t.Helper()

	for _, call := range []struct {
		target mill.Target
		want   mill.Verdict
	}{
		{keyed("/none/of-a", "unknown"), mill.VerdictNoQueue},
		{keyed("/q/of-a", ""), mill.VerdictUnauthenticated},
		{keyed("/q/of-a", "unknown"), mill.VerdictUnauthenticated},
		{keyed("/q/of-a", keyA), mill.VerdictAccepted},
		{keyed("/q/of-a", keyA2), mill.VerdictAccepted},
		{keyed("/q/of-a", keyB), mill.VerdictForbidden},
		{keyed("/open/of-a", keyB), mill.VerdictForbidden},
		{keyed("/open/of-a", ""), mill.VerdictForbidden},
		{keyed("/open/anonymous", ""), mill.VerdictAccepted},
		{keyed("/open/of-b", keyB), mill.VerdictAccepted},
		{keyed("/open/of-b", keyA), mill.VerdictForbidden},
	} {
		c.expectVerdict(call.target, call.want)
	}
}

// TestWithdrawnKey withdraws one of a tenant's keys and adds it again: from the acknowledgment on, each call counts by the
// new version.
func TestWithdrawnKey(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configureTenants(1, keyA, keyA2)
	cluster.expectVerdict(keyed("/q/first", keyA), mill.VerdictAccepted)

	cluster.configureTenants(2, keyA2)
	cluster.expectVerdict(keyed("/q/second", keyA), mill.VerdictUnauthenticated)
	cluster.expectAccess(keyed("/q/first", keyA), mill.ErrUnauthenticated)
	cluster.expectAccess(keyed("/q/first", keyA2), nil)

	cluster.configureTenants(3, keyA2, keyA)
	cluster.expectVerdict(keyed("/q/second", keyA), mill.VerdictAccepted)
}

// TestUnknownKeyNeedsConfirmedLeader calls with unknown keys right after the remaining process has lost the others. They
// may have accepted a setup with these keys since, so that no answer may say that there is no such key.
func TestUnknownKeyNeedsConfirmedLeader(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.configureTenants(1, keyA)
	cluster.expectVerdict(keyed("/q/first", keyA), mill.VerdictAccepted)
	cluster.stopOthers(keyed("/q/first", keyA))

	for _, key := range []mill.APIKey{"unknown", keyB} {
		_, err := cluster.front.State(callContext(), keyed("/q/first", key))
		assert.ErrorIs(t, err, mill.ErrUnavailable)
		assert.ErrorIs(t, cluster.front.Cancel(callContext(), keyed("/q/first", key)), mill.ErrUnavailable)

		verdict := cluster.submitOnce(keyed("/q/first", key))
		assert.Assert(t, verdict == mill.VerdictUnknown || verdict == mill.VerdictRefused, "verdict %d", verdict)
	}
}
