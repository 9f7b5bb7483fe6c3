package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	portControl  = 8166
	portReady    = 8167
	portPackets  = 8172
	portInternal = 7720
	heartbeat    = 1200 * time.Millisecond
)

var zones = []string{"kano-a", "kano-b", "kaduna-a", "kaduna-b"}

// machine is one machine of the system and its process.
type machine struct {
	name, role, zone string
	ip               netip.Addr
	settings         string
	process          *exec.Cmd
	exited           chan struct{}
	log              *os.File
}

// deployment runs the programs of the deploy file on loopback addresses.
type deployment struct {
	record         *record
	folder         string
	network        byte
	cores, entries []*machine
	// withoutZone is left out of the zones in the settings.
	withoutZone string

	mu sync.Mutex
}

// address returns a loopback address. The kind is 1 for machines with control, 2 for entries, 3 for hosts and 4 for
// clients.
func (d *deployment) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(kind), byte(i + 1)})
}

// newDeployment finds a loopback network on which all ports are free.
func newDeployment(r *record, cores int, entryZones []string) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder}
	for i := range 200 {
		d.network = byte(30 + (os.Getpid()+i)%200)
		if d.isFree() {
			break
		}
		d.network = 0
	}
	if d.network == 0 {
		return nil, errors.New("no loopback network is free")
	}
	for i := range cores {
		zone := zones[i%len(zones)]
		d.cores = append(d.cores, &machine{name: "core-" + zone + "-1", role: "control", zone: zone, ip: d.address(1, i)})
	}
	for i, zone := range entryZones {
		d.entries = append(d.entries, &machine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), role: "entry", zone: zone, ip: d.address(2, i)})
	}
	return d, nil
}

func (d *deployment) isFree() bool {
	l, err := net.Listen("tcp", netip.AddrPortFrom(d.address(1, 0), portControl).String())
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func (d *deployment) all() []*machine {
	return append(append([]*machine(nil), d.cores...), d.entries...)
}

// settingsOf returns the settings file of a machine, with the values of fjspb-ledge.
func (d *deployment) settingsOf(m *machine, bootstrap bool) string {
	var seeds []string
	for _, core := range d.cores[:min(3, len(d.cores))] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(core.ip, portControl)))
	}
	class, serves, listen, limits, disk := "edge", "edge", "", "cpu-share = 0.088\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n", ""
	if m.role == "control" {
		class, serves = "core", "control_plane"
		listen = fmt.Sprintf("control = %q\n", netip.AddrPortFrom(m.ip, portControl))
		limits = "cpu-share = 0.48\ncores = 1\nmemory-mb = 280\nmax-fds = 4096\nlink-mbps = 1000.0\ndisk-mb = 128\n"
		disk = fmt.Sprintf("data-dir = %q\n", filepath.Join(d.folder, m.name))
	} else {
		listen = fmt.Sprintf("datagram-addr = %q\nready = %q\n", netip.AddrPortFrom(m.ip, portPackets), netip.AddrPortFrom(m.ip, portReady))
	}
	named := ""
	for _, zone := range zones {
		if zone != d.withoutZone {
			named += fmt.Sprintf("%s = \"ng-north\"\n", zone)
		}
	}
	return fmt.Sprintf("node-name = %q\nrole = %q\nmachine-class = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"ng-north\"\n", m.name, m.role, class, serves, m.ip, m.zone) +
		fmt.Sprintf("internal-port-range = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nloss-counts = %t\n%s", portInternal, portInternal+15, strings.Join(seeds, ","), bootstrap, m.role == "control", disk) +
		"discovery = \"registry\"\nentry = \"advertise\"\nheartbeat-ms = 1200\n" +
		"contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\"]\nconfig_mode = \"highest\"\nhash-algorithm = \"mod\"\nforwarding-mode = \"echo\"\n" +
		"[zones]\n" + named + "[listen]\n" + listen + "[limits]\n" + limits +
		"[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n" +
		"[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 4000\nack-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 3000\nrollback-slack-ms = 250\nmax-skew-ms = 12000\ncold-rate-factor = 1.5\ncold-slack = 5\nevacuation-ms = 5000\nrecovery-s = 12\nflow-ms = 2000\nmax-flow-s = 60\n"
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine, bootstrap bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.settings = filepath.Join(d.folder, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(d.settingsOf(m, bootstrap)), 0o600); err != nil {
		return err
	}
	args := []string{"--allow-plain-text", "--metrics-port=9100"}
	if m.role == "entry" {
		args = append(args, "--overload-control")
	}
	m.process = exec.Command("target/redwingledge", append(args, m.role)...)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGLEDGE_SETTINGS=" + m.settings}
	var err error
	if m.log, err = os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	m.process.Stdout, m.process.Stderr = m.log, m.log
	// No process outlives the script.
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	go func(process *exec.Cmd, log *os.File) {
		defer close(exited)
		err := process.Wait()
		_ = log.Close()
		d.record.add("process of %s ended: %v", m.name, err)
	}(m.process, m.log)
	d.record.add("process of %s started", m.name)
	return nil
}

func (d *deployment) startAll() error {
	for _, m := range d.all() {
		if err := d.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) signal(s syscall.Signal) error { return m.process.Process.Signal(s) }

func (m *machine) isRunning() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// end kills all processes and removes the folder, unless KEEP is set.
func (d *deployment) end() {
	for _, m := range d.all() {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		_ = m.signal(syscall.SIGCONT)
		_ = m.signal(syscall.SIGKILL)
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
