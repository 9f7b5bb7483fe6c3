package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/leaser"
	"github.com/redwingledge/redwingledge/gateway/services/prober"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// TickPeriod is how often the Machine needs a Tick.
const TickPeriod = 10 * time.Millisecond

// askPeriod is the least time between two looks for requests to owners outside
// of ticks.
const askPeriod = time.Millisecond

// noBackendWait is how long requests wait for a backend server of a service
// that has none, such as right after a start of the gateway.
const noBackendWait = 2 * time.Second

// Settings are the settings of a Machine.
type Settings struct {
	Self   string
	Slots  granter.Settings
	Queues queuer.Settings
}

// Machine is a deterministic state machine. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	view     viewer.View
	leases   *leaser.Leases
	granter  *granter.Machine
	queues   map[string]*queuer.Queue
	services []string
	idle     map[string]time.Time
	asked    time.Time
	prober   *prober.Machine
	// applied and marked are the view that the leases and grants follow.
	applied uint64
	marked  []viewer.Gateway
}

// probeSequence is the sequence of probes; requests for slots have greater ones.
const probeSequence = 0

// New returns a Machine without a view.
func New(settings Settings, rng *rand.Rand) *Machine {
	return &Machine{
		settings: settings,
		leases:   leaser.New(settings.Self, settings.Slots.Lease, rng),
		granter:  granter.New(settings.Self, settings.Slots),
		prober:   prober.New(settings.Self),
		queues:   make(map[string]*queuer.Queue),
		idle:     make(map[string]time.Time),
	}
}

// Step takes one input into account. The time must be monotonic.
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
	case RequestCancelled:
		if q := m.queues[in.Service]; q != nil {
			q.Remove(in.Request)
		}
		return nil
	case SlotReturned:
		m.leases.Return(now, in.Slot, in.Result, in.Latency)
		if q := m.queues[in.Slot.ID.Service]; q != nil && in.Result == leaser.ResultAnswered {
			q.ObserveRun(in.Latency)
		}
	case GrantAsked:
		return []Output{AnswerGrant{Call: in.Call, Answer: m.grant(now, in.Request)}}
	case GrantAnswered:
		if in.Sequence == probeSequence {
			m.probed(now, in)
			break
		}
		m.leases.Granted(now, in.From, in.Sequence, in.Answer)
	case GrantFailed:
		m.leases.Failed(now, in.From, in.Sequence, in.IDs)
	case Tick:
		out = append(m.probe(now), m.expire(now)...)
	}
	out = append(out, m.start(now)...)
	if !m.isAskDue(now, input) {
		return out
	}
	m.asked = now
	out = append(out, m.ask(now)...)
	return append(out, m.start(now)...)
}

// isAskDue reports whether to look for requests to owners: at each tick, and
// between ticks while requests wait. It bounds the work for each request when
// there are thousands of backend servers.
func (m *Machine) isAskDue(now time.Time, input Input) bool {
	if _, ok := input.(Tick); ok {
		return true
	}
	if now.Sub(m.asked) < askPeriod {
		return false
	}
	return slices.ContainsFunc(m.services, func(service string) bool { return m.queues[service].Len() > 0 })
}

// probe sends the probes that are due and notes which gateways have died.
func (m *Machine) probe(now time.Time) []Output {
	m.granter.Tick(now)
	var out []Output
	for _, name := range m.prober.Tick(now) {
		out = append(out, SendGrantRequest{To: name, Request: messenger.GrantRequest{From: m.settings.Self, Epoch: m.leases.Epoch(), Sequence: probeSequence}})
	}
	m.applyView(now)
	return out
}

func (m *Machine) probed(now time.Time, in GrantAnswered) {
	sent, isAcknowledged := m.prober.Answered(now, in.From, in.Answer.Leaving, in.Answer.Unheard)
	m.applyView(now)
	if isAcknowledged {
		m.granter.Acknowledge(now, in.From, sent, in.Answer)
	}
}

