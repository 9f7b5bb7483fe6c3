package replicator

import (
	"fmt"
	"math"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// VoterProgress describes how far a voter has stored the log, as the leader knows it.
type VoterProgress struct {
	Name string
	// StoredIndex is the index up to which the voter has stored the leader's log. 0 means unknown.
	StoredIndex uint64
	// HasAnswered reports that the voter has answered a request of this leader since one of the two started.
	HasAnswered bool
	// Age is the time since the newest request that it has answered was sent. It is 0 for the leader itself.
	Age time.Duration
}

// String describes the progress in log lines.
func (p VoterProgress) String() string {
	switch {
	case !p.HasAnswered:
		return p.Name + " has not answered"
	case p.Age == 0:
		return fmt.Sprintf("%s stored up to %d", p.Name, p.StoredIndex)
	}
	return fmt.Sprintf("%s stored up to %d, as of %s ago", p.Name, p.StoredIndex, p.Age.Round(time.Millisecond))
}

// VoterProgress returns the progress of all voters on the leader, and nil on other replicas.
func (m *Machine) VoterProgress() []VoterProgress {
	if m.role != RoleLeader {
		return nil
	}
	var all []VoterProgress
	for _, member := range m.membership().Members {
		if m.membership().IsVoter(member.ID) {
			all = append(all, m.progressOf(member))
		}
	}
	return all
}

func (m *Machine) progressOf(member storer.Member) VoterProgress {
	if member.ID == m.id {
		return VoterProgress{Name: member.Name, StoredIndex: m.saving.stored.index, HasAnswered: true}
	}
	p := m.leaderState.progress[member.ID]
	if p == nil || p.sentAt == math.MinInt64 {
		return VoterProgress{Name: member.Name}
	}
	return VoterProgress{Name: member.Name, StoredIndex: p.matchIndex, HasAnswered: true, Age: time.Duration(m.clock() - p.sentAt)}
}
