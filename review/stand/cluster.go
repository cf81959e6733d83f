package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	coreCount = 3
	// programPath is where the build of the deploy file puts the program, seen from the repository.
	programPath = "target/cranberrymill"
)

// machine is one machine of the deployment, with its process.
type machine struct {
	name     string
	class    string
	ip       string
	settings string
	output   string
	command  *exec.Cmd
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	record   *recorder
	folder   string
	network  string
	ports    ports
	provider string
	advisor  string
	cores    []*machine
	fronts   []*machine
}

// ports are the same on all machines.
type ports struct {
	internal, control, front, ready, executor, platform int
}

// newCluster prepares the settings of a deployment whose files lie in a new temporary folder.
func newCluster(record *recorder, fronts int) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}

	c := &cluster{record: record, folder: folder}
	// A network of its own keeps the ports of cases that run side by side apart.
	c.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))

	free, err := freePorts(c.network+"1", 6)
	if err != nil {
		return nil, err
	}

	c.ports = ports{free[0], free[1], free[2], free[3], free[4], free[5]}
	c.provider = c.address(c.network+"200", c.ports.platform)
	c.advisor = c.address(c.network+"201", c.ports.platform)

	for i := range coreCount {
		c.cores = append(c.cores, c.newMachine("core", i+1, 10+i))
	}

	for i := range fronts {
		c.fronts = append(c.fronts, c.newMachine("front", i+1, 20+i))
	}

	return c, nil
}

func (c *cluster) newMachine(class string, number, host int) *machine {
	return &machine{
		name:     fmt.Sprintf("%s-zone-%d", class, number),
		class:    class,
		ip:       c.network + strconv.Itoa(host),
		settings: filepath.Join(c.folder, fmt.Sprintf("%s-%d.toml", class, number)),
		output:   filepath.Join(c.folder, fmt.Sprintf("%s-%d.log", class, number)),
	}
}

func (c *cluster) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

func (c *cluster) control(m *machine) string { return c.address(m.ip, c.ports.control) }

func (c *cluster) front(m *machine) string { return c.address(m.ip, c.ports.front) }

func (c *cluster) ready(m *machine) string { return c.address(m.ip, c.ports.ready) }

// executorAddress returns the address of the executor with that number.
func (c *cluster) executorAddress(number int) string {
	return c.address(c.network+strconv.Itoa(100+number), c.ports.executor)
}

// proxyAddress returns an address for the proxy with that number.
func (c *cluster) proxyAddress(number int) string {
	return c.address(c.network+strconv.Itoa(150+number), c.ports.control)
}

// start starts all processes, as the deploy file does.
func (c *cluster) start() error {
	for _, m := range slices.Concat(c.cores, c.fronts) {
		if err := c.writeSettings(m); err != nil {
			return err
		}

		if err := c.startMachine(m); err != nil {
			return err
		}
	}

	return nil
}

func (c *cluster) startMachine(m *machine) error {
	program, err := filepath.Abs(programPath)
	if err != nil {
		return err
	}

	output, err := os.Create(m.output)
	if err != nil {
		return err
	}
	defer output.Close()

	role := "entry"
	if m.class == "core" {
		role = "store"
	}

	m.command = exec.Command(program, "platform", role)
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "CRANBERRYMILL_CONFIG=" + m.settings}
	m.command.Stdout = output
	m.command.Stderr = output
	// The process must not outlive a case that is interrupted.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := startOnOneCore(m.command); err != nil {
		return err
	}

	c.record.logf("started %s at %s", m.name, m.ip)

	return nil
}

