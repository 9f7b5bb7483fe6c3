package driver

import (
	"expvar"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

type metrics struct {
	messagesSent, messagesReceived, sendErrors, sendsDropped, receivesDropped,
	callersRefused, snapshotErrors, slowSaves *expvar.Int
	// syncTime is the time that the disk takes to make the output of a step durable.
	syncTime *reporter.Histogram
}

func newMetrics(c *reporter.Counters) metrics {
	return metrics{
		messagesSent:     c.Int("replica_messages_sent"),
		messagesReceived: c.Int("replica_messages_received"),
		sendErrors:       c.Int("replica_send_errors"),
		sendsDropped:     c.Int("replica_sends_dropped"),
		receivesDropped:  c.Int("replica_receives_dropped"),
		callersRefused:   c.Int("replica_callers_refused"),
		snapshotErrors:   c.Int("replica_snapshot_errors"),
		slowSaves:        c.Int("replica_slow_saves"),
		syncTime:         c.Histogram("sync_time"),
	}
}

// publish registers metrics for the state and the counts of the Machine.
func (d *Driver) publish(c *reporter.Counters) {
	ofStatus := func(f func(replicator.Status) any) func() any { return func() any { return f(d.Status()) } }
	ofCounts := func(f func(replicator.Counts) uint64) func() any {
		return func() any {
			d.mu.Lock()
			defer d.mu.Unlock()
			return f(d.counts)
		}
	}
	c.Func("replica_role", ofStatus(func(s replicator.Status) any { return s.Role }))
	c.Func("replica_term", ofStatus(func(s replicator.Status) any { return s.Term }))
	c.Func("replica_leader", ofStatus(func(s replicator.Status) any { return s.Leader }))
	c.Func("replica_verified", ofStatus(func(s replicator.Status) any { return s.Verified }))
	c.Func("replica_failed", ofStatus(func(s replicator.Status) any { return s.Failed != nil }))
	c.Func("replica_commit_index", ofStatus(func(s replicator.Status) any { return s.CommitIndex }))
	c.Func("replica_applied_index", ofStatus(func(s replicator.Status) any { return s.AppliedIndex }))
	c.Func("replica_last_index", ofStatus(func(s replicator.Status) any { return s.LastIndex }))
	c.Func("replica_snapshot_index", ofStatus(func(s replicator.Status) any { return s.SnapshotIndex }))
	c.Func("replica_members", ofStatus(func(s replicator.Status) any { return len(s.Membership.Members) }))
	c.Func("replica_voters", ofStatus(func(s replicator.Status) any { return s.Membership.Voters() }))
	c.Func("replica_elections", ofCounts(func(n replicator.Counts) uint64 { return n.Elections }))
	c.Func("replica_terms_led", ofCounts(func(n replicator.Counts) uint64 { return n.TermsLed }))
	c.Func("replica_hand_overs", ofCounts(func(n replicator.Counts) uint64 { return n.LeadershipTransfers }))
	c.Func("replica_messages_refused", ofCounts(func(n replicator.Counts) uint64 { return n.MessagesRefused }))
	c.Func("replica_late_responses", ofCounts(func(n replicator.Counts) uint64 { return n.LateResponses }))
	c.Func("replica_snapshots_sent", ofCounts(func(n replicator.Counts) uint64 { return n.SnapshotsSent }))
	c.Func("replica_snapshots_installed", ofCounts(func(n replicator.Counts) uint64 { return n.SnapshotsInstalled }))
	c.Func("replica_membership_changes", ofCounts(func(n replicator.Counts) uint64 { return n.MembershipChanges }))
	c.Func("replica_verifications", ofCounts(func(n replicator.Counts) uint64 { return n.Verifications }))
	c.Func("replica_weak_verifications", ofCounts(func(n replicator.Counts) uint64 { return n.WeakVerifications }))
	c.Func("replica_joins_refused", ofCounts(func(n replicator.Counts) uint64 { return n.JoinsRefused }))
}
