package scene

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/entry"
)

// TestKeyedThroughFaults loses a primary with its whole data folder, the next primary
// right after the repair, and the entry that holds a request. It expects every key
// to run at most once.
func TestKeyedThroughFaults(t *testing.T) {
	s := newSystem(t, 1, 3, 3)
	s.boot()

	first, second := s.vms[0].HTTP, s.vms[1].HTTP
	u := newUpstream(t)
	u.keepAnnouncing(t, first, second)

	await(t, "a keyed request runs", func() bool {
		return send(t, http.MethodPost, first, "/booking/x", "before", "a").outcome == "ran"
	})

	t.Run("another entry replays the answer", func(t *testing.T) {
		again := send(t, http.MethodPost, second, "/booking/x", "before", "a")
		assert.Equal(t, again.outcome, "ran")
		assert.Assert(t, again.replayed)
	})

	t.Run("the primary is killed", func(t *testing.T) {
		primary := s.status().Ledgers[0].Primary
		s.processes[primary].store.kill()
		assert.NilError(t, os.RemoveAll(filepath.Join(s.folder, "data", primary)))

		await(t, "a keyed request runs without it", func() bool {
			return send(t, http.MethodPost, first, "/booking/x", "after", "a").outcome == "ran"
		})

		again := send(t, http.MethodPost, second, "/booking/x", "before", "a")
		assert.Equal(t, again.outcome, "ran")
		assert.Assert(t, again.replayed)

		s.startStore(primary)
		s.awaitHealthy()
	})

	t.Run("the next primary is killed right after the repair", func(t *testing.T) {
		primary := s.status().Ledgers[0].Primary
		s.processes[primary].store.kill()

		await(t, "a keyed request runs without it", func() bool {
			return send(t, http.MethodPost, first, "/booking/x", "later", "a").outcome == "ran"
		})

		again := send(t, http.MethodPost, second, "/booking/x", "before", "a")
		assert.Equal(t, again.outcome, "ran")
		assert.Assert(t, again.replayed)
		s.startStore(primary)
	})

	t.Run("the entry is killed with the request in flight", func(t *testing.T) {
		release := u.holdAnswers()

		go send(t, http.MethodPost, second, "/booking/x", "orphan", "a")

		await(t, "the upstream has it", func() bool { return u.count("orphan") == 1 })
		s.processes[s.vms[1].Name].entry.kill()

		again := send(t, http.MethodPost, first, "/booking/x", "orphan", "a")
		assert.Equal(t, again.outcome, "unknown")
		assert.Equal(t, again.status, http.StatusGatewayTimeout)
		release()
	})

	for _, key := range []string{"before", "after", "later", "orphan"} {
		assert.Equal(t, u.count(key), 1, key)
	}
}

// TestFrozenPrimary stops the primary of a ledger with SIGSTOP until another takes
// over, and resumes it. The ledger must reject the old primary's writes, so it
// expects that no recorded answer is lost and that no request runs twice.
func TestFrozenPrimary(t *testing.T) {
	s := newSystem(t, 1, 3, 3)
	s.boot()

	entryAddress := s.vms[0].HTTP
	u := newUpstream(t)
	u.keepAnnouncing(t, entryAddress)

	await(t, "a keyed request runs", func() bool {
		return send(t, http.MethodPost, entryAddress, "/booking/x", "k0", "a").outcome == "ran"
	})

	frozen := s.status().Ledgers[0].Primary
	s.processes[frozen].store.signal(syscall.SIGSTOP)

	await(t, "another primary takes over", func() bool {
		return send(t, http.MethodPost, entryAddress, "/booking/x", "k1", "a").outcome == "ran"
	})

	s.processes[frozen].store.signal(syscall.SIGCONT)
	s.awaitHealthy()

	for _, key := range []string{"k0", "k1"} {
		again := send(t, http.MethodPost, entryAddress, "/booking/x", key, "a")
		assert.Equal(t, again.outcome, "ran")
		assert.Assert(t, again.replayed)
		assert.Equal(t, u.count(key), 1)
	}
}

// TestPlannedStop expects that readiness fails first, that the request in flight
// is answered completely, and that the entry exits with code 0.
func TestPlannedStop(t *testing.T) {
	s := newSystem(t, 1, 2, 1)
	s.boot()

	entryAddress := s.vms[1].HTTP
	u := newUpstream(t)
	u.keepAnnouncing(t, entryAddress)

	await(t, "a keyed request runs", func() bool {
		return send(t, http.MethodPost, entryAddress, "/booking/x", "k0", "a").outcome == "ran"
	})

	release := u.holdAnswers()
	got := make(chan answer, 1)

	go func() { got <- send(t, http.MethodPost, entryAddress, "/booking/x", "slow", "a") }()

	await(t, "the upstream has it", func() bool { return u.count("slow") == 1 })

	p := s.processes[s.vms[1].Name].entry
	p.signal(syscall.SIGTERM)

	await(t, "readiness fails first", func() bool {
		return send(t, http.MethodGet, entryAddress, "/readyz", "", "").status != http.StatusOK
	})

	time.Sleep(300 * time.Millisecond)
	release()

	reply := <-got
	assert.Equal(t, reply.outcome, "ran")
	assert.Equal(t, reply.body, "a 1")
	assert.NilError(t, <-p.done)
}

