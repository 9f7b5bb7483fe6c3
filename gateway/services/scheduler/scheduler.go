package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/prober"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// TickPeriod is the interval at which the Machine needs a Tick.
const TickPeriod = 10 * time.Millisecond

// grantRequestPeriod is the minimum interval between two checks for due slot requests outside
// of ticks.
const grantRequestPeriod = time.Millisecond

// noBackendTimeout is how long requests wait while their service has no backend server, such as
// right after the gateway has started.
const noBackendTimeout = 2 * time.Second

// Settings configure a Machine.
type Settings struct {
	Self   string
	Slots  granter.Settings
	Queues queuer.Settings
}

// Machine is a deterministic state machine. It is not safe for concurrent use.
type Machine struct {
	settings          Settings
	view              viewer.View
	leases            *leaseholder.Leases
	granter           *granter.Machine
	queues            map[string]*queuer.Queue
	services          []string
	noBackendSince    map[string]time.Time
	lastGrantRequests time.Time
	// secondAttempts are those that have no slot yet.
	secondAttempts []pendingSecondAttempt
	prober         *prober.Machine
	// appliedVersion and appliedGateways identify the view that was last passed to the leases
	// and the granter.
	appliedVersion  uint64
	appliedGateways []viewer.Gateway
}

// probeSequence is the sequence number of probes. Slot requests have higher ones.
const probeSequence = 0

// New returns a Machine with an empty view.
func New(settings Settings, rng *rand.Rand) *Machine {
	return &Machine{
		settings:       settings,
		leases:         leaseholder.New(settings.Self, settings.Slots.Lease, rng),
		granter:        granter.New(settings.Self, settings.Slots),
		prober:         prober.New(settings.Self),
		queues:         make(map[string]*queuer.Queue),
		noBackendSince: make(map[string]time.Time),
	}
}

// Step processes one input and returns the resulting actions. The time must be monotonic.
func (m *Machine) Step(now time.Time, input Input) []Output {
	var out []Output
	switch in := input.(type) {
	case ViewChanged:
		m.view = in.View
		m.prober.SetGateways(now, in.View.Gateways)
		m.applyView(now)
	case Leave:
		m.prober.Leave()
		m.applyView(now)
	case RequestQueued:
		out = m.enqueue(now, in)
	case SecondSlotRequested:
		m.secondAttempts = append(m.secondAttempts, pendingSecondAttempt{SecondSlotRequested: in})
	case RequestCancelled:
		m.cancelSecondAttempt(in.Request)
		if q := m.queues[in.Service]; q != nil {
			q.Remove(in.Request)
		}
		return nil
	case SlotReturned:
		m.leases.Return(now, in.Slot, in.Result, in.Latency)
		if q := m.queues[in.Slot.ID.Service]; q != nil && in.Result == leaseholder.ResultAnswered {
			q.ObserveServiceTime(in.Latency)
		}
	case GrantRequested:
		return []Output{AnswerGrant{Call: in.Call, Answer: m.answerGrantRequest(now, in.Request)}}
	case GrantAnswered:
		if in.Sequence == probeSequence {
			m.handleProbeAnswer(now, in)
			break
		}
		m.leases.HandleAnswer(now, in.From, in.Sequence, in.Answer)
	case GrantFailed:
		m.leases.HandleNoAnswer(now, in.From, in.Sequence, in.IDs)
	case Tick:
		out = append(m.probe(now), m.expire(now)...)
	}
	out = append(out, m.startRequests(now)...)
	out = append(out, m.startSecondAttempts(now)...)
	if !m.areGrantRequestsDue(now, input) {
		return out
	}
	m.lastGrantRequests = now
	out = append(out, m.requestGrants(now)...)
	out = append(out, m.startRequests(now)...)
	return append(out, m.startSecondAttempts(now)...)
}

// areGrantRequestsDue reports whether to check for due slot requests: at each tick, and between
// ticks while requests wait, at most once per grantRequestPeriod. This limits the work per
// request when there are thousands of backend servers.
func (m *Machine) areGrantRequestsDue(now time.Time, input Input) bool {
	if _, ok := input.(Tick); ok {
		return true
	}
	if now.Sub(m.lastGrantRequests) < grantRequestPeriod {
		return false
	}
	return len(m.secondAttempts) > 0 || slices.ContainsFunc(m.services, func(service string) bool { return m.queues[service].Len() > 0 })
}

// probe sends the probes that are due and applies changes in which gateways are considered
// dead.
func (m *Machine) probe(now time.Time) []Output {
	m.granter.Tick(now)
	var out []Output
	for _, name := range m.prober.Tick(now) {
		out = append(out, SendGrantRequest{To: name, Request: messenger.GrantRequest{From: m.settings.Self, Epoch: m.leases.Epoch(), Sequence: probeSequence}})
	}
	m.applyView(now)
	return out
}

func (m *Machine) handleProbeAnswer(now time.Time, in GrantAnswered) {
	sent, isAcknowledged := m.prober.RecordAnswer(now, in.From, in.Answer.Leaving, in.Answer.Unreachable)
	m.applyView(now)
	if isAcknowledged {
		m.granter.Acknowledge(now, in.From, sent, in.Answer)
	}
}

