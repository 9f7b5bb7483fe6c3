// Package demonstrator runs the whole system on one machine: control, entries and a gateway as
// processes, with a simulated fabric, callers and backend servers.
package demonstrator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/redwingledge/redwingledge/demo/services/dialer"
	"github.com/redwingledge/redwingledge/demo/services/responder"
	"github.com/redwingledge/redwingledge/demo/services/simulator"
	"github.com/redwingledge/redwingledge/demo/services/starter"
	"github.com/redwingledge/redwingledge/demo/services/worker"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/reserver"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/services/advertiser"
)

const (
	vni          = 4096
	region       = "ng-north"
	operatorName = "demo"
	// Tokens of the demonstration; they protect nothing outside this machine.
	operatorToken = "demo-operator-token"
	serviceToken  = "demo-service-token"

	healthCheckInterval = 100 * time.Millisecond
	startTimeout        = 30 * time.Second
)

// Settings are the folders and the random seed of a System.
type Settings struct {
	// Programs is the folder with the binaries control, entry, gateway and rwctl.
	Programs string
	// Folder gets the logs and the data of control. It must exist.
	Folder string
	// Seed drives the random choices of the fabric.
	Seed uint64
}

// declaredEntries is the number of entries that the declaration lists.
const declaredEntries = 8

// entryAddresses are the addresses of an entry. They stay the same across restarts.
type entryAddresses struct {
	admin, packets, announce, grpc netip.AddrPort
}

// entryProcess is a running entry.
type entryProcess struct {
	*starter.Process
	entryAddresses
	dataCentre string
}

// backend is a simulated backend server.
type backend struct {
	*responder.Server
	advertiser *advertiser.Advertiser
}

