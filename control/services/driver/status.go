package driver

import (
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// updateStatus publishes the state of the Machine and logs its changes.
func (d *Driver) updateStatus() {
	status, counts := d.machine.Status(), d.machine.Counts()
	d.mu.Lock()
	before := d.status
	d.status, d.counts, d.statusAt = status, counts, d.options.Timer.Now()
	d.mu.Unlock()
	if before.Role != status.Role && (before.Role == replicator.RoleLeader || status.Role == replicator.RoleLeader) || before.Leader != status.Leader {
		d.options.Logger.Info("replica role", "role", status.Role, "term", status.Term, "leader", status.Leader)
	}
	if before.Verified != status.Verified {
		d.options.Logger.Info("replica verification", "verified", status.Verified)
	}
	if !slices.Equal(before.Membership.Members, status.Membership.Members) || before.Membership.IsJoint() != status.Membership.IsJoint() {
		voters, outgoing, standbys := namesByVote(status.Membership)
		d.options.Logger.Info("replica membership", "members", len(status.Membership.Members), "voters", voters, "outgoing", outgoing, "standbys", standbys)
	}
	d.logCurrent()
	d.logCommitWait(status)
}

// namesByVote returns the names of the members that vote, of those whose votes are passing to others, and of those that do
// not vote.
func namesByVote(membership storer.Membership) (voters, outgoing, standbys []string) {
	for _, member := range membership.Members {
		switch {
		case member.Voter:
			voters = append(voters, member.Name)
		case membership.IsVoter(member.ID):
			outgoing = append(outgoing, member.Name)
		default:
			standbys = append(standbys, member.Name)
		}
	}
	return voters, outgoing, standbys
}

// logCurrent logs when this replica becomes current or stops being current.
func (d *Driver) logCurrent() {
	status := d.Status()
	isCurrent := status.IsCurrent()
	d.mu.Lock()
	changed := isCurrent != d.loggedCurrent
	d.loggedCurrent = isCurrent
	d.mu.Unlock()
	if changed {
		d.options.Logger.Info("replica is current", "current", isCurrent, "applied", status.AppliedIndex, "caught_up", status.CaughtUpIndex, "term", status.Term)
	}
}

// Status returns the status of this replica. HasQuorum is false after a failure, and if the
// status is older than an election timeout: after a pause of the process, contact with a
// leader and its majority must not be assumed until the next step.
func (d *Driver) Status() replicator.Status {
	now := d.options.Timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.status
	s.AppliedIndex, s.Failed = d.applied, d.failed
	if d.failed != nil || now.Sub(d.statusAt) > d.options.Settings.ElectionTimeout {
		s.HasQuorum = false
	}
	return s
}
