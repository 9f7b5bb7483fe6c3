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

// Backend servers announce themselves to any replica. A replica that is current
// acknowledges renewals itself and reports them to the leader, which times all leases;
// what changes the state goes to the leader in batches and is acknowledged once it is
// committed. So the work of renewals is shared by all replicas.

const (
	// submissionCapacity bounds the changes that wait to be handed to the leader: all
	// backend servers of a replica at the design size may come at once.
	submissionCapacity = 4096
	// registrationBatch bounds the changes of one registration; with 300 bytes each,
	// they are far below what a command may have.
	registrationBatch = 128
	// reportPeriod is the time between two reports of renewals, well below the grace of
	// a lease.
	reportPeriod = 300 * time.Millisecond
	// reportGrace is how long reports may fail before renewals are refused: one that
	// is lost to a change of the leader must not send all backend servers elsewhere.
	reportGrace = 900 * time.Millisecond
	// registerTimeout bounds the call to the leader, so that callers can still turn to
	// another replica.
	registerTimeout = 600 * time.Millisecond
	// maxRenewals bounds the renewals that wait to be reported while the leader does not
	// answer; a later leader begins all leases anew.
	maxRenewals = 8192
)

// Registration is what a replica hands to the leader.
type Registration struct {
	_ struct{} `cbor:",toarray"`
	// Renewed are the tokens whose announcements the replica has acknowledged.
	Renewed []director.Token
	// Announcements would change the state, as far as the replica knows.
	Announcements []Announcement
	// Entries poll the replica and are not enlisted.
	Entries []string
}

// RegistrationResult answers a Registration.
type RegistrationResult struct {
	_ struct{} `cbor:",toarray"`
	// Refusals are those of Announcements; all others are in force.
	Refusals []Refusal
}

// Refusal says why an announcement changes nothing.
type Refusal struct {
	_ struct{} `cbor:",toarray"`
	// Position is that of the announcement in the Registration.
	Position int
	// Reason is set for an announcement that is out of date.
	Reason string
	// Service does not exist in the declaration of Version, if Reason is empty.
	Service string
	Version uint64
}

func (r Refusal) err(host string) error {
	if r.Reason != "" {
		return ErrStaleAnnouncement{Host: host, Reason: r.Reason}
	}
	return ErrServiceNotExist{Service: r.Service, Version: r.Version}
}

// LeaderCaller hands a registration to the replica that leads. Errors carry a gRPC
// status.
type LeaderCaller interface {
	Register(ctx context.Context, leader netip.AddrPort, registration *Registration) (*RegistrationResult, error)
}

// submission waits to be handed to the leader. The types of this file implement it.
type submission interface{ isSubmission() }

// announced is an announcement; done gets the outcome.
type announced struct {
	announcement Announcement
	done         chan error
}

// newcomer is an entry that is not enlisted.
type newcomer struct{ entry string }

func (announced) isSubmission() {}
func (newcomer) isSubmission()  {}

// Announce records an announcement and renews its lease. Errors are those of
// replicator.Proposer, ErrStaleAnnouncement, ErrServiceNotExist, and those of the call
// to the leader. It waits for a replica that is not current, as after a common start
// thousands of backend servers that are refused would all ask the next one at once.
func (s *Service) Announce(ctx context.Context, a Announcement) error {
	if err := s.current.await(ctx, s.IsCurrent); err != nil {
		return err
	}
	if token, ok := s.machine().IsKnown(a); ok {
		return s.noteRenewal(token)
	}
	done := make(chan error, 1)
	if !s.submissions.TryPush(announced{announcement: a, done: done}) {
		return replicator.ErrOverloaded{Waiting: submissionCapacity}
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("wait for the leader: %w", ctx.Err())
	}
}

// Enlist lets the leader add an entry to those that share the rate of cold backend
// servers. It does not wait. It returns false if too much waits already. An entry waits once,
// however often it polls, so that entries leave room for announcements.
func (s *Service) Enlist(entry string) bool {
	if s.machine().IsEnlisted(entry) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.enlisting[entry]; ok {
		return true
	}
	if !s.submissions.TryPush(newcomer{entry: entry}) {
		return false
	}
	s.enlisting[entry] = struct{}{}
	return true
}

// endEnlisting lets entries wait to be enlisted again, if they still must be.
func (s *Service) endEnlisting(batch []submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range batch {
		if n, ok := item.(newcomer); ok {
			delete(s.enlisting, n.entry)
		}
	}
}

// noteRenewal renews a lease on the leader, and keeps it for the next report on others.
// It fails while reports do not reach the leader, so that backend servers turn to a
// replica that does.
func (s *Service) noteRenewal(token director.Token) error {
	isLeading := s.replica.Status().Role == replicator.RoleLeader
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if isLeading {
		s.leases[token] = now
		return nil
	}
	if !s.unreportedSince.IsZero() && now.Sub(s.unreportedSince) > reportGrace {
		return replicator.ErrNoQuorum{Reason: "the leader gets no reports of this replica"}
	}
	if len(s.renewed) < maxRenewals {
		s.renewed[token] = struct{}{}
	}
	return nil
}