// System is a running system. Its methods must not be called concurrently.
type System struct {
	settings Settings
	fabric   *simulator.Fabric
	callers  map[netip.Addr]*dialer.Caller
	backends map[announcer.ID]*backend
	control  *starter.Process
	gateway  *starter.Process
	workers  []*worker.Worker
	operator netip.AddrPort
	replica  netip.AddrPort

	gatewayAddresses gatewayAddresses
	// addresses holds those of all entries that the declaration lists, by name.
	addresses map[string]entryAddresses

	mu      sync.Mutex
	entries map[string]*entryProcess
	// suspects holds the names of entries that were not ready when no entry was.
	suspects map[string]bool

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Start runs control and the simulated fabric.
func Start(ctx context.Context, settings Settings) (*System, error) {
	fabric, err := simulator.ListenFabric(netip.MustParseAddrPort("127.0.0.1:0"), vni, settings.Seed)
	if err != nil {
		return nil, err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &System{
		settings: settings, fabric: fabric,
		callers:   make(map[netip.Addr]*dialer.Caller),
		backends:  make(map[announcer.ID]*backend),
		entries:   make(map[string]*entryProcess),
		suspects:  make(map[string]bool),
		addresses: make(map[string]entryAddresses),
		ctx:       background, cancel: cancel,
	}
	if err := s.chooseAddresses(); err != nil {
		cancel()
		return nil, errors.Join(err, fabric.Close())
	}
	s.running.Go(fabric.Serve)
	s.running.Go(s.checkEntries)
	if err := s.startControl(ctx); err != nil {
		return nil, errors.Join(err, s.Stop(ctx))
	}
	return s, nil
}

// Stop ends all processes and goroutines. It returns an error for each process
// that did not stop cleanly.
func (s *System) Stop(ctx context.Context) error {
	var errs []error
	if s.gateway != nil {
		errs = append(errs, s.gateway.Stop(ctx))
	}
	for _, name := range s.EntryNames() {
		errs = append(errs, s.StopEntry(ctx, name))
	}
	if s.control != nil {
		errs = append(errs, s.control.Stop(ctx))
	}
	s.cancel()
	for _, w := range s.workers {
		errs = append(errs, w.Shutdown(ctx))
	}
	errs = append(errs, s.fabric.Close())
	s.running.Wait()
	return errors.Join(errs...)
}

// Fabric returns the simulated fabric.
func (s *System) Fabric() *simulator.Fabric { return s.fabric }

// EntryNames returns the sorted names of the running entries.
func (s *System) EntryNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// StartEntry runs an entry and waits until it is ready.
func (s *System) StartEntry(ctx context.Context, name, dataCentre string) error {
	a, ok := s.addresses[name]
	if !ok {
		return fmt.Errorf("entry %q is not in the declaration", name)
	}
	arguments := []string{
		"--name", name, "--data-centre", dataCentre, "--region", region,
		"--grpc-address", a.grpc.String(), "--packet-address", a.packets.String(), "--announce-address", a.announce.String(),
		"--fabric-address", s.fabric.Addr().String(), "--vni", strconv.Itoa(vni),
		"--control", s.operator.String(), "--flows", "65536", "--drain-delay", "1s",
	}
	s.mu.Lock()
	for _, entry := range s.entries {
		arguments = append(arguments, "--seed", entry.grpc.String())
	}
	s.mu.Unlock()
	process, err := starter.Start(name, s.program("entry"), s.settings.Folder, a.admin, arguments...)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.entries[name] = &entryProcess{Process: process, entryAddresses: a, dataCentre: dataCentre}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return process.WaitReady(ctx)
}

// StopEntry ends an entry with SIGTERM.
func (s *System) StopEntry(ctx context.Context, name string) error {
	entry, err := s.getEntry(name)
	if err != nil {
		return err
	}
	err = entry.Stop(ctx)
	s.removeEntry(name)
	return err
}

// RestartEntry ends an entry with SIGTERM and runs it again in its data centre.
func (s *System) RestartEntry(ctx context.Context, name string) error {
	entry, err := s.getEntry(name)
	if err != nil {
		return err
	}
	if err := s.StopEntry(ctx, name); err != nil {
		return err
	}
	return s.StartEntry(ctx, name, entry.dataCentre)
}

// KillEntry ends an entry with SIGKILL.
func (s *System) KillEntry(name string) error {
	entry, err := s.getEntry(name)
	if err != nil {
		return err
	}
	entry.Kill()
	s.removeEntry(name)
	return nil
}

// Versions returns the configuration version of each running entry, in the order of
// their names.
func (s *System) Versions(ctx context.Context) ([]uint64, error) {
	var versions []uint64
	for _, name := range s.EntryNames() {
		entry, err := s.getEntry(name)
		if err != nil {
			return nil, err
		}
		version, err := entry.Counter(ctx, "configuration_version")
		if err != nil {
			return nil, err
		}
		versions = append(versions, uint64(version))
	}
	return versions, nil
}

// SignalEntry sends a signal, such as SIGSTOP or SIGCONT, to an entry.
func (s *System) SignalEntry(name string, signal syscall.Signal) error {
	entry, err := s.getEntry(name)
	if err != nil {
		return err
	}
	return entry.Signal(signal)
}

// AddBackend runs a simulated backend server and announces it as ready.
func (s *System) AddBackend(ctx context.Context, service, host, dataCentre string, address netip.AddrPort) error {
	id := announcer.ID{Service: service, Host: host}
	server := responder.NewServer(service, host, address, s.fabric)
	s.fabric.Attach(address.Addr(), server)
	serverAdvertiser := s.register(announcer.Announcement{
		ID: id, Address: address, DataCentre: dataCentre, Slots: 2, Connections: 2000,
	})
	s.backends[id] = &backend{Server: server, advertiser: serverAdvertiser}
	return serverAdvertiser.Announce(ctx)
}

// register keeps a backend server announced as ready until the system stops.
func (s *System) register(announcement announcer.Announcement) *advertiser.Advertiser {
	announcement.Incarnation = uint64(time.Now().UnixMilli())
	announcement.State = announcer.StateReady
	a := advertiser.New(advertiser.Options{
		Announcement: announcement, Token: serviceToken, Entries: s.announceAddresses, Timer: timer.NewSystem(),
	})
	s.running.Go(func() { a.Run(s.ctx) })
	return a
}

// BackendStats returns the counts of a simulated backend server.
func (s *System) BackendStats(service, host string) responder.Stats {
	server, ok := s.backends[announcer.ID{Service: service, Host: host}]
	if !ok {
		return responder.Stats{}
	}
	return server.Stats()
}

// Caller returns the simulated caller with the given address. It creates the caller if there is
// none.
func (s *System) Caller(address netip.Addr) *dialer.Caller {
	if caller, ok := s.callers[address]; ok {
		return caller
	}
	caller := dialer.NewCaller(s.fabric)
	s.callers[address] = caller
	s.fabric.Attach(address, caller)
	return caller
}

func (s *System) chooseAddresses() error {
	for i := range declaredEntries {
		free, err := reserver.Addresses(4)
		if err != nil {
			return err
		}
		s.addresses[entryName(i)] = entryAddresses{admin: free[0], packets: free[1], announce: free[2], grpc: free[3]}
	}
	free, err := reserver.Addresses(3)
	if err != nil {
		return err
	}
	s.gatewayAddresses = gatewayAddresses{admin: free[0], http: free[1], peer: free[2]}
	return nil
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func (s *System) announceAddresses() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(s.entries))
	for _, entry := range s.entries {
		addresses = append(addresses, entry.announce)
	}
	return addresses
}

func (s *System) getEntry(name string) (*entryProcess, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[name]
	if !ok {
		return nil, fmt.Errorf("entry %q is not running", name)
	}
	return entry, nil
}

func (s *System) removeEntry(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, name)
}

func (s *System) program(name string) string { return filepath.Join(s.settings.Programs, name) }

func (s *System) writeFile(name, content string) (string, error) {
	path := filepath.Join(s.settings.Folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		return "", fmt.Errorf("write %s: %w", name, err)
	}
	return path, nil
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
