package director

import (
	"context"
	"time"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

const (
	// reportPeriod is the time between two reports of renewals to the leader. It is well
	// below the grace of a lease, which is the time that a lease leaves for a retry at
	// another VM.
	reportPeriod = 300 * time.Millisecond
	// reportGrace is how long reports may fail before renewals are refused. One report
	// that is lost to a leader change must not send all backend servers to other replicas.
	reportGrace = 900 * time.Millisecond
	// maxRenewals bounds the unreported renewals while the leader does not answer. Those
	// beyond it can be dropped, as a new leader restarts all leases.
	maxRenewals = 8192
)

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