// TestConfigurationNeverReverts submits two competing changes, of which one must be
// refused, and restarts a process that has missed many versions, which must then
// use the newest one.
func TestConfigurationNeverReverts(t *testing.T) {
	s := newSystem(t, 3, 2, 1)
	s.boot()

	first := submitChange(t, s.vms[0].HTTP, "first", 0, "ordinary")
	assert.Assert(t, first.Accepted)

	replies := make(chan entry.ChangeReply, 2)

	for i, preset := range []string{"ordinary", "peak"} {
		go func() { replies <- submitChange(t, s.vms[i].HTTP, "race"+preset, 1, preset) }()
	}

	one, two := <-replies, <-replies
	assert.Assert(t, one.Accepted != two.Accepted, "%+v %+v", one, two)
	assert.DeepEqual(t, submitChange(t, s.vms[2].HTTP, "first", 0, "ordinary"), first)

	last := s.vms[2]
	s.processes[last.Name].store.kill()
	s.processes[last.Name].entry.kill()

	version := uint64(2)
	for range 20 {
		reply := submitChange(t, s.vms[0].HTTP, "change"+formatUint(version), version, "peak")
		assert.Assert(t, reply.Accepted, "%+v", reply)

		version = reply.Version
	}

	s.startStore(last.Name)
	s.startEntry(last.Name)

	await(t, "the restarted process has the newest version", func() bool {
		var config entry.ConfigReply

		_ = json.Unmarshal([]byte(send(t, http.MethodGet, last.HTTP, "/v1/config", "", "").body), &config)

		return config.Version == version
	})
}

// submitChange submits declarations of two presets, one of them in force, to an entry.
func submitChange(t testing.TB, entryAddress, id string, base uint64, preset string) entry.ChangeReply {
	t.Helper()

	body := `{"id":"` + id + `","base":` + formatUint(base) + `,"who":"op","why":"w","declarations":{"presets":[` +
		`{"name":"ordinary","router":"leastWait","placer":"pack"},` +
		`{"name":"peak","router":"leastWait","placer":"spread"}],"preset":"` + preset + `"}}`

	var reply entry.ChangeReply

	_ = json.Unmarshal([]byte(send(t, http.MethodPost, entryAddress, "/v1/config", "", body).body), &reply)

	return reply
}

func formatUint(value uint64) string {
	data, _ := json.Marshal(value)

	return string(data)
}

// TestAcrossDataCentres sends requests for a service that runs in one data centre
// through every data centre, and resends a keyed one through every VM. Then the other
// data centres are frozen for longer than a lease: the home data centre must continue,
// and must not be disturbed when they resume.
func TestAcrossDataCentres(t *testing.T) {
	s := newSystem(t, 3, 2, 1)
	s.boot()

	u := newUpstream(t)
	u.keepAnnouncing(t, s.vms[0].HTTP, s.vms[1].HTTP)

	for _, vm := range s.vms {
		await(t, "the service is known at "+vm.Name, func() bool {
			return send(t, http.MethodGet, vm.HTTP, "/booking/x", "", "").outcome == "ran"
		})
	}

	far := send(t, http.MethodPost, s.vms[4].HTTP, "/booking/x", "far", "a")
	assert.Equal(t, far.outcome, "ran")

	for _, vm := range s.vms {
		await(t, "the answer is replayed at "+vm.Name, func() bool {
			again := send(t, http.MethodPost, vm.HTTP, "/booking/x", "far", "a")

			return again.outcome == "ran" && again.replayed && again.body == far.body
		})
	}

	assert.Equal(t, u.count("far"), 1)

	for _, vm := range s.vms[2:] {
		s.processes[vm.Name].store.signal(syscall.SIGSTOP)
		s.processes[vm.Name].entry.signal(syscall.SIGSTOP)
		s.processes[vm.Name].sched.signal(syscall.SIGSTOP)
	}

	// The ledger of the home data centre needs no other; only changes of the
	// configuration and of epochs wait.
	time.Sleep(4 * time.Second)

	alone := send(t, http.MethodPost, s.vms[0].HTTP, "/booking/x", "alone", "a")
	assert.Equal(t, alone.outcome, "ran")

	refused := submitChange(t, s.vms[0].HTTP, "cut", 0, "ordinary")
	assert.Assert(t, !refused.Accepted)

	for _, vm := range s.vms[2:] {
		s.processes[vm.Name].store.signal(syscall.SIGCONT)
		s.processes[vm.Name].entry.signal(syscall.SIGCONT)
		s.processes[vm.Name].sched.signal(syscall.SIGCONT)
	}

	s.awaitHealthy()

	again := send(t, http.MethodPost, s.vms[5].HTTP, "/booking/x", "alone", "a")
	assert.Equal(t, again.outcome, "ran")
	assert.Assert(t, again.replayed)
	assert.Equal(t, u.count("alone"), 1)
}

// TestPlannedStopHandsOver stops the primary store and the active scheduler with
// SIGTERM. It expects that both exit with code 0, that the next keyed request runs,
// and that another scheduler becomes active.
func TestPlannedStopHandsOver(t *testing.T) {
	s := newSystem(t, 1, 3, 3)
	s.boot()

	entryAddress := s.vms[0].HTTP
	u := newUpstream(t)
	u.keepAnnouncing(t, entryAddress)

	await(t, "a keyed request runs", func() bool {
		return send(t, http.MethodPost, entryAddress, "/booking/x", "k0", "a").outcome == "ran"
	})

	before := s.status().Ledgers[0]
	leading := s.processes[before.Primary].store
	leading.signal(syscall.SIGTERM)
	assert.NilError(t, <-leading.done)

	// The store hands over the primary role before it exits.
	after := s.status().Ledgers[0]
	assert.Assert(t, after.Primary != before.Primary, "%+v", after)
	assert.Equal(t, send(t, http.MethodPost, entryAddress, "/booking/x", "k1", "a").outcome, "ran")

	active := s.processes[before.Scheduler].sched
	active.signal(syscall.SIGTERM)
	assert.NilError(t, <-active.done)

	await(t, "another scheduler is active", func() bool {
		scheduler := s.status().Ledgers[0].Scheduler

		return scheduler != "" && scheduler != before.Scheduler
	})
}
