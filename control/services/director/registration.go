package director

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

// Backend servers announce themselves to any replica. A current replica acknowledges
// lease renewals itself and reports them to the leader, which expires leases. It forwards
// announcements that change the state to the leader in batches and acknowledges them once
// they are committed. All replicas thus share the load of renewals.

const (
	// forwardCapacity bounds the queue of changes for the leader: all backend servers of
	// a replica at the design size may announce themselves at once.
	forwardCapacity = 4096
	// registrationBatch bounds the changes of one registration. At 300 bytes each, they
	// stay far below the size limit of a command.
	registrationBatch = 128
	// reportPeriod is the time between two reports of renewals to the leader. It is well
	// below the grace of a lease, which is the time that a lease leaves for a retry at
	// another VM.
	reportPeriod = 300 * time.Millisecond
	// reportGrace is how long reports may fail before renewals are refused. One report
	// that is lost to a leader change must not send all backend servers to other replicas.
	reportGrace = 900 * time.Millisecond
	// registerTimeout bounds the call to the leader, so that backend servers still have
	// time to try another replica.
	registerTimeout = 600 * time.Millisecond
	// maxRenewals bounds the unreported renewals while the leader does not answer. Those
	// beyond it can be dropped, as a new leader restarts all leases.
	maxRenewals = 8192
)

// Registration is the request by which a replica forwards renewals and changes to the leader.
type Registration struct {
	_ struct{} `cbor:",toarray"`
	// Renewed holds the tokens whose renewals the replica has acknowledged.
	Renewed []director.Token
	// Announcements holds those that would change the state, as far as the replica knows.
	Announcements []Announcement
	// Entries holds the names of entries that poll the replica and are not enlisted yet.
	Entries []string
}

// RegistrationResult is the response to a Registration.
type RegistrationResult struct {
	_ struct{} `cbor:",toarray"`
	// Refusals holds the refused announcements; all others have taken effect.
	Refusals []Refusal
}

// Refusal is the reason why an announcement was not applied.
type Refusal struct {
	_ struct{} `cbor:",toarray"`
	// Position is the position of the announcement in the Registration.
	Position int
	// Reason is set for an announcement that is out of date.
	Reason string
	// Service is not in the declaration with Version. Both are set if Reason is empty.
	Service string
	Version uint64
}

func (r Refusal) err(host string) error {
	if r.Reason != "" {
		return ErrStaleAnnouncement{Host: host, Reason: r.Reason}
	}
	return ErrServiceNotExist{Service: r.Service, Version: r.Version}
}

// LeaderClient sends a registration to the leader. Errors carry a gRPC status.
type LeaderClient interface {
	Register(ctx context.Context, leader netip.AddrPort, registration *Registration) (*RegistrationResult, error)
}

// forwardItem is an item of the queue for the leader. The types in this file implement it.
type forwardItem interface{ isForwardItem() }

// forwardedAnnouncement is an announcement that waits for its outcome on done.
type forwardedAnnouncement struct {
	announcement Announcement
	done         chan error
}

// forwardedEntry is an entry to be enlisted.
type forwardedEntry struct{ entry string }

func (forwardedAnnouncement) isForwardItem() {}
func (forwardedEntry) isForwardItem()        {}

// Announce records an announcement and renews its lease. Errors are those of
// replicator.Proposer, ErrInvalidAnnouncement, ErrStaleAnnouncement, ErrServiceNotExist, and
// those of the call to the leader. While this replica is not current, Announce waits for up to
// announceTimeout: if thousands of backend servers were refused after a simultaneous
// start, all of them would ask the next replica at once.
func (s *Service) Announce(ctx context.Context, a Announcement) error {
	// An invalid one could make the whole batch in which it travels unreadable.
	if err := a.Server.Check(); err != nil {
		return ErrInvalidAnnouncement{Host: a.Server.Host, Reason: err.Error()}
	}
	if err := s.currentGate.wait(ctx, s.IsCurrent); err != nil {
		return err
	}
	if token, ok := s.machine.IsKnown(a); ok {
		return s.recordRenewal(token)
	}
	done := make(chan error, 1)
	if !s.forwardQueue.TryPush(forwardedAnnouncement{announcement: a, done: done}) {
		return replicator.ErrOverloaded{Waiting: forwardCapacity}
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for the leader: %w", ctx.Err())
	}
}

