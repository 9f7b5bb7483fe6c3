package placer

import (
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Input is an event for a Machine.
type Input interface{ isInput() }

// Member is an entry of the region.
type Member struct {
	Name       string
	DataCentre string
}

type (
	// RecordsChanged states which backend server records are new or changed, and which have been
	// removed.
	RecordsChanged struct {
		Changed []announcer.Record
		Removed []announcer.ID
	}

	// MembersChanged lists all live entries of the region except those that are leaving. It makes
	// no difference whether the list includes the receiver.
	MembersChanged struct{ Members []Member }

	// CatalogChanged states the configuration in force.
	CatalogChanged struct{ Catalog cataloger.Catalog }

	// ViewSynchronized states that the view has been compared with that of a peer since the start, or
	// since the Machine reported EventFrozen.
	ViewSynchronized struct{}

	// MessageReceived carries a message from another entry.
	MessageReceived struct {
		From    string
		Message messenger.Message
	}

	// Tick advances the time. It is due every 20 ms; queries and batches are sent on ticks.
	Tick struct{}

	// Leave starts a planned stop. LeaveCompleted follows.
	Leave struct{}
)

func (RecordsChanged) isInput()   {}
func (MembersChanged) isInput()   {}
func (CatalogChanged) isInput()   {}
func (ViewSynchronized) isInput() {}
func (MessageReceived) isInput()  {}
func (Tick) isInput()             {}
func (Leave) isInput()            {}

// Output is an effect that a Machine requests.
type Output interface{ isOutput() }

// Event is a change of state.
type Event string

// Events.
const (
	EventReady           Event = "entry is ready to own flows"
	EventFrozen          Event = "clock jumped; relaying until the state is current"
	EventContested       Event = "buckets are contested"
	EventActivated       Event = "table is active"
	EventDigestsComplete Event = "all digests are known"
	EventSettled         Event = "buckets are settled"
)

type (
	// SendMessage requests that a message is sent to another entry.
	SendMessage struct {
		To      string
		Message messenger.Message
	}

	// PacketReleased states the decision about a held packet.
	PacketReleased struct {
		Ticket   uint32
		Decision Decision
	}

	// StateChanged reports a change of state for the log.
	StateChanged struct {
		Event Event
		// Service is the name of the service, or empty.
		Service string
		// Buckets is the number of buckets concerned.
		Buckets int
	}

	// LeaveCompleted states that the hand-over has ended: it is complete or has timed out.
	LeaveCompleted struct{}
)

func (SendMessage) isOutput()    {}
func (PacketReleased) isOutput() {}
func (StateChanged) isOutput()   {}
func (LeaveCompleted) isOutput() {}

// Step processes an input and returns its effects.
func (m *Machine) Step(now time.Time, input Input) []Output {
	m.advanceClock(now)
	switch in := input.(type) {
	case RecordsChanged:
		m.applyRecords(in)
	case MembersChanged:
		m.applyMembers(in.Members)
	case CatalogChanged:
		m.applyCatalog(in.Catalog)
	case ViewSynchronized:
		m.hasView = true
	case MessageReceived:
		m.receive(in.From, in.Message)
	case Tick:
		m.tick()
	case Leave:
		m.leave()
	}
	outputs := m.outputs
	m.outputs = nil
	return outputs
}

func (m *Machine) emit(output Output) { m.outputs = append(m.outputs, output) }

func (m *Machine) send(to uint16, message messenger.Message) {
	m.emit(SendMessage{To: m.entries[to].name, Message: message})
}

func (m *Machine) receive(name string, message messenger.Message) {
	from, ok := m.entryByName[name]
	if !ok || !m.entries[from].isLive || from == self {
		// Only live members take part. A sender that is not known yet retransmits.
		return
	}
	m.entries[from].silentSince = time.Time{}
	switch msg := message.(type) {
	case messenger.Placements:
		m.receivePlacements(from, msg)
	case messenger.PlacementsAck:
		delete(m.leaving.unacknowledged, msg.Sequence)
	case messenger.FlowQuery:
		m.answerQuery(from, msg)
	case messenger.FlowAnswer:
		m.receiveAnswer(from, msg)
	case messenger.Digest:
		m.receiveDigest(from, msg)
	case messenger.DigestAck:
		m.receiveDigestAck(from, msg)
	case messenger.Readiness:
		m.receiveReadiness(from, msg)
	}
}

// sweepTicks is the number of ticks in which the whole cache is swept: 3 s.
const sweepTicks = 150

func (m *Machine) tick() {
	m.cache.Sweep(m.cache.Size()/sweepTicks+1, m.sec)
	m.advanceStart()
	for _, svc := range m.services {
		m.activateIfDue(svc)
		m.advanceRound(svc)
	}
	m.expireExceptions()
	m.expireQueries()
	m.sendQueries()
	m.sendPlacements()
	m.sendDigests()
	m.advanceLeave()
}
