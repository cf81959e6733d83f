package scene

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrymill/cranberrymill/internal/conf"
	"github.com/cranberrymill/cranberrymill/internal/entry"
	"github.com/cranberrymill/cranberrymill/internal/proc"
	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	os.Exit(proc.Main(m, &program))
}

// process is a running instance of the program.
type process struct {
	t    testing.TB
	cmd  *exec.Cmd
	logs *bytes.Buffer
	done chan error
}

// startProcess starts the program in a folder. The process is killed when the test ends.
func startProcess(t testing.TB, folder string, arguments ...string) *process {
	t.Helper()

	p := &process{t: t, cmd: exec.Command(program, arguments...), logs: &bytes.Buffer{}, done: make(chan error, 1)}
	p.cmd.Dir = folder
	p.cmd.Stderr = p.logs
	p.cmd.Stdout = io.Discard

	assert.NilError(t, p.cmd.Start())

	go func() { p.done <- p.cmd.Wait() }()

	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()

		if t.Failed() {
			t.Logf("log of %v:\n%s", arguments, p.logs.String())
		}
	})

	return p
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(signal))
}

func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)

	if err := <-p.done; err == nil {
		p.t.Fatal("the process exited with code 0 before it was killed")
	}
}

// runProgram runs the program until it exits and returns its output and exit code.
func runProgram(t testing.TB, folder string, arguments ...string) (string, int) {
	t.Helper()

	cmd := exec.Command(program, arguments...)
	cmd.Dir = folder
	output, err := cmd.CombinedOutput()

	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}

	return string(output), cmd.ProcessState.ExitCode()
}

// vmProcesses are the processes of one VM.
type vmProcesses struct {
	store, sched, entry *process
}

// system is a system of VMs whose processes run on loopback.
type system struct {
	t         testing.TB
	folder    string
	vms       []conf.VM
	processes map[string]*vmProcesses
}

// newSystem writes the settings of a system. The first durableEach VMs of each data
// centre are durable, and the first three durable VMs of all are voters.
func newSystem(t testing.TB, dataCentres, vmsEach, durableEach int) *system {
	t.Helper()

	s := &system{t: t, folder: t.TempDir(), processes: make(map[string]*vmProcesses)}
	cluster := &conf.Cluster{}
	addresses := freeAddresses(t, dataCentres*vmsEach*addressesPerVM)
	voters := min(dataCentres*durableEach, 3)

	for d := range dataCentres {
		dataCentre := conf.DataCentre{Name: fmt.Sprintf("dc%d", d), Region: fmt.Sprintf("region%d", d)}

		for v := range vmsEach {
			durable := v < durableEach
			own := addresses[(d*vmsEach+v)*addressesPerVM:]
			dataCentre.VMs = append(dataCentre.VMs, conf.VM{
				Name:    fmt.Sprintf("dc%d-%d", d, v),
				HTTP:    own[0],
				Entry:   own[1],
				Store:   own[2],
				Sched:   own[3],
				Durable: durable,
				Voter:   durable && voters > 0,
			})

			if durable {
				voters--
			}
		}

		cluster.DataCentres = append(cluster.DataCentres, dataCentre)
	}

	writeJSON(t, filepath.Join(s.folder, "cluster.json"), cluster)
	s.vms = cluster.VMs()

	for _, vm := range s.vms {
		writeJSON(t, s.settings(vm.Name), map[string]any{
			"vm": vm.Name, "cluster": "cluster.json", "dataFolder": "data/" + vm.Name, "logLevel": "info",
			"limits": map[string]any{"leaseMilli": 1000, "drainMilli": 5000, "noticeMilli": 200, "lateAnswerMilli": 3000},
		})
	}

	return s
}

func (s *system) settings(vm string) string {
	return filepath.Join(s.folder, vm+".json")
}

// boot initializes the control log, starts every process and waits until the system is healthy.
func (s *system) boot() {
	s.t.Helper()

	output, code := runProgram(s.t, s.folder, "store", "init", "--settings", s.settings(s.vms[0].Name))
	assert.Equal(s.t, code, 0, output)

	for _, vm := range s.vms {
		s.processes[vm.Name] = &vmProcesses{}
		s.startStore(vm.Name)
		s.startSched(vm.Name)
		s.startEntry(vm.Name)
	}

	s.awaitHealthy()
}

func (s *system) startStore(vm string) {
	s.processes[vm].store = startProcess(s.t, s.folder, "store", "run", "--settings", s.settings(vm))
}

func (s *system) startSched(vm string) {
	s.processes[vm].sched = startProcess(s.t, s.folder, "sched", "--settings", s.settings(vm))
}

func (s *system) startEntry(vm string) {
	s.processes[vm].entry = startProcess(s.t, s.folder, "entry", "--settings", s.settings(vm))
}