// Enlist asks the leader to enlist an entry; see the Enlist command. It does not wait for
// the outcome. It returns false if the queue for the leader is full. An entry is queued at
// most once, however often it polls, so that announcements find room in the queue.
func (s *Service) Enlist(entry string) bool {
	if s.machine.HasEntry(entry) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.enlisting[entry]; ok {
		return true
	}
	if !s.forwardQueue.TryPush(forwardedEntry{entry: entry}) {
		return false
	}
	s.enlisting[entry] = struct{}{}
	return true
}

// clearEnlisting lets the entries of a batch be queued again, if they are still not enlisted.
func (s *Service) clearEnlisting(batch []forwardItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range batch {
		if n, ok := item.(forwardedEntry); ok {
			delete(s.enlisting, n.entry)
		}
	}
}

// recordRenewal renews a lease on the leader; on other replicas it adds the renewal to the
// next report. It returns ErrNoQuorum if reports have failed for longer than reportGrace, so
// that backend servers switch to a replica that reaches the leader.
func (s *Service) recordRenewal(token director.Token) error {
	isLeading := s.replica.Status().Role == replicator.RoleLeader
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if isLeading {
		s.renewedAt[token] = now
		return nil
	}
	if !s.reportsFailingSince.IsZero() && now.Sub(s.reportsFailingSince) > reportGrace {
		return replicator.ErrNoQuorum{Reason: "the leader gets no reports of this replica"}
	}
	if len(s.unreported) < maxRenewals {
		s.unreported[token] = struct{}{}
	}
	return nil
}

// RunForwarding forwards queued changes to the leader until ctx ends.
func (s *Service) RunForwarding(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.forwardQueue.Close)
	defer stop()
	batch := make([]forwardItem, registrationBatch)
	for {
		n := s.forwardQueue.PopBatch(batch)
		if n == 0 {
			return
		}
		s.forward(ctx, batch[:n])
	}
}

// forward sends a batch to the leader and passes the outcomes to the waiting calls.
func (s *Service) forward(ctx context.Context, batch []forwardItem) {
	defer s.clearEnlisting(batch)
	var registration Registration
	var waiting []forwardedAnnouncement
	for _, item := range batch {
		switch item := item.(type) {
		case forwardedAnnouncement:
			registration.Announcements = append(registration.Announcements, item.announcement)
			waiting = append(waiting, item)
		case forwardedEntry:
			if !s.machine.HasEntry(item.entry) {
				registration.Entries = append(registration.Entries, item.entry)
			}
		}
	}
	if len(registration.Announcements)+len(registration.Entries) == 0 {
		return
	}
	result, err := s.callLeader(ctx, &registration)
	if err != nil {
		s.logger.Debug("registration failed", "announcements", len(waiting), "entries", len(registration.Entries), log.FieldError, err)
	}
	outcomes := make([]error, len(waiting))
	for i := range outcomes {
		outcomes[i] = err
	}
	if err == nil {
		for _, refusal := range result.Refusals {
			if refusal.Position >= 0 && refusal.Position < len(outcomes) {
				outcomes[refusal.Position] = refusal.err(waiting[refusal.Position].announcement.Server.Host)
			}
		}
	}
	for i, w := range waiting {
		w.done <- outcomes[i]
	}
}

func (s *Service) callLeader(ctx context.Context, registration *Registration) (*RegistrationResult, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	status := s.replica.Status()
	if status.Role == replicator.RoleLeader {
		return s.Register(ctx, registration)
	}
	if !status.LeaderAddress.IsValid() {
		return nil, replicator.ErrNoQuorum{Reason: "no leader with a majority is known"}
	}
	return s.leader.Register(ctx, status.LeaderAddress, registration)
}

// Register applies a registration of this or another replica. This replica must be the
// leader. Errors are those of replicator.Proposer.
func (s *Service) Register(ctx context.Context, r *Registration) (*RegistrationResult, error) {
	if err := s.checkLeading(); err != nil {
		return nil, err
	}
	if err := s.awaitCurrent(ctx); err != nil {
		return nil, err
	}
	s.renewLeases(r.Renewed)
	result, err := s.registerAnnouncements(ctx, r.Announcements)
	if err != nil {
		return nil, err
	}
	s.enlistAll(ctx, r.Entries)
	return result, nil
}

func (s *Service) renewLeases(tokens []director.Token) {
	if len(tokens) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, token := range tokens {
		s.renewedAt[token] = now
	}
}

