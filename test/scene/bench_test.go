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

// poll tries until it works and returns how long that took.
func poll(check func() bool) time.Duration {
	started := time.Now()

	for !check() {
		time.Sleep(5 * time.Millisecond)
	}

	return time.Since(started)
}

// BenchmarkFailover kills the primary of a ledger, and then the leader of the
// control log, with SIGKILL, and measures until a keyed request runs, and until
// a change is accepted. Each iteration starts a new system.
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

	at := s.vms[0].HTTP
	u := newUpstream(b)
	u.keepAnnouncing(b, at)

	runs := func(key string) func() bool {
		return func() bool {
			return send(b, http.MethodPost, at, "/booking/x", key, "a", "Mill-Deadline", "500").outcome == "ran"
		}
	}

	poll(runs("warm"))

	status := s.status()
	s.live[status.Ledgers[0].Primary].store.kill()

	attempt := 0
	ledger = poll(func() bool {
		attempt++

		return runs(fmt.Sprint("after", round, "-", attempt))()
	})

	s.startStore(status.Ledgers[0].Primary)
	s.awaitWhole()

	leader := s.status().Control[0].Leader
	s.live[leader].store.kill()

	control = poll(func() bool {
		return change(b, at, fmt.Sprint("change", round), 0, "ordinary").Accepted
	})

	return ledger, control
}

// BenchmarkConfigInForce measures until a change is in force on every entry of
// nine VMs in three data centres: with all of them well, with one store frozen,
// and with one entry that restarts.
func BenchmarkConfigInForce(b *testing.B) {
	s := newSystem(b, 3, 3, 1)
	s.boot()

	version := uint64(0)

	inForce := func() time.Duration {
		started := time.Now()

		version++
		reply := change(b, s.vms[0].HTTP, fmt.Sprint("c", version), version-1, "ordinary")
		assert.Assert(b, reply.Accepted, "%+v", reply)

		for _, vm := range s.vms {
			poll(func() bool {
				var config entry.ConfigReply

				_ = json.Unmarshal([]byte(send(b, http.MethodGet, vm.HTTP, "/v1/config", "", "").body), &config)

				return config.Version >= version
			})
		}

		return time.Since(started)
	}

	var well, frozen, restarted time.Duration

	rounds := 0

	for b.Loop() {
		rounds++

		well = max(well, inForce())

		stopped := s.live[s.vms[6].Name].store
		stopped.signal(syscall.SIGSTOP)

		frozen = max(frozen, inForce())

		stopped.signal(syscall.SIGCONT)
		s.live[s.vms[8].Name].entry.kill()
		s.startEntry(s.vms[8].Name)

		restarted = max(restarted, inForce())
	}

	b.ReportMetric(float64(well.Milliseconds()), "well-max-ms")
	b.ReportMetric(float64(frozen.Milliseconds()), "frozen-max-ms")
	b.ReportMetric(float64(restarted.Milliseconds()), "restarting-max-ms")
}
