// Package supervisor runs a control replica. After a failure of its disk it reopens the replica
// within the process, so that the replica takes part again once the disk has room.
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
	// Replication and Storage return the settings for the next time that the store is opened.
	Replication func() replicator.Settings
	Storage     func() storer.Settings
	// Applier keeps its state while the replica is reopened.
	Applier replicator.Applier
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

	// appliedIndex is the index up to which the Applier had applied the log when the replica was
	// last closed.
	appliedIndex uint64

	mu      sync.Mutex
	store   *storer.Store
	replica *driver.Driver
	// name is that of the replica, once it has been opened.
	name string
}

var (
	_ replicator.Proposer = (*Supervisor)(nil)
	_ replicator.Remover  = (*Supervisor)(nil)
)

// New returns a Supervisor that has no running replica until Open or Run is called.
func New(options Options) *Supervisor { return &Supervisor{options: options} }

// Run opens a replica, unless Open has done so, and keeps it running. It closes the replica and
// returns when ctx ends.
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

// PrepareStop transfers leadership and the vote of this replica before a planned stop; see driver.Driver.
func (s *Supervisor) PrepareStop(ctx context.Context) {
	if replica := s.current(); replica != nil {
		replica.PrepareStop(ctx)
	}
}

// TransferLeadership transfers leadership to another replica; see driver.Driver.
func (s *Supervisor) TransferLeadership(ctx context.Context) {
	if replica := s.current(); replica != nil {
		replica.TransferLeadership(ctx)
	}
}

// SetPeers replaces the peers that this replica asks to join the cluster.
func (s *Supervisor) SetPeers(peers []replicator.Peer) {
	if replica := s.current(); replica != nil {
		replica.SetPeers(peers)
	}
}

// SetVoterLimits replaces the limits of the number of voters. A replica that is opened later has those of
// Options.Replication.
func (s *Supervisor) SetVoterLimits(minVoters, maxVoters int) {
	if replica := s.current(); replica != nil {
		replica.SetVoterLimits(minVoters, maxVoters)
	}
}

// ensureRunning closes a failed replica and opens one if none runs.
func (s *Supervisor) ensureRunning() {
	replica := s.current()
	if replica != nil {
		if replica.Status().Failed == nil {
			return
		}
		s.options.Counters.Int("replica_reopened").Add(1)
		s.close()
	}
	if err := s.Open(); err != nil {
		s.options.Logger.Error("replica cannot be opened; trying again", "error", err, "retry_after", checkPeriod)
	}
}

// Open opens the store and starts the replica. It must not be called while Run does. Errors are those
// of storer.Open, and an error if the stored log cannot be read.
func (s *Supervisor) Open() error {
	store, state, err := storer.Open(s.options.Storage())
	if err != nil {
		return err
	}
	settings := s.options.Replication()
	replica, err := driver.New(driver.Options{
		Settings: settings, Store: store, State: state, Applier: s.options.Applier, AppliedIndex: s.appliedIndex,
		Timer: s.options.Timer, TLS: s.options.TLS, Counters: s.options.Counters, Logger: s.options.Logger,
	})
	if err != nil {
		return errors.Join(err, store.Close())
	}
	s.options.Logger.Info("replica opened", "name", settings.Name, "identity", state.Identity, "is_new", state.IsNew, "entries", len(state.Entries))
	replica.Start()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store, s.replica, s.name = store, replica, settings.Name
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
	s.appliedIndex = max(s.appliedIndex, replica.Status().AppliedIndex)
	if err := store.Close(); err != nil {
		s.options.Logger.Warn("store was not closed cleanly", "error", err)
	}
}

func (s *Supervisor) current() *driver.Driver {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica
}

// DataSize returns the size of the data file in bytes, or 0 while it is closed.
func (s *Supervisor) DataSize() (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store == nil {
		return 0, nil
	}
	return s.store.Size()
}

var errStoreClosed = replicator.ErrNoQuorum{Reason: "the store of this replica is closed"}

// Propose commits a command; see replicator.Proposer.
func (s *Supervisor) Propose(ctx context.Context, command []byte) ([]byte, error) {
	replica := s.current()
	if replica == nil {
		return nil, errStoreClosed
	}
	return replica.Propose(ctx, command)
}

// RemoveReplica removes a replica; see replicator.Remover.
func (s *Supervisor) RemoveReplica(ctx context.Context, name string) error {
	replica := s.current()
	if replica == nil {
		return errStoreClosed
	}
	return replica.RemoveReplica(ctx, name)
}

// AdmitReplicas sets the names of the replicas that may join; see driver.Driver. It is to be
// repeated, as a replica that is reopened does not know them.
func (s *Supervisor) AdmitReplicas(names []string, exclusive bool) {
	if replica := s.current(); replica != nil {
		replica.AdmitReplicas(names, exclusive)
	}
}

// ReadBarrier waits until everything committed before the call is applied; see replicator.Proposer.
func (s *Supervisor) ReadBarrier(ctx context.Context) error {
	replica := s.current()
	if replica == nil {
		return errStoreClosed
	}
	return replica.ReadBarrier(ctx)
}

// Status returns the status of the replica, or that of a follower without a leader if none
// runs; see replicator.Proposer.
func (s *Supervisor) Status() replicator.Status {
	replica := s.current()
	if replica == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return replicator.Status{Name: s.name, Role: replicator.RoleFollower}
	}
	return replica.Status()
}

// Service returns the gRPC service for other replicas.
func (s *Supervisor) Service() *transporter.Service {
	return driver.NewService(func(ctx context.Context, delivery *driver.DeliverRequest) (*driver.DeliverResponse, error) {
		replica := s.current()
		if replica == nil {
			return nil, status.Error(codes.Unavailable, errStoreClosed.Error())
		}
		return replica.Deliver(ctx, delivery)
	})
}
