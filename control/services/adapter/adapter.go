// Package adapter connects the planner to the replicated log.
package adapter

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Applier applies commands of the replicated log to the planner's machine.
type Applier struct {
	*planner.Machine
}

var _ replicator.Applier = Applier{}

// Apply applies a committed command. Refusals are part of the result, not errors.
func (a Applier) Apply(index uint64, command []byte) ([]byte, error) {
	return a.Machine.Apply(index, command), nil
}

// Proposer implements planner.Proposer with a replica.
type Proposer struct {
	replica replicator.Proposer
	machine *planner.Machine
}

var _ planner.Proposer = (*Proposer)(nil)

// NewProposer returns a Proposer that proposes commands to replica and looks up the
// operator addresses of replicas in the catalog of machine.
func NewProposer(replica replicator.Proposer, machine *planner.Machine) *Proposer {
	return &Proposer{replica: replica, machine: machine}
}

// Propose commits a command and returns its result; see planner.Proposer.
func (p *Proposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := p.replica.Propose(ctx, command)
	return result, translate(err)
}

// ReadBarrier waits until everything committed before the call is applied; see planner.Proposer.
func (p *Proposer) ReadBarrier(ctx context.Context) error {
	return translate(p.replica.ReadBarrier(ctx))
}

// Status returns the status of the replica; see planner.Proposer.
func (p *Proposer) Status() planner.Status {
	status := p.replica.Status()
	return planner.Status{
		Replica: status.Name, IsLeader: status.Role == replicator.RoleLeader && status.HasQuorum,
		Leader: status.Leader, LeaderAddress: p.operatorAddress(status.Leader),
	}
}

func (p *Proposer) operatorAddress(name string) netip.AddrPort {
	for _, replica := range p.machine.Catalog().Control {
		if replica.Name == name {
			return replica.OperatorAddress
		}
	}
	return netip.AddrPort{}
}

func translate(err error) error {
	var notLeader replicator.ErrNotLeader
	if errors.As(err, &notLeader) {
		return planner.ErrNotLeader{Leader: notLeader.Leader}
	}
	return err
}

// FindAdmittedReplicas returns the names of the replicas that the configuration lists, and
// whether only these may join. Others may join while a listed replica is not a member,
// so that a wrong list does not exclude the replicas of the settings.
func FindAdmittedReplicas(status replicator.Status, catalog cataloger.Catalog) (names []string, exclusive bool) {
	exclusive = len(catalog.Control) > 0
	for _, listed := range catalog.Control {
		names = append(names, listed.Name)
		exclusive = exclusive && slices.ContainsFunc(status.Membership.Members, func(m storer.Member) bool { return m.Name == listed.Name })
	}
	return names, exclusive
}

// IsOnlyUnlisted reports whether the replica itself is the only member that the
// configuration no longer lists. It returns false until every listed replica is a voter.
func IsOnlyUnlisted(status replicator.Status, catalog cataloger.Catalog) bool {
	listed := make(map[string]bool, len(catalog.Control))
	for _, replica := range catalog.Control {
		listed[replica.Name] = true
	}
	voters := 0
	for _, member := range status.Membership.Members {
		switch {
		case listed[member.Name] && member.Voter:
			voters++
		case member.Name != status.Name:
			return false
		}
	}
	return len(listed) > 0 && !listed[status.Name] && voters == len(listed)
}

// FindUnlisted returns the names of the members that the configuration no longer lists,
// except the replica itself. It returns none until every listed replica is a voter, so
// that a wrong list, or a replacement that has not joined yet, never removes a replica.
func FindUnlisted(status replicator.Status, catalog cataloger.Catalog) []string {
	voters := make(map[string]bool, len(status.Membership.Members))
	for _, member := range status.Membership.Members {
		voters[member.Name] = voters[member.Name] || member.Voter
	}
	listed := make(map[string]bool, len(catalog.Control))
	for _, replica := range catalog.Control {
		if !voters[replica.Name] {
			return nil
		}
		listed[replica.Name] = true
	}
	var unlisted []string
	for _, member := range status.Membership.Members {
		if len(listed) > 0 && !listed[member.Name] && member.Name != status.Name {
			unlisted = append(unlisted, member.Name)
		}
	}
	return unlisted
}
