package core_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// TestRoutesOfOneName guards against jobs that run on the service of another route of the same name, and against counts and
// keyless reads that mix the two. Only the service of the second route has a worker.
func TestRoutesOfOneName(t *testing.T) {
	cluster := newTestCluster(t)
	first := mill.Queue{Name: "q", Host: "h", Prefix: "/first/", Service: "t", Timeout: time.Second, Public: true}
	second := first
	second.Prefix, second.Service = "/q/", "s"

	cluster.eventually("configure", func() error {
		return cluster.cores[0].Configure(callContext(), &mill.Setup{
			Version: 1, Queues: []mill.Queue{first, second}, Services: []mill.Service{{Name: "s"}, {Name: "t"}},
			Tenants: []mill.Tenant{{Name: "a", Keys: []mill.APIKey{keyA}}}, Document: []byte("1"),
		})
	})

	cluster.runJob("on-second", 1)
	cluster.expectVerdict(at("/first/on-first"), mill.VerdictAccepted)
	cluster.expectAccess(at("/q/on-first"), mill.ErrForbidden)

	for path, want := range map[string]int{"/first/": 1, "/q/": 0} {
		cluster.eventually("count", func() error {
			count, err := cluster.front.Pending(callContext(), at(path))
			if err == nil && count != want {
				err = fmt.Errorf("%d jobs of %s are pending, want %d", count, path, want)
			}

			return err
		})
	}

	assert.Equal(t, cluster.worker.runs(), 0)
}