// stop ends all processes that start has started, and removes their files.
func (c *cluster) stop() {
	for _, m := range slices.Concat(c.cores, c.fronts) {
		if m.command == nil || m.command.Process == nil {
			continue
		}

		_ = m.command.Process.Kill()
		_ = m.command.Wait()
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// freeze suspends a machine's process, and thaw lets it go on.
func (c *cluster) freeze(m *machine) {
	c.record.logf("freeze %s", m.name)
	_ = m.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(stopDelay)
}

// stopDelay is how long it may take until all threads of a process stand still.
const stopDelay = 100 * time.Millisecond

func (c *cluster) thaw(m *machine) {
	_ = m.command.Process.Signal(syscall.SIGCONT)
	c.record.logf("thaw %s", m.name)
}

// leader returns the core process that has logged the highest term in which it leads. The log is written in batches.
func (c *cluster) leader() (*machine, error) {
	var (
		found   *machine
		highest uint64
	)

	err := eventually(5*time.Second, "no core process has logged that it leads", func() bool {
		for _, m := range c.cores {
			if term := lastTerm(m.output); term > highest {
				found, highest = m, term
			}
		}

		return found != nil
	})

	return found, err
}

// follower returns a core process that does not lead.
func (c *cluster) follower() (*machine, error) {
	leader, err := c.leader()
	if err != nil {
		return nil, err
	}

	for _, m := range c.cores {
		if m != leader {
			return m, nil
		}
	}

	return nil, errNotMet
}

func lastTerm(path string) uint64 {
	file, err := os.Open(path)
	if err != nil {
		return 0
	}
	defer file.Close()

	var last uint64

	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)

	for scanner.Scan() {
		var line struct {
			Message string `json:"message"`
			Term    uint64 `json:"term"`
		}

		if err := json.Unmarshal(scanner.Bytes(), &line); err == nil && line.Message == "started leading" {
			last = line.Term
		}
	}

	return last
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, count int) ([]int, error) {
	found := make([]int, 0, count)

	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer listener.Close()

		address, ok := listener.Addr().(*net.TCPAddr)
		if !ok {
			return nil, errors.New("listener has no TCP address")
		}

		found = append(found, address.Port)
	}

	return found, nil
}

// bounds are those of the site mtz-pozicovna.
const bounds = `[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2500
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = 6000
stop_ms = 400
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_factor = 1.5
checkpoint_s = 1
restore_ms = 100
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fencing = false
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
harm_ms = 4000
`

// The bounds that the stand-ins keep to themselves.
const (
	beatInterval = 1500 * time.Millisecond
	maxHold      = 6000 * time.Millisecond
	stopTime     = 200 * time.Millisecond
	drainTime    = 2500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	startup      = 400 * time.Millisecond
)

func (c *cluster) writeSettings(m *machine) error {
	var text strings.Builder

	write := func(format string, arguments ...any) { _, _ = fmt.Fprintf(&text, format+"\n", arguments...) }

	seeds := make([]string, 0, len(c.cores))
	for _, core := range c.cores {
		seeds = append(seeds, strconv.Quote(c.control(core)))
	}

	serves := "control"
	if m.class == "front" {
		serves = "front"
	}

	write("node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]", m.name, m.class, m.class, serves)
	write("ip = %q\nzone = \"zone\"\nregion = \"region\"", m.ip)
	write("internal_ports = [%d,%d]", c.ports.internal, c.ports.internal)
	write("seeds = [%s]", strings.Join(seeds, ","))
	write("bootstrap = true\ncounts_for_tolerance = %t", m.class == "core")

	if m.class == "core" {
		write("data_dir = %q", filepath.Join(c.folder, m.name))
	}

	write("discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = %d", beatInterval.Milliseconds())
	write("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]")
	write("config_mode = \"highest\"\norders = \"invocation\"\nadvice = %q", c.advisor)
	write("[zones]\nzone = \"region\"\n[listen]")

	if m.class == "core" {
		write("control = %q", c.control(m))
	} else {
		write("front = %q\nready = %q", c.front(m), c.ready(m))
	}

	write("[limits]\ncpu_share = 0.8\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128")
	write("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n%s", bounds)
	write("[cloud_api]\naddress = %q\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0", c.provider)

	return os.WriteFile(m.settings, []byte(text.String()), 0o600)
}
