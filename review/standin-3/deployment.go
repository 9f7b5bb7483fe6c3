package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports are the same on all machines. metricsPort is that of the deploy file.
const (
	controlPort  = 18166
	internalPort = 17720
	metricsPort  = 9100
)

// program is the path of the project's program, from the root of the repository.
const program = "target/redwingledge"

// machine runs one control process.
type machine struct {
	name, ip, zone string
	disk, settings string
	command        *exec.Cmd
	log            *os.File
}

// bounds are those of the rules, in the units of the settings.
type bounds struct {
	contact, acknowledgement, catchUp, drain, grace, apply, evacuation, recovery int
}

// smallBounds are those of fjspb-ledge and ndfsc-edge, and grownBounds those of ndfsc-edge-grown.
var (
	smallBounds = bounds{contact: 4000, acknowledgement: 5000, catchUp: 4, drain: 3000, grace: 6, apply: 3000, evacuation: 5000, recovery: 12}
	grownBounds = bounds{contact: 5000, acknowledgement: 6000, catchUp: 6, drain: 4000, grace: 6, apply: 4000, evacuation: 5000, recovery: 15}
)

// deployment is a set of control machines with the settings that the platform writes for all of them.
type deployment struct {
	*play

	prefix   string
	machines []*machine
	// seeds are the addresses in the settings.
	seeds []string
	// zones, tolerance and bounds are what the settings say now.
	zones     []string
	tolerance int
	bounds    bounds
	// added counts the machines, those that are gone included.
	added int
}

func newDeployment(p *play, zones []string, tolerance int) (*deployment, error) {
	prefix, err := findNetwork()
	if err != nil {
		return nil, err
	}
	return &deployment{play: p, prefix: prefix, zones: zones, tolerance: tolerance, bounds: smallBounds}, nil
}

// findNetwork returns the first three parts of loopback addresses on which the ports are free.
func findNetwork() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if isFree(prefix) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(prefix string) bool {
	for host := 1; host <= 6; host++ {
		for _, port := range []int{controlPort, internalPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// add adds a machine without starting it.
func (d *deployment) add(zone string) *machine {
	d.added++
	n := d.added
	m := &machine{
		name: fmt.Sprintf("core-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", d.prefix, n), zone: zone,
		disk: filepath.Join(d.folder, fmt.Sprintf("disk-%d", n)), settings: filepath.Join(d.folder, fmt.Sprintf("node-%d.toml", n)),
	}
	d.machines = append(d.machines, m)
	return m
}

// writeSettings writes the settings file of a machine as the platform does: at once, in place of the one before.
func (d *deployment) writeSettings(m *machine, bootstrap bool) error {
	var seeds, zones []string
	for _, seed := range d.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", seed))
	}
	for _, zone := range d.zones {
		zones = append(zones, fmt.Sprintf("%s = \"north\"", zone))
	}
	b := d.bounds
	text := fmt.Sprintf(`node-name = %q
role = "control"
machine-class = "core"
serves = ["control_plane"]
ip = %q
zone = %q
region = "north"
internal-port-range = [%d,%d]
seeds = [%s]
bootstrap = %t
loss-counts = true
data-dir = %q
discovery = "registry"
entry = "advertise"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","flows","places"]
config_mode = "highest"
hash-algorithm = "mod"
forwarding-mode = "echo"
[zones]
%s
[listen]
control = "%s:%d"
[limits]
cpu-share = 0.48
cores = 1
memory-mb = 280
max-fds = 4096
link-mbps = 1000.0
disk-mb = 128
[fault-tolerance]
machines = %d
zones = 1
regions = 0
[bounds]
contact-ms = %d
ack-ms = %d
catch-up-s = %d
drain-ms = %d
grace-s = %d
config-apply-ms = %d
evacuation-ms = %d
recovery-s = %d
`, m.name, m.ip, m.zone, internalPort, internalPort+15, strings.Join(seeds, ","), bootstrap, m.disk, strings.Join(zones, "\n"), m.ip,
		controlPort, d.tolerance, b.contact, b.acknowledgement, b.catchUp, b.drain, b.grace, b.apply, b.evacuation, b.recovery)
	next := m.settings + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, m.settings)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine, bootstrap bool) error {
	if err := d.writeSettings(m, bootstrap); err != nil {
		return err
	}
	if err := os.MkdirAll(m.disk, 0o700); err != nil {
		return err
	}
	if m.log == nil {
		log, err := os.Create(filepath.Join(d.folder, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = log
	}
	m.command = exec.Command(program, "--allow-plain-text", fmt.Sprintf("--metrics-port=%d", metricsPort), "control")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "REDWINGLEDGE_SETTINGS=" + m.settings}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	// The processes end with this one, even if it is killed.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	d.printf("%s (%s) starts, bootstrap %t, settings: machines = %d, zones %s", m.name, m.ip, bootstrap, d.tolerance, strings.Join(d.zones, " "))
	return nil
}

// changeSettings writes the settings files of all running machines and tells the processes by SIGHUP.
func (d *deployment) changeSettings() error {
	for _, m := range d.machines {
		if m.command == nil {
			continue
		}
		if err := d.writeSettings(m, false); err != nil {
			return err
		}
		if err := m.command.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
	}
	d.printf("settings files of all machines: machines = %d, zones %s; SIGHUP", d.tolerance, strings.Join(d.zones, " "))
	return nil
}

// kill ends the process of a machine.
func (m *machine) kill() {
	if m.command != nil {
		_ = m.command.Process.Kill()
		_ = m.command.Wait()
		m.command = nil
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.kill()
		if m.log != nil {
			_ = m.log.Close()
		}
	}
}

// startAll starts all machines for the first time.
func (d *deployment) startAll() error {
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("the program is not built: %w", err)
	}
	for _, m := range d.machines[:3] {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	for _, m := range d.machines {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// control returns the addresses that serve control.
func (d *deployment) control() []string {
	var addresses []string
	for _, m := range d.machines {
		addresses = append(addresses, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	return addresses
}

func wait(seconds float64) { time.Sleep(time.Duration(seconds * float64(time.Second))) }