// applyView passes the view to the leases and the granter if the view or the set of dead
// gateways has changed.
func (m *Machine) applyView(now time.Time) {
	marked := m.prober.MarkDead(now)
	m.granter.SetMayOwn(now, m.prober.MayOwn(now))
	if m.view.Version == m.appliedVersion && slices.Equal(marked, m.appliedGateways) {
		return
	}
	m.appliedVersion, m.appliedGateways = m.view.Version, marked
	view := m.view
	view.Gateways = marked
	m.leases.SetView(view)
	m.granter.SetView(now, view)
}

func (m *Machine) answerGrantRequest(now time.Time, req messenger.GrantRequest) messenger.GrantAnswer {
	if len(req.Demands) == 0 {
		m.applyView(now)
		return messenger.GrantAnswer{
			Leaving: m.prober.IsLeaving(now), Unreachable: m.prober.Unreachable(now),
			FormerLeases: m.granter.FormerLeases(now), Relinquished: m.granter.Relinquished(now, req.From, req.Epoch),
		}
	}
	m.granter.SetMayOwn(now, m.prober.MayOwn(now))
	return m.granter.Grant(now, req)
}

func (m *Machine) enqueue(now time.Time, in RequestQueued) []Output {
	q := m.queues[in.Service]
	if q == nil {
		q = queuer.New(m.settings.Queues)
		m.queues[in.Service] = q
		m.services = append(m.services, in.Service)
		slices.Sort(m.services)
	}
	if in.Retry && now.Before(in.Item.Deadline) {
		q.PushFront(in.Item)
		return nil
	}
	if reason, ok := q.Push(now, in.Item); !ok {
		return []Output{Refuse{Request: in.Item.Request, Reason: reason, RetryAfter: q.ExpectedWait(in.Item.ClientAccount)}}
	}
	return nil
}

// startRequests assigns free slots to waiting requests.
func (m *Machine) startRequests(now time.Time) []Output {
	var out []Output
	for _, service := range m.services {
		q := m.queues[service]
		for q.Len() > 0 {
			slot, ok := m.leases.Take(now, service)
			if !ok {
				break
			}
			item, expired, ok := q.Pop(now)
			out = append(out, refuseAll(q, expired)...)
			if !ok {
				m.leases.Return(now, slot, leaseholder.ResultUnused, 0)
				break
			}
			out = append(out, Start{Request: item.Request, Slot: slot})
		}
	}
	return out
}

// requestGrants returns the slot requests that are due. Those addressed to this gateway are
// answered directly.
func (m *Machine) requestGrants(now time.Time) []Output {
	waiting := make(map[string]int, len(m.services))
	for _, service := range m.services {
		waiting[service] = m.queues[service].Len()
	}
	var out []Output
	for _, outgoing := range m.leases.DueRequests(now, waiting, m.countSecondAttempts()) {
		if outgoing.To == m.settings.Self {
			m.leases.HandleAnswer(now, outgoing.To, outgoing.Request.Sequence, m.answerGrantRequest(now, outgoing.Request))
			continue
		}
		out = append(out, SendGrantRequest{To: outgoing.To, Request: outgoing.Request})
	}
	m.startSecondTimeouts(now)
	return out
}

// expire refuses the requests that would most likely not complete before their deadline, and
// those of services that have had no backend server for noBackendTimeout.
func (m *Machine) expire(now time.Time) []Output {
	var out []Output
	for _, service := range m.services {
		q := m.queues[service]
		out = append(out, refuseAll(q, q.Expire(now))...)
		if m.leases.HasServers(service) || q.Len() == 0 {
			delete(m.noBackendSince, service)
			continue
		}
		since, ok := m.noBackendSince[service]
		if !ok {
			m.noBackendSince[service] = now
			continue
		}
		if now.Sub(since) < noBackendTimeout {
			continue
		}
		for {
			item, _, ok := q.Pop(now)
			if !ok {
				break
			}
			out = append(out, Refuse{Request: item.Request, Reason: recorder.ReasonNoBackend, RetryAfter: noBackendTimeout})
		}
	}
	return out
}

// refuseAll refuses requests that can no longer start in time. They may return when a new request
// of their client account would start.
func refuseAll(q *queuer.Queue, items []queuer.Item) []Output {
	out := make([]Output, 0, len(items))
	for _, item := range items {
		out = append(out, Refuse{Request: item.Request, Reason: recorder.ReasonDeadline, RetryAfter: q.ExpectedWait(item.ClientAccount)})
	}
	return out
}

// Leases returns the leases that this gateway holds, for counters and tests.
func (m *Machine) Leases() *leaseholder.Leases { return m.leases }

// Leased returns the number of slots of a backend server owned by this gateway that it has
// granted in leases that have not expired.
func (m *Machine) Leased(now time.Time, id announcer.ID) int { return m.granter.Leased(now, id) }

// Waiting returns the number of requests that wait for a slot of the service.
func (m *Machine) Waiting(service string) int {
	if q := m.queues[service]; q != nil {
		return q.Len()
	}
	return 0
}
