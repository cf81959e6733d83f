package scene

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestRunSurvivesKill sends a keyed request to a system of one process and kills
// the process. It expects the answer to be replayed after the restart.
func TestRunSurvivesKill(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	vm := s.vms[0]
	p := startProcess(t, s.folder, "run", "--settings", s.settings(vm.Name))

	u := newUpstream(t)
	u.keepAnnouncing(t, vm.HTTP)

	await(t, "the service is known", func() bool {
		return send(t, http.MethodGet, vm.HTTP, "/booking/x", "", "").status == http.StatusCreated
	})

	var first answer

	await(t, "a keyed request runs", func() bool {
		first = send(t, http.MethodPost, vm.HTTP, "/booking/contracts?a=%20b", "k1", "excavator")

		return first.outcome == "ran"
	})

	assert.Equal(t, first.body, "excavator 1")
	assert.Equal(t, first.header.Get("X-Echo-Path"), "/booking/contracts?a=%20b")

	// An answer is recorded after it is sent to the caller (docs/design/keyed-requests.md). A
	// kill in between leaves the outcome unknown for good, and is not tested here.
	await(t, "the answer is recorded", func() bool {
		return send(t, http.MethodPost, vm.HTTP, "/booking/contracts?a=%20b", "k1", "excavator").replayed
	})

	p.kill()
	startProcess(t, s.folder, "run", "--settings", s.settings(vm.Name))

	var again answer

	await(t, "the answer is replayed", func() bool {
		again = send(t, http.MethodPost, vm.HTTP, "/booking/contracts?a=%20b", "k1", "excavator")

		return again.outcome == "ran"
	})

	assert.Equal(t, again.body, first.body)
	assert.Assert(t, again.replayed)
	assert.Equal(t, u.count("k1"), 1)
}

// TestBadInput sends requests that the entry must reject, and expects the outcome "not run" with the
// matching status, and no second run for a key that is reused with a different body.
func TestBadInput(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	vm := s.vms[0]
	startProcess(t, s.folder, "run", "--settings", s.settings(vm.Name))

	u := newUpstream(t)
	u.keepAnnouncing(t, vm.HTTP)

	await(t, "the service is known", func() bool {
		return send(t, http.MethodGet, vm.HTTP, "/booking/x", "", "").outcome == "ran"
	})

	unknown := send(t, http.MethodGet, vm.HTTP, "/nowhere/x", "", "")
	assert.Equal(t, unknown.status, http.StatusNotFound)
	assert.Equal(t, unknown.outcome, "not-run")

	large := send(t, http.MethodPost, vm.HTTP, "/booking/x", "", strings.Repeat("x", 5<<20))
	assert.Equal(t, large.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, large.outcome, "not-run")

	deadline := send(t, http.MethodGet, vm.HTTP, "/booking/x", "", "", "Mill-Deadline", "soon")
	assert.Equal(t, deadline.status, http.StatusBadRequest)
	assert.Equal(t, deadline.outcome, "not-run")

	await(t, "a keyed request runs", func() bool {
		return send(t, http.MethodPost, vm.HTTP, "/booking/x", "k", "one").outcome == "ran"
	})

	other := send(t, http.MethodPost, vm.HTTP, "/booking/x", "k", "two")
	assert.Equal(t, other.status, http.StatusUnprocessableEntity)
	assert.Equal(t, u.count("k"), 1)
}

// TestBadSettings expects exit code 2 and a single line that names the faulty setting, instead of a start
// with settings that the operator did not intend.
func TestBadSettings(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	vm := s.vms[0]
	good := `"vm":"` + vm.Name + `","cluster":"cluster.json"`

	cases := []struct {
		name, settings, want string
	}{
		{"unknown field", `{` + good + `,"vmm":1}`, `unknown field "vmm"`},
		{"wrong type", `{` + good + `,"dataFolder":7}`, `field "dataFolder" is a number: want string`},
		{"out of range", `{` + good + `,"limits":{"workers":0}}`, "limits.workers 0: want 1 to 1048576"},
		{"unknown VM", `{"vm":"nope","cluster":"cluster.json"}`, `vm "nope": want one of`},
		{"unwritable folder", `{` + good + `,"dataFolder":"/proc/none"}`, `dataFolder "/proc/none": want a folder`},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(s.folder, "bad.json")
			assert.NilError(t, os.WriteFile(path, []byte(c.settings), 0o600))

			output, code := runProgram(t, s.folder, "entry", "--settings", path)
			assert.Equal(t, code, 2, output)
			assert.Assert(t, cmp.Contains(output, c.want))
			assert.Equal(t, strings.Count(output, "\n"), 1)
		})
	}
}

