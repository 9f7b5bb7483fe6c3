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

// Settings configures a Service.
type Settings struct {
	// Lease is the time after which an announcement expires unless another one renews it.
	Lease time.Duration
	// MinVoters is the number of voting replicas required before any command is
	// accepted, so that accepted commands survive the loss of a disk.
	MinVoters int
	// ObserveCommit, if set, is called with the time that each command took to commit.
	ObserveCommit func(time.Duration)
}

// sweepPeriod is the time between two checks for expired leases.
const sweepPeriod = 500 * time.Millisecond

// sweepTimeout bounds the commit of expired leases. The next check retries them.
const sweepTimeout = time.Second

// Service accepts declarations and data centre changes on the leader, and announcements
// on every replica. Run, RunForwarding, RunRenewalReports and RunCurrentCheck must be
// called once each. It is safe for concurrent use.
type Service struct {
	settings Settings
	replica  replicator.Proposer
	machine  *Machine
	leader   LeaderClient
	clock    timer.Service
	logger   *slog.Logger
	// forwardQueue holds the changes to be sent to the leader.
	forwardQueue *buffer.Ring[forwardItem]
	// currentGate blocks announcements until this replica is current.
	currentGate *gate

	mu sync.Mutex
	// renewedAt holds the time of the newest announcement, by token.
	renewedAt map[director.Token]time.Time
	// goneSince holds when this leader first saw that a backend server was not live, by token.
	goneSince map[director.Token]time.Time
	// leasesRestartedAt is when the leases of all backend servers were last restarted;
	// zero while another replica leads.
	leasesRestartedAt time.Time
	lastSweep         time.Time
	// unreported holds the renewals that this replica has acknowledged since its last
	// report, and reportsFailingSince when reports to the leader began to fail.
	unreported          map[director.Token]struct{}
	reportsFailingSince time.Time
	// enlisting holds the entries that are in forwardQueue or being forwarded.
	enlisting map[string]struct{}
}

// NewService returns a Service.
func NewService(settings Settings, replica replicator.Proposer, machine *Machine, leader LeaderClient, clock timer.Service, logger *slog.Logger) *Service {
	s := &Service{
		settings: settings, replica: replica, machine: machine, leader: leader, clock: clock, logger: logger,
		forwardQueue: buffer.NewRing[forwardItem](forwardCapacity), currentGate: newGate(clock),
		renewedAt: make(map[director.Token]time.Time), goneSince: make(map[director.Token]time.Time),
		unreported: make(map[director.Token]struct{}), enlisting: make(map[string]struct{}),
	}
	machine.ObserveTransitions(s.newTransitionLogger())
	return s
}

// Declare commits a declaration, which takes effect unless the current one is as new or
// newer. Errors are those of replicator.Proposer and ErrInvalidDeclaration.
func (s *Service) Declare(ctx context.Context, declaration director.Declaration) error {
	if err := declaration.Check(); err != nil {
		return ErrInvalidDeclaration{Reason: err.Error()}
	}
	if err := s.checkLeading(); err != nil {
		return err
	}
	isInForce := func() bool { return s.machine.Declared().Version >= declaration.Version }
	if !isInForce() {
		if err := s.proposeUnless(ctx, Declare{Declaration: declaration}, isInForce); err != nil {
			return err
		}
	}
	return s.awaitReplacement(ctx)
}

// Declared returns the current declaration, including all that were committed before
// the call. Errors are those of replicator.Proposer.ReadBarrier.
func (s *Service) Declared(ctx context.Context) (director.Declaration, error) {
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return director.Declaration{}, fmt.Errorf("read the declaration: %w", err)
	}
	return s.machine.Declared(), nil
}

// TakeOut takes a data centre out of use or brings it back. Errors are those of replicator.Proposer.
func (s *Service) TakeOut(ctx context.Context, dataCentre string, takenOut bool) error {
	if err := s.propose(ctx, TakeOut{DataCentre: dataCentre, TakenOut: takenOut}); err != nil {
		return err
	}
	return s.awaitReplacement(ctx)
}