// enlistAll proposes all entries concurrently, as each commit takes a round trip. It does not
// wait, so that announcements of the same registration are answered without delay. Entries
// that are not enlisted in time ask again with their next poll.
func (s *Service) enlistAll(ctx context.Context, entries []string) {
	for _, entry := range entries {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), registerTimeout)
			defer cancel()
			s.enlist(ctx, entry)
		}()
	}
}

func (s *Service) enlist(ctx context.Context, entry string) {
	if s.machine.HasEntry(entry) {
		return
	}
	if err := s.propose(ctx, Enlist{Entry: entry}); err != nil {
		s.logger.Debug("entry not enlisted; its next poll asks again", "entry", entry, log.FieldError, err)
		return
	}
	s.logger.Info("entry enlisted", "entry", entry)
}

// registerAnnouncements commits the announcements that change the state, all of them in
// one command. Those that change nothing only renew their lease.
func (s *Service) registerAnnouncements(ctx context.Context, announcements []Announcement) (*RegistrationResult, error) {
	result := new(RegistrationResult)
	var command Announce
	var positions []int
	for i, a := range announcements {
		if declared := s.machine.Declared(); !declared.HasService(a.Server.Service) {
			result.Refusals = append(result.Refusals, Refusal{Position: i, Service: a.Server.Service, Version: declared.Version})
		} else if token, ok := s.machine.IsKnown(a); ok {
			s.renewLeases([]director.Token{token})
		} else {
			command.Announcements, positions = append(command.Announcements, a), append(positions, i)
		}
	}
	if len(positions) == 0 {
		return result, nil
	}
	err := s.propose(ctx, command)
	if err != nil && !IsErrStaleAnnouncement(err) {
		s.logger.Info("announcements not committed", "count", len(positions), log.FieldError, err)
		return nil, err
	}
	for i, a := range command.Announcements {
		token, ok := s.machine.IsRecorded(a)
		reason := ""
		if ok {
			s.renewLeases([]director.Token{token})
		} else {
			reason = staleReason(err, a.Server.Host)
			result.Refusals = append(result.Refusals, Refusal{Position: positions[i], Reason: reason})
		}
		s.logger.Info("announcement received", log.FieldHost, a.Server.Host, log.FieldToken, token, log.FieldAddress, a.Server.Address,
			log.FieldService, a.Server.Service, log.FieldDataCentre, a.Server.DataCentre, "draining", a.Draining,
			"incarnation", a.Server.Incarnation, "sequence", a.Server.Sequence, log.FieldReason, reason)
	}
	return result, nil
}

// staleReason returns why the announcement of a host is out of date. The error of a
// batch only describes its last stale announcement; others get a general reason.
func staleReason(err error, host string) string {
	if stale, ok := asErrStaleAnnouncement(err); ok && stale.Host == host {
		return stale.Reason
	}
	return "a later announcement or start is known"
}

// RunCurrentCheck releases waiting announcements once this replica is current. It returns when ctx ends.
func (s *Service) RunCurrentCheck(ctx context.Context) { s.currentGate.run(ctx, s.IsCurrent) }

// RunRenewalReports reports renewals to the leader until ctx ends.
func (s *Service) RunRenewalReports(ctx context.Context) {
	ticks := s.clock.Subscribe("report of renewals", reportPeriod)
	defer ticks.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			s.report(ctx)
		}
	}
}

// report sends the renewals since the last report to the leader. If that fails, they are
// part of the next report.
func (s *Service) report(ctx context.Context) {
	tokens := s.takeRenewals()
	if len(tokens) == 0 || s.replica.Status().Role == replicator.RoleLeader {
		s.recordReport(nil, nil)
		return
	}
	_, err := s.callLeader(ctx, &Registration{Renewed: tokens})
	s.recordReport(tokens, err)
}

func (s *Service) recordReport(tokens []director.Token, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if err == nil {
		if !s.reportsFailingSince.IsZero() {
			s.logger.Info("renewals are reported again", "after", now.Sub(s.reportsFailingSince))
		}
		s.reportsFailingSince = time.Time{}
		return
	}
	if s.reportsFailingSince.IsZero() {
		s.reportsFailingSince = now
		s.logger.Warn("renewals were not reported; retrying with the next report", "count", len(tokens), log.FieldError, err)
	}
	for _, token := range tokens {
		if len(s.unreported) < maxRenewals {
			s.unreported[token] = struct{}{}
		}
	}
}

func (s *Service) takeRenewals() []director.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := make([]director.Token, 0, len(s.unreported))
	for token := range s.unreported {
		tokens = append(tokens, token)
	}
	clear(s.unreported)
	return tokens
}
