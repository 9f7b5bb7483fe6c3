package director

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/redwingledge/redwingledge/control/services/replicator"
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
)

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

func (forwardedEntry) isForwardItem() {}

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