// Withdraw records that a backend server is about to stop. Errors are those of replicator.Proposer.
func (s *Service) Withdraw(ctx context.Context, host string, incarnation uint64) error {
	err := s.propose(ctx, Withdraw{Host: host, Incarnation: incarnation})
	s.logger.Info("withdrawal received", log.FieldHost, host, "incarnation", incarnation, log.FieldError, err)
	return err
}

// IsReplica reports whether name is that of a member of the replica group.
func (s *Service) IsReplica(name string) bool {
	return slices.ContainsFunc(s.replica.Status().Membership.Members, func(m storer.Member) bool { return m.Name == name })
}

// Servers returns all backend servers.
func (s *Service) Servers() []director.Server { return s.machine.Servers() }

// IsEntry reports whether name is that of an entry that follows the state; see Enlist.
func (s *Service) IsEntry(name string) bool { return s.machine.HasEntry(name) }

// IsCurrent reports whether this replica is in contact with a leader that has a majority,
// and has applied everything that was committed before that contact began.
func (s *Service) IsCurrent() bool { return s.replica.Status().IsCurrent() }

// awaitCurrent waits until a newly elected leader has applied its log, so that no
// decision is based on an outdated state.
func (s *Service) awaitCurrent(ctx context.Context) error {
	if s.IsCurrent() {
		return nil
	}
	if err := s.replica.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("apply the log: %w", err)
	}
	return nil
}

// Machine returns the replicated state machine.
func (s *Service) Machine() *Machine { return s.machine }

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

// proposeUnless proposes a command and returns once it is committed, or once isDone reports that another command has had
// its effect. Callers repeat a call whose commit takes longer than they wait. With a slow disk, a repetition that waited
// for its own commit would not end in time either, although an earlier one is committed meanwhile.
func (s *Service) proposeUnless(ctx context.Context, command Command, isDone func() bool) error {
	outcome := make(chan error, 1)
	go func() {
		// It goes on after an early return, so that every commit is observed.
		ctx, cancel := withoutCancel(ctx)
		defer cancel()
		outcome <- s.propose(ctx, command)
	}()
	for {
		changed := s.machine.Changed()
		if isDone() {
			return nil
		}
		select {
		case err := <-outcome:
			return err
		case <-changed:
		case <-ctx.Done():
			return replicator.ErrOutcomeUnknown{Reason: ctx.Err().Error()}
		}
	}
}

// withoutCancel returns a context that ends at the deadline of ctx, and after registerTimeout if ctx has none.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithTimeout(detached, registerTimeout)
}

// Run expires leases while this replica is the leader. It returns when ctx ends.
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
		s.logger.Warn("leases were not expired; retrying at the next check", "lapsed", len(command.Lapsed), "forget", len(command.Forget), "error", err)
		return
	}
	if len(command.Lapsed) > 0 {
		s.logger.Info("leases expired", "tokens", command.Lapsed, "lease", s.settings.Lease)
	}
}

// findExpired returns the leases that have expired and the records to remove. All leases
// restart when this replica becomes the leader and after a pause of the process, as it
// could not receive announcements before.
func (s *Service) findExpired(now time.Time, isLeading bool) (Expire, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	paused := now.Sub(s.lastSweep) > 2*sweepPeriod
	s.lastSweep = now
	if !isLeading {
		s.leasesRestartedAt = time.Time{}
		return Expire{}, false
	}
	if s.leasesRestartedAt.IsZero() || paused {
		s.leasesRestartedAt = now
		clear(s.renewedAt)
	}
	var command Expire
	tokens := make(map[director.Token]bool)
	for _, server := range s.machine.Servers() {
		tokens[server.Token] = true
		if s.machine.HasLease(server) {
			delete(s.goneSince, server.Token)
			if now.Sub(latest(s.renewedAt[server.Token], s.leasesRestartedAt)) > s.settings.Lease {
				command.Lapsed = append(command.Lapsed, server.Token)
			}
			continue
		}
		if _, ok := s.goneSince[server.Token]; !ok {
			s.goneSince[server.Token] = now
		}
		if now.Sub(s.goneSince[server.Token]) > goneRetention {
			command.Forget = append(command.Forget, server.Token)
		}
	}
	for token := range s.renewedAt {
		if !tokens[token] {
			delete(s.renewedAt, token)
		}
	}
	for token := range s.goneSince {
		if !tokens[token] {
			delete(s.goneSince, token)
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
