package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
)

// probe is a probe that has not been acknowledged yet.
type probe struct {
	sequence uint64
	target   string
	sentAt   time.Time
	indirect bool
	// repeated marks a probe of a member that is already suspect. Its failure has no
	// effect.
	repeated bool
}

// relay is a probe that was sent on behalf of another entry.
type relay struct {
	to       netip.AddrPort
	sequence uint64
	until    time.Time
}

func (m *Machine) probeNext(r *ring) {
	if p := r.take(m.random); p != nil {
		m.probe(p, false)
	}
}

func (m *Machine) probe(p *member, repeated bool) {
	m.counts.ProbesSent++
	seq := m.nextSequence()
	m.probes = append(m.probes, &probe{sequence: seq, target: p.Name, sentAt: m.now, repeated: repeated})
	m.send(p.Name, p.Address, messenger.Probe{Sequence: seq, Address: m.self.Address})
}

func (m *Machine) checkProbes() {
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool {
		target := m.members[p.target]
		if target == nil || !target.isLive() {
			return true
		}
		if age := m.now.Sub(p.sentAt); age >= probeTimeout {
			m.failProbe(target, p)
			return true
		} else if age >= indirectAfter && !p.indirect && !p.repeated {
			p.indirect = true
			m.probeIndirectly(target, p.sequence)
		}
		return false
	})
	for seq, r := range m.relays {
		if m.now.After(r.until) {
			delete(m.relays, seq)
		}
	}
}

// probeIndirectly asks peers to probe the target. It prefers peers of this data centre
// if the target is in it, and peers of other data centres otherwise.
func (m *Machine) probeIndirectly(target *member, sequence uint64) {
	first, second := &m.localProbeRing, &m.remoteProbeRing
	if target.DataCentre != m.self.DataCentre {
		first, second = second, first
	}
	peers := first.sample(indirectPeers, target.Name, m.random)
	peers = append(peers, second.sample(indirectPeers-len(peers), target.Name, m.random)...)
	for _, p := range peers {
		m.send(p.Name, p.Address, messenger.IndirectProbe{Sequence: sequence, Target: target.Name, Address: target.Address})
	}
}

func (m *Machine) failProbe(target *member, p *probe) {
	if p.repeated {
		return
	}
	m.counts.ProbesFailed++
	if target.State != messenger.MemberAlive {
		return
	}
	m.counts.Suspicions++
	suspect := target.Member
	suspect.State = messenger.MemberSuspect
	m.setMember(target, suspect)
	target.suspectUntil = m.now.Add(suspectTimeout)
	target.probeAt = m.now
}

// checkSuspects probes the members that this entry suspects again, which tells them of
// the suspicion. It declares suspects dead when their timeout has passed.
func (m *Machine) checkSuspects() {
	for _, r := range []*ring{&m.localProbeRing, &m.remoteProbeRing} {
		for _, p := range slices.Clone(r.members) {
			if p.State != messenger.MemberSuspect {
				continue
			}
			if !m.now.Before(p.suspectUntil) {
				m.counts.Deaths++
				dead := p.Member
				dead.State = messenger.MemberDead
				m.setMember(p, dead)
			} else if !p.probeAt.IsZero() && !m.now.Before(p.probeAt) {
				p.probeAt = m.now.Add(suspectProbePeriod)
				m.probe(p, true)
			}
		}
	}
}

func (m *Machine) receive(in Received) {
	if in.Envelope.From == m.self.Name {
		return
	}
	sender, before := m.members[in.Envelope.From], messenger.MemberDead
	if sender != nil {
		before = sender.State
	}
	for _, msg := range in.Envelope.Messages {
		m.handle(in.Envelope.From, msg)
	}
	if sender != nil && before == messenger.MemberDead && sender.isLive() {
		// The sender was on the other side of a network partition: both sides have
		// missed changes.
		m.sendRoots(sender.Address)
	}
}

func (m *Machine) handle(from string, msg messenger.Message) {
	switch msg := msg.(type) {
	case messenger.Probe:
		m.answerProbe(from, msg)
	case messenger.ProbeAck:
		m.acceptAck(from, msg.Sequence)
	case messenger.IndirectProbe:
		m.relayProbe(from, msg)
	case messenger.Rumours:
		m.acceptRumours(from, msg)
	case messenger.Join:
		m.answerJoin(msg)
	case messenger.SyncRoots:
		m.answerRoots(msg)
	case messenger.SyncBuckets:
		m.answerBuckets(from, msg)
	case messenger.SyncPull:
		m.answerPull(from, msg)
	case messenger.SyncItems:
		m.acceptItems(from, msg)
	case messenger.Summary:
		m.acceptSummary(msg)
	}
}

func (m *Machine) answerProbe(from string, msg messenger.Probe) {
	if !msg.Address.IsValid() {
		return
	}
	if m.left {
		// Acknowledged so that the peer learns that this entry is leaving.
		m.send(from, msg.Address, messenger.ProbeAck{Sequence: msg.Sequence})
		return
	}
	if m.members[from] == nil {
		m.counts.UnknownSenders++
		m.sendRoots(msg.Address)
	}
	if p := m.members[from]; p != nil && p.Address != msg.Address {
		// Another process has taken over the sender's name.
		m.sendWithoutRumours(msg.Address, messenger.Rumours{Version: m.version, Members: []messenger.Member{p.rumour()}})
		return
	}
	m.send(from, msg.Address, messenger.ProbeAck{Sequence: msg.Sequence})
}

func (m *Machine) relayProbe(from string, msg messenger.IndirectProbe) {
	requester := m.members[from]
	if requester == nil || !msg.Address.IsValid() {
		return
	}
	seq := m.nextSequence()
	m.relays[seq] = relay{to: requester.Address, sequence: msg.Sequence, until: m.now.Add(probeTimeout)}
	m.send(msg.Target, msg.Address, messenger.Probe{Sequence: seq, Address: m.self.Address})
}

func (m *Machine) acceptAck(from string, sequence uint64) {
	if r, ok := m.relays[sequence]; ok {
		delete(m.relays, sequence)
		m.send("", r.to, messenger.ProbeAck{Sequence: r.sequence})
		return
	}
	m.probes = slices.DeleteFunc(m.probes, func(p *probe) bool { return p.sequence == sequence })
	m.ready.addAnswer(from)
}

func (m *Machine) acceptRumours(from string, msg messenger.Rumours) {
	for _, received := range msg.Members {
		m.mergeMember(received)
	}
	for _, record := range msg.Records {
		m.mergeRecord(record, sourceRumour)
	}
	m.acceptVersion(from, msg.Version)
	if msg.Version == m.version {
		m.acceptConfirmationAge(msg.AgeSeconds)
	}
}

func (m *Machine) acceptVersion(from string, version uint64) {
	sender := m.members[from]
	switch {
	case sender == nil:
	case version > m.version:
		m.emit(NewerVersionReported{Version: version, From: sender.Address})
	case version == m.version:
		m.rumours.countReceived(versionKey)
	}
	m.ready.addVersion(version)
}
