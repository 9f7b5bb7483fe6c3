package director

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Settings are the constants of a Service.
type Settings struct {
	// Lease is how long an announcement holds without another one.
	Lease time.Duration
	// MinVoters is the number of replicas that must vote before anything is
	// accepted, so that what is accepted survives the loss of a disk.
	MinVoters int
	// ObserveCommit, if set, gets the time that each command took to commit.
	ObserveCommit func(time.Duration)
}

// sweepPeriod is the time between two checks of the leases.
const sweepPeriod = 500 * time.Millisecond

// sweepTimeout bounds the commit of expired leases; they are checked again after.
const sweepTimeout = time.Second

// Service accepts declarations and data centre changes on the replica that leads, and
// announcements on every replica. Run, RunForwarding, RunReporting and RunGate must be
// called once each. It is safe for concurrent use.
type Service struct {
	settings Settings
	replica  replicator.Proposer
	machine  func() *Machine
	leader   LeaderCaller
	clock    timer.Service
	logger   *slog.Logger
	// submissions wait to be handed to the leader.
	submissions *buffer.Ring[submission]
	// current lets announcements wait until this replica is current.
	current *gate

	mu sync.Mutex
	// leases hold the time of the newest announcement, by token.
	leases map[director.Token]time.Time
	// ended holds when this leader first saw that a backend server had ended.
	ended map[director.Token]time.Time
	// leadingSince is when the leases of all backend servers began anew; zero
	// while another replica leads.
	leadingSince time.Time
	sweptAt      time.Time
	// renewed holds what this replica has acknowledged since its last report, and
	// unreportedSince when reports to the leader began to fail.
	renewed         map[director.Token]struct{}
	unreportedSince time.Time
	// enlisting holds the entries that wait in submissions.
	enlisting map[string]struct{}
}

// NewService returns a Service. The machine may change when the replica restarts.
func NewService(settings Settings, replica replicator.Proposer, machine func() *Machine, leader LeaderCaller, clock timer.Service, logger *slog.Logger) *Service {
	return &Service{
		settings: settings, replica: replica, machine: machine, leader: leader, clock: clock, logger: logger,
		submissions: buffer.NewRing[submission](submissionCapacity), current: newGate(clock),
		leases: make(map[director.Token]time.Time), ended: make(map[director.Token]time.Time),
		renewed: make(map[director.Token]struct{}), enlisting: make(map[string]struct{}),
	}
}

// Declare puts a declaration in force, unless a newer one is. Errors are those of
// replicator.Proposer and of Declaration.Check.
func (s *Service) Declare(ctx context.Context, declaration director.Declaration) error {
	if err := declaration.Check(); err != nil {
		return ErrInvalidDeclaration{Reason: err.Error()}
	}
	return s.propose(ctx, Declare{Declaration: declaration})
}

// Declared returns the newest declaration that was accepted before the call.
// Errors are those of replicator.Proposer.ReadBarrier.
func (s *Service) Declared(ctx context.Context) (director.Declaration, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return director.Declaration{}, fmt.Errorf("read the declaration: %w", err)
	}
	return s.machine().Declared(), nil
}

// TakeOut takes a data centre out or brings it back.
func (s *Service) TakeOut(ctx context.Context, dataCentre string, takenOut bool) error {
	return s.propose(ctx, TakeOut{DataCentre: dataCentre, TakenOut: takenOut})
}

// Withdraw records that a backend server has ended.
func (s *Service) Withdraw(ctx context.Context, host string, incarnation uint64) error {
	err := s.propose(ctx, Withdraw{Host: host, Incarnation: incarnation})
	s.logger.Info("withdrawal received", log.FieldHost, host, "incarnation", incarnation, log.FieldError, err)
	return err
}

// IsReplica reports whether a replica has the name.
func (s *Service) IsReplica(name string) bool {
	return slices.ContainsFunc(s.replica.Status().Membership.Members, func(m storer.Member) bool { return m.Name == name })
}

