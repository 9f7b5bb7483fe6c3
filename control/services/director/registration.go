package director

import (
	"context"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

// registerTimeout bounds the call to the leader, so that backend servers still have
// time to try another replica.
const registerTimeout = 600 * time.Millisecond

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
	// Service is not in the declaration with Version, and the start is not recorded. Both are set if Reason is empty.
	Service string
	Version uint64
}

func (r Refusal) err(host string) error {
	if r.Reason != "" {
		return ErrStaleAnnouncement{Host: host, Reason: r.Reason}
	}
	return ErrServiceNotExist{Service: r.Service, Version: r.Version}
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
		// A start that is recorded may go on, and drain, after a declaration has dropped its service.
		if declared := s.machine.Declared(); !declared.HasService(a.Server.Service) && !s.machine.HasStart(a.Server) {
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
	err := s.proposeUnless(ctx, command, func() bool { return s.areKnown(command.Announcements) })
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

// areKnown reports whether none of the announcements would change the state.
func (s *Service) areKnown(announcements []Announcement) bool {
	return !slices.ContainsFunc(announcements, func(a Announcement) bool {
		_, ok := s.machine.IsKnown(a)
		return !ok
	})
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
