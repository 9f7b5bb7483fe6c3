package planner

import (
	"fmt"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// Machine is the replicated state machine of control. Its state is the
// configuration, the plans, the answers to requests and the audit trail. It
// implements Applier and is safe for concurrent use.
type Machine struct {
	mu      sync.RWMutex
	state   state
	changed chan struct{}
}

var _ Applier = (*Machine)(nil)

// NewMachine returns a Machine with an empty configuration of version 0.
func NewMachine() *Machine {
	return &Machine{state: newState(), changed: make(chan struct{})}
}

// Apply executes a command and returns the encoded operator.PlanResponse. It returns nil
// for an index that was applied before. A command that cannot be decoded is
// refused and changes nothing but the applied index.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.state.Index {
		return nil
	}
	m.state.Index = index
	before := m.state.trail.Head()
	answer := m.applyLocked(command)
	if m.state.trail.Head() != before {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return answer
}

func (m *Machine) applyLocked(data []byte) []byte {
	command, err := decode(data)
	if err != nil {
		return encodeAnswer(m.state.refuse(operator.ReasonInvalid, "%v", err))
	}
	s := &m.state
	switch c := command.(type) {
	case CreatePlan:
		return s.executeOnce(c.Request, func() operator.PlanResponse { return s.createPlan(c) })
	case ConfirmPlan:
		return s.executeOnce(c.Request, func() operator.PlanResponse { return s.confirmPlan(c) })
	case ExpirePlans:
		s.expirePlans(c.Now)
	case RecordRefusal:
		s.audit(auditor.Line{Time: c.Now, Operator: c.Operator, Event: auditor.EventRefusal, Request: c.Request, Text: c.Text})
	}
	return encodeAnswer(operator.PlanResponse{Version: s.Catalog.Version})
}

// Snapshot returns the whole state, including the complete audit trail.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.state
	s.Trail = s.trail.Store()
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode a snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state with a snapshot. If the snapshot cannot be decoded or
// the hash chain of its audit trail is broken, Restore returns an error and keeps
// the previous state.
func (m *Machine) Restore(snapshot []byte) error {
	restored, err := decodeState(snapshot)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// Changed returns a channel that is closed when the next line is added to the audit
// trail or the state is restored. Every configuration change adds a line.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Catalog returns the configuration in force.
func (m *Machine) Catalog() cataloger.Catalog {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Catalog
}

// LastChange returns the change that created the configuration in force, or false
// if there is none yet.
func (m *Machine) LastChange() (operator.Change, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.lastChange()
}

func (s *state) lastChange() (operator.Change, bool) {
	if len(s.History) == 0 {
		return operator.Change{}, false
	}
	return s.History[len(s.History)-1], true
}

// Overview is the configuration in force and what belongs to it at the same moment.
type Overview struct {
	Catalog cataloger.Catalog
	// LastChange is the change that created Catalog, or nil if there is none yet.
	LastChange *operator.Change
	// OpenPlans is the number of open plans.
	OpenPlans int
	AuditHead auditor.Head
}

// Overview returns an Overview. Reading its parts one by one could mix two versions.
func (m *Machine) Overview() Overview {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o := Overview{Catalog: m.state.Catalog, AuditHead: m.state.trail.Head()}
	if change, ok := m.state.lastChange(); ok {
		o.LastChange = &change
	}
	for _, r := range m.state.Plans {
		if r.Plan.State == operator.PlanOpen {
			o.OpenPlans++
		}
	}
	return o
}

// Plans returns up to limit plans, newest first. It returns only open plans unless
// all is set.
func (m *Machine) Plans(all bool, limit int) []operator.Plan {
	m.mu.RLock()
	defer m.mu.RUnlock()
	plans := make([]operator.Plan, 0)
	for _, r := range slices.Backward(m.state.Plans) {
		if len(plans) == limit {
			break
		}
		if all || r.Plan.State == operator.PlanOpen {
			plans = append(plans, r.Plan)
		}
	}
	return plans
}

// HasExpiredPlans reports whether ExpirePlans would close a plan.
func (m *Machine) HasExpiredPlans(now timer.Timestamp) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.ContainsFunc(m.state.Plans, func(r planRecord) bool { return r.isExpired(now) })
}

// ListAudit returns up to limit audit lines after the given sequence number, and
// the head of the trail.
func (m *Machine) ListAudit(after uint64, limit int) ([]auditor.Line, auditor.Head, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	lines, err := m.state.trail.List(after, limit)
	return lines, m.state.trail.Head(), err
}

// VerifyAudit recomputes the hash chain of the whole audit trail. It returns an
// auditor.ErrChainBroken if the chain does not match.
func (m *Machine) VerifyAudit() error {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.trail.Verify()
}

// findIntent returns the intent of a plan, or false if there is no such plan. For an
// open plan of a declaration it also returns the declaration.
func (m *Machine) findIntent(planID string) (operator.Intent, *cataloger.Catalog, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	i := m.state.findPlan(planID)
	if i < 0 {
		return nil, nil, false
	}
	intent, err := m.state.Plans[i].Intent.Unwrap()
	return intent, m.state.Plans[i].Declared, err == nil
}
