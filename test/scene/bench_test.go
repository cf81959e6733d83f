package scene

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

// timeUntil repeats the check until it succeeds and returns how long that took.
func timeUntil(check func() bool) time.Duration {
	started := time.Now()

	for !check() {
		time.Sleep(5 * time.Millisecond)
	}

	return time.Since(started)
}

// BenchmarkFailover kills the primary of a ledger and then the leader of the
// control log with SIGKILL. It measures the time until a keyed request runs, and
// until a change is accepted. Each iteration starts a new system.
func BenchmarkFailover(b *testing.B) {
	var ledger, control time.Duration

	rounds := 0

	for b.Loop() {
		rounds++

		primary, leader := measureFailover(b, rounds)
		ledger += primary
		control += leader
	}

	b.ReportMetric(float64(ledger.Milliseconds())/float64(rounds), "ledger-ms")
	b.ReportMetric(float64(control.Milliseconds())/float64(rounds), "control-ms")
}

func measureFailover(b *testing.B, round int) (ledger, control time.Duration) {
	s := newSystem(b, 1, 3, 3)
	s.boot()

	entryAddress := s.vms[0].HTTP
	u := newUpstream(b)
	u.keepAnnouncing(b, entryAddress)

	runs := func(key string) func() bool {
		return func() bool {
			return send(b, http.MethodPost, entryAddress, "/booking/x", key, "a", "Mill-Deadline", "500").outcome == "ran"
		}
	}

	timeUntil(runs("warm"))

	status := s.status()
	s.processes[status.Ledgers[0].Primary].store.kill()

	attempt := 0
	ledger = timeUntil(func() bool {
		attempt++

		return runs(fmt.Sprint("after", round, "-", attempt))()
	})

	s.startStore(status.Ledgers[0].Primary)
	s.awaitHealthy()

	leader := s.status().Control[0].Leader
	s.processes[leader].store.kill()

	control = timeUntil(func() bool {
		return submitChange(b, entryAddress, fmt.Sprint("change", round), 0, "ordinary").Accepted
	})

	return ledger, control
}

// BenchmarkConfigInForce measures the time until a change is in force on every
// entry of nine VMs in three data centres: with all processes running, with one
// store frozen, and with one entry restarting.
func BenchmarkConfigInForce(b *testing.B) {
	s := newSystem(b, 3, 3, 1)
	s.boot()

	version := uint64(0)

	inForce := func() time.Duration {
		started := time.Now()

		version++
		reply := submitChange(b, s.vms[0].HTTP, fmt.Sprint("c", version), version-1, "ordinary")
		assert.Assert(b, reply.Accepted, "%+v", reply)

		for _, vm := range s.vms {
			timeUntil(func() bool {
				var config entry.ConfigReply

				_ = json.Unmarshal([]byte(send(b, http.MethodGet, vm.HTTP, "/v1/config", "", "").body), &config)

				return config.Version >= version
			})
		}

		return time.Since(started)
	}

	var healthy, frozen, restarted time.Duration

	rounds := 0

	for b.Loop() {
		rounds++

		healthy = max(healthy, inForce())

		frozenStore := s.processes[s.vms[6].Name].store
		frozenStore.signal(syscall.SIGSTOP)

		frozen = max(frozen, inForce())

		frozenStore.signal(syscall.SIGCONT)
		s.processes[s.vms[8].Name].entry.kill()
		s.startEntry(s.vms[8].Name)

		restarted = max(restarted, inForce())
	}

	b.ReportMetric(float64(healthy.Milliseconds()), "well-max-ms")
	b.ReportMetric(float64(frozen.Milliseconds()), "frozen-max-ms")
	b.ReportMetric(float64(restarted.Milliseconds()), "restarting-max-ms")
}