// applyView passes the view on if it or the marks of dead gateways changed.
func (m *Machine) applyView(now time.Time) {
	marked := m.prober.Mark(now)
	m.granter.SetMayOwn(now, m.prober.MayOwn(now))
	if m.view.Version == m.applied && slices.Equal(marked, m.marked) {
		return
	}
	m.applied, m.marked = m.view.Version, marked
	view := m.view
	view.Gateways = marked
	m.leases.SetView(view)
	m.granter.SetView(now, view)
}

func (m *Machine) grant(now time.Time, req messenger.GrantRequest) messenger.GrantAnswer {
	if len(req.Demands) == 0 {
		m.applyView(now)
		return messenger.GrantAnswer{
			Leaving: m.prober.IsLeaving(now), Unheard: m.prober.Unheard(now),
			Former: m.granter.Former(now), GaveUp: m.granter.GaveUp(now, req.From, req.Epoch),
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
		return []Output{Refuse{Request: in.Item.Request, Reason: reason, RetryAfter: q.ExpectedWait(in.Item.Member)}}
	}
	return nil
}

// start hands free slots to waiting requests.
func (m *Machine) start(now time.Time) []Output {
	var out []Output
	for _, service := range m.services {
		q := m.queues[service]
		for q.Len() > 0 {
			slot, ok := m.leases.Take(now, service)
			if !ok {
				break
			}
			item, expired, ok := q.Pop(now)
			out = append(out, refuseAll(expired)...)
			if !ok {
				m.leases.Return(now, slot, leaser.ResultUnused, 0)
				break
			}
			out = append(out, Start{Request: item.Request, Slot: slot})
		}
	}
	return out
}

// ask sends the requests for slots that are due. Those to this gateway itself
// are answered at once.
func (m *Machine) ask(now time.Time) []Output {
	need := make(map[string]int, len(m.services))
	for _, service := range m.services {
		need[service] = m.queues[service].Len()
	}
	var out []Output
	for _, ask := range m.leases.Asks(now, need) {
		if ask.To == m.settings.Self {
			m.leases.Granted(now, ask.To, ask.Request.Sequence, m.grant(now, ask.Request))
			continue
		}
		out = append(out, SendGrantRequest{To: ask.To, Request: ask.Request})
	}
	return out
}

// expire refuses the requests past their deadline, and those of services that
// have had no backend server for a while.
func (m *Machine) expire(now time.Time) []Output {
	var out []Output
	for _, service := range m.services {
		q := m.queues[service]
		out = append(out, refuseAll(q.Expire(now))...)
		if m.leases.HasHosts(service) || q.Len() == 0 {
			delete(m.idle, service)
			continue
		}
		since, ok := m.idle[service]
		if !ok {
			m.idle[service] = now
			continue
		}
		if now.Sub(since) < noBackendWait {
			continue
		}
		for {
			item, _, ok := q.Pop(now)
			if !ok {
				break
			}
			out = append(out, Refuse{Request: item.Request, Reason: recorder.ReasonNoBackend, RetryAfter: noBackendWait})
		}
	}
	return out
}

func refuseAll(items []queuer.Item) []Output {
	out := make([]Output, 0, len(items))
	for _, item := range items {
		out = append(out, Refuse{Request: item.Request, Reason: recorder.ReasonDeadline, RetryAfter: time.Second})
	}
	return out
}

// Leases returns the leases of this gateway, for counters and tests.
func (m *Machine) Leases() *leaser.Leases { return m.leases }

// Leased returns the sum of the leases that this gateway has granted for a
// backend server that it owns.
func (m *Machine) Leased(now time.Time, id announcer.ID) int { return m.granter.Leased(now, id) }

// Waiting returns the number of requests that wait for a slot of the service.
func (m *Machine) Waiting(service string) int {
	if q := m.queues[service]; q != nil {
		return q.Len()
	}
	return 0
}
