// Package supervisor runs the replica of the director's state. After a failure of its
// disk it reopens the replica within the process, so that a full disk does not end the
// process.
package supervisor

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/director"
	"github.com/redwingledge/redwingledge/control/services/driver"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// checkPeriod is the time between two checks of the replica, and between two attempts
// to open the store.
const checkPeriod = 500 * time.Millisecond

// Options configures a Supervisor.
type Options struct {
	Replication func() replicator.Settings
	Storage     storer.Settings
	// TLS is nil to connect without TLS.
	TLS      *tls.Config
	Timer    timer.Service
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Supervisor is a replica that is reopened after a failure of its disk. It implements
// replicator.Proposer and is safe for concurrent use.
type Supervisor struct {
	options Options

	mu      sync.Mutex
	store   *storer.Store
	replica *driver.Driver
	machine *director.Machine
}

var _ replicator.Proposer = (*Supervisor)(nil)

// New returns a Supervisor that has no running replica until Run is called.
func New(options Options) *Supervisor {
	return &Supervisor{options: options, machine: director.NewMachine()}
}

// Run opens a replica and keeps it running. It closes the replica and returns when ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	ticks := s.options.Timer.Subscribe("replica supervisor", checkPeriod)
	defer ticks.Cancel()
	s.ensureRunning()
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-ticks.C:
			s.ensureRunning()
		}
	}
}

// TransferLeadership transfers leadership to another replica before a planned stop.
func (s *Supervisor) TransferLeadership(ctx context.Context) {
	if replica, _ := s.current(); replica != nil {
		replica.TransferLeadership(ctx)
	}
}

// SetPeers replaces the peers that this replica asks to join the cluster.
func (s *Supervisor) SetPeers(peers []replicator.Peer) {
	if replica, _ := s.current(); replica != nil {
		replica.SetPeers(peers)
	}
}

// ensureRunning closes a failed replica and opens one if none runs.
func (s *Supervisor) ensureRunning() {
	replica, _ := s.current()
	if replica != nil {
		if replica.Status().Failed == nil {
			return
		}
		s.options.Counters.Int("replica_reopened").Add(1)
		s.close()
	}
	if err := s.open(); err != nil {
		s.options.Logger.Error("replica cannot be opened; trying again", "error", err, "retry_after", checkPeriod)
	}
}

func (s *Supervisor) open() error {
	store, state, err := storer.Open(s.options.Storage)
	if err != nil {
		return err
	}
	machine := director.NewMachine()
	replica, err := driver.New(driver.Options{
		Settings: s.options.Replication(), Store: store, State: state, Applier: machine,
		Timer: s.options.Timer, TLS: s.options.TLS, Counters: s.options.Counters, Logger: s.options.Logger,
	})
	if err != nil {
		return errors.Join(err, store.Close())
	}
	s.options.Logger.Info("replica opened", "identity", state.Identity, "is_new", state.IsNew, "entries", len(state.Entries))
	replica.Start()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store, s.replica, s.machine = store, replica, machine
	return nil
}

func (s *Supervisor) close() {
	s.mu.Lock()
	replica, store := s.replica, s.store
	s.replica, s.store = nil, nil
	s.mu.Unlock()
	if replica == nil {
		return
	}
	replica.Stop()
	if err := store.Close(); err != nil {
		s.options.Logger.Warn("store was not closed cleanly", "error", err)
	}
}

func (s *Supervisor) current() (*driver.Driver, *director.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica, s.machine
}

// Machine returns the replicated state machine.
func (s *Supervisor) Machine() *director.Machine {
	_, machine := s.current()
	return machine
}

var errStoreClosed = replicator.ErrNoQuorum{Reason: "the store of this replica is closed"}

// Propose commits a command; see replicator.Proposer.
func (s *Supervisor) Propose(ctx context.Context, command []byte) ([]byte, error) {
	replica, _ := s.current()
	if replica == nil {
		return nil, errStoreClosed
	}
	return replica.Propose(ctx, command)
}

// ReadBarrier waits until everything committed before the call is applied; see replicator.Proposer.
func (s *Supervisor) ReadBarrier(ctx context.Context) error {
	replica, _ := s.current()
	if replica == nil {
		return errStoreClosed
	}
	return replica.ReadBarrier(ctx)
}

// Status returns the status of the replica, or that of a follower without a leader if none
// runs; see replicator.Proposer.
func (s *Supervisor) Status() replicator.Status {
	replica, _ := s.current()
	if replica == nil {
		return replicator.Status{Role: replicator.RoleFollower}
	}
	return replica.Status()
}

// Service returns the gRPC service for other replicas.
func (s *Supervisor) Service() *transporter.Service {
	return driver.NewService(func(ctx context.Context, delivery *driver.DeliverRequest) (*driver.DeliverResponse, error) {
		replica, _ := s.current()
		if replica == nil {
			return nil, status.Error(codes.Unavailable, errStoreClosed.Error())
		}
		return replica.Deliver(ctx, delivery)
	})
}