// IsCurrent reports whether this replica hears a leader that has a majority, and has
// applied what was accepted before it heard it again.
func (s *Service) IsCurrent() bool { return s.replica.Status().IsCurrent() }

// awaitCurrent waits until a leader that has just begun has applied its log, so that
// its state is not taken for that of the time before.
func (s *Service) awaitCurrent(ctx context.Context) error {
	if s.IsCurrent() {
		return nil
	}
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("apply the log: %w", err)
	}
	return nil
}

// Machine returns the replicated state.
func (s *Service) Machine() *Machine { return s.machine() }

// Replicas returns the gRPC addresses of all replicas.
func (s *Service) Replicas() []netip.AddrPort {
	members := s.replica.Status().Membership.Members
	addresses := make([]netip.AddrPort, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

func (s *Service) checkLeading() error {
	status := s.replica.Status()
	switch {
	case status.Role != replicator.RoleLeader && status.LeaderAddress.IsValid():
		return replicator.ErrNotLeader{Leader: status.Leader, Address: status.LeaderAddress}
	case status.Role != replicator.RoleLeader || !status.HasQuorum:
		return replicator.ErrNoQuorum{Reason: "no leader with a majority is known"}
	case status.Membership.Voters() < s.settings.MinVoters:
		return replicator.ErrNoQuorum{Reason: fmt.Sprintf("%d replicas vote, %d are needed", status.Membership.Voters(), s.settings.MinVoters)}
	}
	return nil
}

func (s *Service) propose(ctx context.Context, command Command) error {
	if err := s.checkLeading(); err != nil {
		return err
	}
	data, err := Encode(command)
	if err != nil {
		return err
	}
	began := s.clock.Now()
	_, err = s.replica.Propose(ctx, data)
	if s.settings.ObserveCommit != nil && err == nil {
		s.settings.ObserveCommit(s.clock.Now().Sub(began))
	}
	return err
}

// Run expires leases while this replica leads, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticks := s.clock.Subscribe("leases", sweepPeriod)
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			s.sweep(ctx)
		}
	}
}

func (s *Service) sweep(ctx context.Context) {
	command, ok := s.findExpired(s.clock.Now(), s.checkLeading() == nil)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	if err := s.propose(ctx, command); err != nil {
		s.logger.Warn("leases were not expired; they are checked again", "lapsed", len(command.Lapsed), "forget", len(command.Forget), "error", err)
		return
	}
	if len(command.Lapsed) > 0 {
		s.logger.Info("leases expired", "tokens", command.Lapsed, "lease", s.settings.Lease)
	}
}

// findExpired returns the leases that have expired. All leases begin anew when
// this replica begins to lead and after a pause of the process, as announcements
// cannot have arrived before.
func (s *Service) findExpired(now time.Time, isLeading bool) (Expire, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	paused := now.Sub(s.sweptAt) > 2*sweepPeriod
	s.sweptAt = now
	if !isLeading {
		s.leadingSince = time.Time{}
		return Expire{}, false
	}
	if s.leadingSince.IsZero() || paused {
		s.leadingSince = now
		clear(s.leases)
	}
	var command Expire
	tokens := make(map[director.Token]bool)
	for _, server := range s.machine().Servers() {
		tokens[server.Token] = true
		if server.IsLive() {
			delete(s.ended, server.Token)
			if now.Sub(latest(s.leases[server.Token], s.leadingSince)) > s.settings.Lease {
				command.Lapsed = append(command.Lapsed, server.Token)
			}
			continue
		}
		if _, ok := s.ended[server.Token]; !ok {
			s.ended[server.Token] = now
		}
		if now.Sub(s.ended[server.Token]) > goneRetention {
			command.Forget = append(command.Forget, server.Token)
		}
	}
	for token := range s.leases {
		if !tokens[token] {
			delete(s.leases, token)
		}
	}
	for token := range s.ended {
		if !tokens[token] {
			delete(s.ended, token)
		}
	}
	return command, len(command.Lapsed)+len(command.Forget) > 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