// TestAddressInUse starts an entry whose HTTP address another process listens on, and expects exit code 2
// and an error that names the setting to change.
func TestAddressInUse(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	vm := s.vms[0]
	u := newUpstream(t)

	path := filepath.Join(s.folder, "cluster.json")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)

	taken := strings.ReplaceAll(string(data), vm.HTTP, u.listener.Addr().String())
	assert.NilError(t, os.WriteFile(path, []byte(taken), 0o600))

	output, code := runProgram(t, s.folder, "entry", "--settings", s.settings(vm.Name))
	assert.Equal(t, code, 2)
	assert.Assert(t, cmp.Contains(output, "vms."+vm.Name+".http"))
	assert.Assert(t, cmp.Contains(output, "want an address that is free"))
}

// TestSecondProcessOnOneFolder expects a second store on the data folder of a running one to exit with
// code 2, since two writers would corrupt it, and the first one to stop normally afterwards.
func TestSecondProcessOnOneFolder(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	vm := s.vms[0]
	p := startProcess(t, s.folder, "run", "--settings", s.settings(vm.Name))

	await(t, "the process is ready", func() bool {
		return send(t, http.MethodGet, vm.HTTP, "/readyz", "", "").status == http.StatusOK
	})

	output, code := runProgram(t, s.folder, "store", "run", "--settings", s.settings(vm.Name))
	assert.Equal(t, code, 2)
	assert.Assert(t, cmp.Contains(output, "data folder is in use"))

	p.signal(syscall.SIGTERM)
	assert.NilError(t, <-p.done)
}

// TestOperatorCommands runs the commands of the README's walkthrough: it applies
// declarations, switches the preset, submits a job and follows it.
func TestOperatorCommands(t *testing.T) {
	s := newSystem(t, 1, 1, 1)
	vm := s.vms[0]
	startProcess(t, s.folder, "run", "--settings", s.settings(vm.Name))

	examples, err := filepath.Abs("../../examples/local")
	assert.NilError(t, err)

	runCommand := func(arguments ...string) string {
		output, code := runProgram(t, s.folder, append(arguments, "--entry", vm.HTTP)...)
		assert.Equal(t, code, 0, "%v: %s", arguments, output)

		return output
	}

	await(t, "a change is accepted", func() bool {
		_, code := runProgram(t, s.folder, "apply", "--entry", vm.HTTP, "--id", "first", "--base", "0",
			filepath.Join(examples, "declarations"))

		return code == 0
	})

	assert.Assert(t, cmp.Contains(runCommand("preset", "show"), "ordinary is in force at version 1"))
	assert.Assert(t, cmp.Contains(runCommand("preset", "switch", "peak", "--why", "Saturday"), "version 2 is accepted"))

	output, code := runProgram(t, s.folder, "preset", "switch", "--entry", vm.HTTP, "--base", "1", "ordinary")
	assert.Equal(t, code, 1)
	assert.Assert(t, cmp.Contains(output, "version 2 is in force"))

	id := strings.TrimSpace(runCommand("job", "submit", filepath.Join(examples, "job.json"), "--key", "nightly"))
	assert.Equal(t, strings.TrimSpace(runCommand("job", "submit", filepath.Join(examples, "job.json"), "--key", "nightly")), id)
	assert.Assert(t, cmp.Contains(runCommand("job", "list"), id))

	await(t, "the scheduler is active", func() bool {
		output, code := runProgram(t, s.folder, "job", "explain", "--entry", vm.HTTP, id)

		return code == 0 && strings.Contains(output, "no worker is live")
	})

	runCommand("job", "cancel", id)
	assert.Assert(t, cmp.Contains(runCommand("job", "explain", id), "the job has finished: canceled"))
	assert.Assert(t, cmp.Contains(runCommand("audit"), "preset peak  1 -> 2"))

	output, code = runProgram(t, s.folder, "job", "show", "--entry", vm.HTTP, "nope")
	assert.Equal(t, code, 1)
	assert.Assert(t, cmp.Contains(output, `job "nope": not found`))
}
