package driver

import (
	"time"

	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// logWaitDivisor divides the election timeout to give the time after which a slow save, and changes that wait for a
// majority, are logged. Callers wait longer for a change, so a failed one finds its cause in the log.
const logWaitDivisor = 3

// commitWait is a period in which the leader has entries that are not committed, and commits none.
type commitWait struct {
	isWaiting, isLogged bool
	since               time.Time
	commitIndex         uint64
}

// logCommitWait logs which voters changes wait for, and when they are committed again.
func (d *Driver) logCommitWait(status replicator.Status) {
	w, now := &d.commitWait, d.options.Timer.Now()
	isLeader := status.Role == replicator.RoleLeader
	isWaiting := isLeader && status.LastIndex > status.CommitIndex
	hasProgress := status.CommitIndex > w.commitIndex
	if !isWaiting || !w.isWaiting || hasProgress {
		if w.isLogged && isLeader {
			d.options.Logger.Info("changes are committed again", "after", now.Sub(w.since), "commit_index", status.CommitIndex)
		}
		*w = commitWait{isWaiting: isWaiting, since: now, commitIndex: status.CommitIndex}
		return
	}
	if w.isLogged || now.Sub(w.since) < d.options.Settings.ElectionTimeout/logWaitDivisor {
		return
	}
	w.isLogged = true
	d.options.Logger.Warn("changes wait for a majority of the voters", "commit_index", status.CommitIndex, "last_index", status.LastIndex, "voters", d.machine.VoterProgress())
}
