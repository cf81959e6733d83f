package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const zones = 3

// machine is one machine of the system with its process.
type machine struct {
	name     string
	role     string
	ip       string
	settings string
	log      string
	command  *exec.Cmd
}

// cluster is a small deployment: a core machine and a front machine in each of three zones.
type cluster struct {
	program  string
	root     string
	folder   string
	network  string
	internal int
	control  int
	front    int
	ready    int
	outside  int
	cores    []*machine
	fronts   []*machine
}

func newCluster(program, root string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}

	c := &cluster{program: program, root: root, folder: folder, network: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 1+time.Now().Nanosecond()%250)}

	for _, port := range []*int{&c.internal, &c.control, &c.front, &c.ready, &c.outside} {
		if *port, err = freePort(c.network + "10"); err != nil {
			return nil, err
		}
	}

	for i := range zones {
		c.cores = append(c.cores, c.newMachine("core", "store", i, 10+i))
		c.fronts = append(c.fronts, c.newMachine("front", "entry", i, 20+i))
	}

	return c, nil
}

func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}

	defer func() { _ = listener.Close() }()

	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return 0, fmt.Errorf("no TCP address: %v", listener.Addr())
	}

	return address.Port, nil
}

func (c *cluster) newMachine(class, role string, number, host int) *machine {
	name := fmt.Sprintf("%s-zone-%d-1", class, number)

	return &machine{
		name: name, role: role, ip: fmt.Sprintf("%s%d", c.network, host),
		settings: filepath.Join(c.folder, name+".toml"), log: filepath.Join(c.folder, name+".log"),
	}
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (c *cluster) provider() string { return address(c.network+"30", c.outside) }

// controls returns the addresses that serve control, beginning with a number's own zone.
func (c *cluster) controls(number int) []string {
	list := make([]string, 0, zones)
	for i := range zones {
		list = append(list, address(c.cores[(number+i)%zones].ip, c.control))
	}

	return list
}

func (c *cluster) start() error {
	for i := range zones {
		for _, m := range []*machine{c.cores[i], c.fronts[i]} {
			if err := c.write(m, i); err != nil {
				return err
			}

			if err := c.startMachine(m); err != nil {
				return err
			}
		}
	}

	return nil
}

func (c *cluster) startMachine(m *machine) error {
	output, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	defer func() { _ = output.Close() }()

	m.command = exec.Command(c.program, "platform", m.role)
	m.command.Dir = c.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "CRANBERRYMILL_CONFIG=" + m.settings}
	m.command.Stdout, m.command.Stderr = output, output
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	return m.command.Start()
}

// stop ends all processes and removes the folder, unless the logs are to be kept.
func (c *cluster) stop() {
	for _, m := range append(c.cores, c.fronts...) {
		if m.command != nil && m.command.Process != nil {
			_ = m.command.Process.Kill()
			_ = m.command.Wait()
		}
	}

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

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

func (c *cluster) write(m *machine, zone int) error {
	var text strings.Builder

	write := func(format string, arguments ...any) { _, _ = fmt.Fprintf(&text, format+"\n", arguments...) }
	class, serves := "core", "control"

	if m.role == "entry" {
		class, serves = "front", "front"
	}

	write("node_name = %q\nrole = %q\nmachine_class = %q\nserves = [%q]", m.name, m.role, class, serves)
	write("ip = %q\nzone = \"zone-%d\"\nregion = \"region-%d\"", m.ip, zone, zone)
	write("internal_ports = [%d,%d]\nseeds = [\"%s\"]", c.internal, c.internal, strings.Join(c.controls(0), `","`))
	write("bootstrap = true\ncounts_for_tolerance = %t", class == "core")

	if class == "core" {
		write("data_dir = %q", filepath.Join(c.folder, m.name))
	}

	write("discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = %d", beat.Milliseconds())
	write("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]")
	write("config_mode = \"highest\"\norders = \"invocation\"\n[zones]")

	for i := range zones {
		write("zone-%d = \"region-%d\"", i, i)
	}

	write("[listen]")

	if class == "core" {
		write("control = %q", address(m.ip, c.control))
	} else {
		write("front = %q\nready = %q", address(m.ip, c.front), address(m.ip, c.ready))
	}

	write("[limits]\ncpu_share = 0.8\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128")
	write("[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n%s", bounds)
	write("[cloud_api]\naddress = %q\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0", c.provider())

	return os.WriteFile(m.settings, []byte(text.String()), 0o600)
}
