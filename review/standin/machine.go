package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// vm is a machine that runs one process of the system.
type vm struct {
	name, zone, role string
	address          netip.Addr
	process          *exec.Cmd
	exited           chan struct{}
	missed           atomic.Int32
	// isNew is set if the disk is empty although the whole system has started before.
	isNew bool
	// isRemoved is set once the machine is gone for good.
	isRemoved bool
}

// startMachines starts 6 entries and 4 control machines with the commands of the deploy file.
func (w *world) startMachines() error {
	for i, zone := range []string{"kano-a", "kano-a", "kano-b", "kano-b", "kaduna-a", "kaduna-b"} {
		w.entries = append(w.entries, &vm{name: fmt.Sprintf("edge-%s-%d", zone, i), zone: zone, role: "entry", address: w.address(1, i+1)})
	}
	for i, zone := range zones {
		w.cores = append(w.cores, &vm{name: "core-" + zone + "-1", zone: zone, role: "control", address: w.address(2, i+1)})
	}
	for _, v := range slices.Concat(w.cores, w.entries) {
		if err := w.start(v); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) start(v *vm) error {
	path := filepath.Join(w.temp, v.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(v)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.temp, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command(w.program, "--allow-plain-text", "--metrics-port=9100", v.role)
	v.process.Env = []string{"REDWINGLEDGE_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + w.temp}
	v.process.Stdout, v.process.Stderr = log, log
	if err := v.process.Start(); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func() {
		defer close(v.exited)
		err := v.process.Wait()
		w.logf("process of %s has ended: %v", v.name, err)
	}()
	return nil
}

// stopMachines ends all processes that startMachines started.
func (w *world) stopMachines() {
	for _, v := range slices.Concat(w.cores, w.entries) {
		if v.process != nil && v.process.Process != nil {
			_ = v.process.Process.Signal(syscall.SIGKILL)
		}
	}
	for _, v := range slices.Concat(w.cores, w.entries) {
		if v.exited != nil {
			<-v.exited
		}
	}
	_ = os.RemoveAll(w.temp)
	_ = w.reserved.Close()
}

func (w *world) dataFolder(v *vm) string { return filepath.Join(w.temp, v.name+"-data") }

// addControl starts a further control machine with an empty disk.
func (w *world) addControl(zone string) error {
	v := &vm{name: "core-" + zone + "-2", zone: zone, role: "control", address: w.address(2, len(w.cores)+1), isNew: true}
	w.cores = append(w.cores, v)
	w.logf("machine %s (%s) starts with an empty disk", v.name, v.address)
	return w.start(v)
}

// terminate sends SIGTERM to a machine, and SIGKILL after grace-s.
func (w *world) terminate(v *vm) {
	w.logf("machine %s gets SIGTERM", v.name)
	_ = v.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(6 * time.Second):
		_ = v.process.Process.Signal(syscall.SIGKILL)
		<-v.exited
	}
}

// kill ends a machine with SIGKILL.
func (w *world) kill(v *vm) {
	w.logf("machine %s is killed", v.name)
	_ = v.process.Process.Signal(syscall.SIGKILL)
	<-v.exited
}

// loseDisk kills a machine, and starts it again after a second with an empty disk.
func (w *world) loseDisk(ctx context.Context, v *vm) error {
	w.kill(v)
	if err := os.RemoveAll(w.dataFolder(v)); err != nil {
		return err
	}
	w.logf("machine %s has lost its disk", v.name)
	sleep(ctx, time.Second)
	v.isNew = true
	w.logf("machine %s starts again", v.name)
	return w.start(v)
}

// controlAt returns the control machine with an address.
func (w *world) controlAt(address string) *vm {
	for i, v := range w.cores {
		if w.controlAddress(i) == address {
			return v
		}
	}
	return nil
}

func (w *world) settings(v *vm) string {
	seeds := w.seeds()
	text := fmt.Sprintf("node-name = %q\nrole = %q\nip = %q\nzone = %q\nregion = \"ng-north\"\ninternal-port-range = [%d,%d]\n",
		v.name, v.role, v.address, v.zone, w.ports.internal, w.ports.internal+15)
	text += fmt.Sprintf("seeds = [%q,%q,%q]\nbootstrap = %t\nloss-counts = %t\ndiscovery = \"registry\"\nentry = \"advertise\"\nheartbeat-ms = %d\n",
		seeds[0], seeds[1], seeds[2], !v.isNew, v.role == "control", heartbeat.Milliseconds())
	text += "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\"]\nconfig_mode = \"highest\"\nhash-algorithm = \"mod\"\nforwarding-mode = \"echo\"\n"
	if v.role == "control" {
		text += fmt.Sprintf("data-dir = %q\n", w.dataFolder(v))
	}
	text += "[zones]\n"
	for _, zone := range zones {
		text += zone + " = \"ng-north\"\n"
	}
	text += "[listen]\n"
	if v.role == "control" {
		text += fmt.Sprintf("control = \"%s:%d\"\n", v.address, w.ports.control)
	} else {
		text += fmt.Sprintf("datagram-addr = \"%s:%d\"\nready = \"%s:%d\"\n", v.address, w.ports.packets, v.address, w.ports.ready)
	}
	return text + "[limits]\nmemory-mb = 284\nmax-fds = 4100\ndisk-mb = 128\n[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n" +
		"[bounds]\ncontact-ms = 4000\ndrain-ms = 3000\ngrace-s = 6\nconfig-apply-ms = 3000\nflow-ms = 2000\nmax-flow-s = 60\n"
}

// seeds returns the addresses of three control machines that are not removed.
func (w *world) seeds() []string {
	var seeds []string
	for i, v := range w.cores {
		if !v.isRemoved {
			seeds = append(seeds, w.controlAddress(i))
		}
	}
	return seeds[:3]
}

func (w *world) controlAddress(i int) string {
	return fmt.Sprintf("%s:%d", w.address(2, i+1), w.ports.control)
}

// probeEntries asks the entries whether they are ready, as the platform's routers do.
func (w *world) probeEntries(ctx context.Context) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for ctx.Err() == nil {
		for _, v := range w.entries {
			go func() {
				resp, err := client.Get(fmt.Sprintf("http://%s:%d/redwingledge/ready", v.address, w.ports.ready))
				if err == nil {
					_ = resp.Body.Close()
				}
				if err != nil || resp.StatusCode != http.StatusOK {
					v.missed.Add(1)
				} else {
					v.missed.Store(0)
				}
			}()
		}
		sleep(ctx, probeInterval)
	}
}

// entryFor returns the entry that the routers choose for a flow of a client in a zone.
func (w *world) entryFor(zone string, key flowKey) *vm {
	var all, ready []*vm
	for _, v := range w.entries {
		if v.zone != zone {
			continue
		}
		all = append(all, v)
		if v.missed.Load() < 2 {
			ready = append(ready, v)
		}
	}
	if 2*len(ready) < len(all) {
		ready = all
	}
	text := key.client.String() + key.route.String()
	sum := uint32(2166136261)
	for i := range len(text) {
		sum = (sum ^ uint32(text[i])) * 16777619
	}
	return ready[int(sum%uint32(len(ready)))]
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