func (s *system) awaitHealthy() {
	s.t.Helper()
	s.await("the system is healthy", func() bool {
		_, code := runProgram(s.t, s.folder, "status", "--whole", "--entry", s.vms[0].HTTP)

		return code == 0
	})
}

// await waits until the check succeeds, or fails the system's test.
func (s *system) await(what string, check func() bool) {
	s.t.Helper()
	await(s.t, what, check)
}

// await waits until the check succeeds. Its limit of 60 s is exceeded only by a hang.
func await(t testing.TB, what string, check func() bool) {
	t.Helper()

	until := time.Now().Add(60 * time.Second)

	for !check() {
		if time.Now().After(until) {
			t.Fatalf("not true after 60 s: %s", what)
		}

		time.Sleep(50 * time.Millisecond)
	}
}

// upstream is an HTTP server that counts the runs of each key.
type upstream struct {
	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int
	gate     chan struct{}
}

func newUpstream(t testing.TB) *upstream {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	u := &upstream{listener: listener, runs: make(map[string]int)}
	server := &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}

	go func() { _ = server.Serve(listener) }()

	t.Cleanup(func() { _ = server.Close() })

	return u
}

// ServeHTTP counts the request and answers with its body and the count.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)

	u.mu.Lock()
	u.runs[r.Header.Get(mill.HeaderIdempotencyKey)]++
	count := u.runs[r.Header.Get(mill.HeaderIdempotencyKey)]
	gate := u.gate
	u.mu.Unlock()

	if gate != nil {
		<-gate
	}

	w.Header().Set("X-Echo-Path", r.URL.RequestURI())
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "%s %d", body, count)
}

func (u *upstream) count(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.runs[key]
}

// holdAnswers delays the upstream's answers until the returned function is called.
func (u *upstream) holdAnswers() func() {
	gate := make(chan struct{})

	u.mu.Lock()
	u.gate = gate
	u.mu.Unlock()

	return func() {
		u.mu.Lock()
		u.gate = nil
		u.mu.Unlock()

		close(gate)
	}
}

// keepAnnouncing announces the upstream to the entries until the test ends.
func (u *upstream) keepAnnouncing(t testing.TB, entries ...string) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)

	body, err := json.Marshal(mill.Announcement{
		ID: "u-booking", Incarnation: 1, Service: "booking", Rack: "r1",
		Address: u.listener.Addr().String(), Slots: 8, Connections: 64,
	})
	assert.NilError(t, err)

	go func() {
		for ctx.Err() == nil {
			for _, entry := range entries {
				if response, err := http.Post("http://"+entry+"/v1/upstreams", "application/json", bytes.NewReader(body)); err == nil {
					_ = response.Body.Close()
				}
			}

			time.Sleep(500 * time.Millisecond)
		}
	}()
}

// answer is the answer that a caller received.
type answer struct {
	status   int
	outcome  string
	body     string
	replayed bool
	header   http.Header
}

// send sends one request and returns status 0 on a connection error.
func send(t testing.TB, method, entry, path, key, body string, headers ...string) answer {
	t.Helper()

	request, err := http.NewRequest(method, "http://"+entry+path, strings.NewReader(body))
	assert.NilError(t, err)

	if key != "" {
		request.Header.Set(mill.HeaderIdempotencyKey, key)
	}

	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}

	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}

	defer func() { _ = response.Body.Close() }()

	text, _ := io.ReadAll(response.Body)

	return answer{
		status:   response.StatusCode,
		outcome:  response.Header.Get(mill.HeaderOutcome),
		body:     string(text),
		replayed: response.Header.Get("Mill-Replayed") == "true",
		header:   response.Header,
	}
}

// addressesPerVM is the number of addresses that the processes of one VM listen on.
const addressesPerVM = 4

// testHost returns a loopback address that other processes hardly listen on. Outgoing connections
// have 127.0.0.1 as their source, so none of them takes a port that a process is about to listen on.
func testHost() string {
	pid := os.Getpid()

	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

// freeAddresses returns different loopback addresses whose ports are free when it returns.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()

	addresses := make([]string, 0, count)

	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(testHost(), "0"))
		assert.NilError(t, err)

		// All listeners stay open until every port is chosen, so that none is chosen twice.
		defer func() { _ = listener.Close() }()

		addresses = append(addresses, listener.Addr().String())
	}

	return addresses
}

func writeJSON(t testing.TB, path string, value any) {
	t.Helper()

	data, err := json.Marshal(value)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, data, 0o600))
}

func (s *system) status() entry.StatusReply {
	s.t.Helper()

	var status entry.StatusReply

	reply := send(s.t, http.MethodGet, s.vms[0].HTTP, "/v1/status", "", "")
	_ = json.Unmarshal([]byte(reply.body), &status)

	return status
}

// TestFreeAddresses expects no address to be given out twice in one call.
func TestFreeAddresses(t *testing.T) {
	seen := make(map[string]bool)

	for _, address := range freeAddresses(t, 512) {
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
}