// RunForwarding hands changes to the leader until ctx ends.
func (s *Service) RunForwarding(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.submissions.Close)
	defer stop()
	batch := make([]submission, registrationBatch)
	for {
		n := s.submissions.PopBatch(batch)
		if n == 0 {
			return
		}
		s.forward(ctx, batch[:n])
	}
}

// forward hands a batch to the leader and tells those that wait.
func (s *Service) forward(ctx context.Context, batch []submission) {
	defer s.endEnlisting(batch)
	var registration Registration
	var waiting []announced
	for _, item := range batch {
		switch item := item.(type) {
		case announced:
			registration.Announcements = append(registration.Announcements, item.announcement)
			waiting = append(waiting, item)
		case newcomer:
			if !s.machine().IsEnlisted(item.entry) {
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

// Register takes over what a replica hands to this one, which must lead. Errors are
// those of replicator.Proposer.
func (s *Service) Register(ctx context.Context, r *Registration) (*RegistrationResult, error) {
	if err := s.checkLeading(); err != nil {
		return nil, err
	}
	if err := s.awaitCurrent(ctx); err != nil {
		return nil, err
	}
	s.renew(r.Renewed)
	result, err := s.register(ctx, r.Announcements)
	if err != nil {
		return nil, err
	}
	s.enlistAll(ctx, r.Entries)
	return result, nil
}

func (s *Service) renew(tokens []director.Token) {
	if len(tokens) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, token := range tokens {
		s.leases[token] = now
	}
}

// enlistAll proposes entries at once, as each commit takes a round trip, and does not wait:
// announcements of the same registration are answered. Entries that are not enlisted in time
// ask again with their next poll.
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
	if s.machine().IsEnlisted(entry) {
		return
	}
	if err := s.propose(ctx, Enlist{Entry: entry}); err != nil {
		s.logger.Debug("entry not enlisted; its next poll asks again", "entry", entry, log.FieldError, err)
		return
	}
	s.logger.Info("entry enlisted", "entry", entry)
}

// register commits the announcements that change the state, as one command.
func (s *Service) register(ctx context.Context, announcements []Announcement) (*RegistrationResult, error) {
	result := new(RegistrationResult)
	var command Announce
	var positions []int
	for i, a := range announcements {
		if declared := s.machine().Declared(); !declared.HasService(a.Server.Service) {
			result.Refusals = append(result.Refusals, Refusal{Position: i, Service: a.Server.Service, Version: declared.Version})
		} else if token, ok := s.machine().IsKnown(a); ok {
			s.renew([]director.Token{token})
		} else {
			command.Announcements, positions = append(command.Announcements, a), append(positions, i)
		}
	}
	if len(positions) == 0 {
		return result, nil
	}
	err := s.propose(ctx, command)
	if err != nil && !IsErrStaleAnnouncement(err) {
		s.logger.Info("announcements received", "count", len(positions), log.FieldError, err)
		return nil, err
	}
	for i, a := range command.Announcements {
		token, ok := s.machine().IsKnown(a)
		reason := ""
		if ok {
			s.renew([]director.Token{token})
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
// batch is that of its last such announcement only.
func staleReason(err error, host string) string {
	if stale, ok := asErrStaleAnnouncement(err); ok && stale.Host == host {
		return stale.Reason
	}
	return "a later announcement or start is known"
}

// RunGate lets announcements go on once this replica is current, until ctx ends.
func (s *Service) RunGate(ctx context.Context) { s.current.run(ctx, s.IsCurrent) }

// RunReporting reports renewals to the leader until ctx ends.
func (s *Service) RunReporting(ctx context.Context) {
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

// report hands the renewals since the last report to the leader. Those that it does
// not get are reported the next time.
func (s *Service) report(ctx context.Context) {
	tokens := s.takeRenewals()
	if len(tokens) == 0 || s.replica.Status().Role == replicator.RoleLeader {
		s.noteReport(nil, nil)
		return
	}
	_, err := s.callLeader(ctx, &Registration{Renewed: tokens})
	s.noteReport(tokens, err)
}

func (s *Service) noteReport(tokens []director.Token, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if err == nil {
		if !s.unreportedSince.IsZero() {
			s.logger.Info("renewals are reported again", "after", now.Sub(s.unreportedSince))
		}
		s.unreportedSince = time.Time{}
		return
	}
	if s.unreportedSince.IsZero() {
		s.unreportedSince = now
		s.logger.Warn("renewals were not reported; they are the next time", "count", len(tokens), log.FieldError, err)
	}
	for _, token := range tokens {
		if len(s.renewed) < maxRenewals {
			s.renewed[token] = struct{}{}
		}
	}
}

func (s *Service) takeRenewals() []director.Token {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := make([]director.Token, 0, len(s.renewed))
	for token := range s.renewed {
		tokens = append(tokens, token)
	}
	clear(s.renewed)
	return tokens
}
