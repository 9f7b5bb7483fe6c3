package replicator

import (
	"math"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from  storer.Identity
	term  uint64
	index uint64
	data  []byte
}

// compact stores a snapshot of the Applier and drops the log before it, except for the entries
// kept for slow replicas.
func (m *Machine) compact(in SnapshotTaken) {
	m.snapshotDue = false
	term, ok := m.log.term(in.Index)
	if in.Err != nil || !ok || in.Index > m.commitIndex || (m.snapshot != nil && in.Index <= m.snapshot.Index) {
		return
	}
	at := m.memberships[0]
	for _, later := range m.memberships {
		if later.index <= in.Index {
			at = later
		}
	}
	m.snapshot = &storer.Snapshot{
		Index: in.Index, Term: term, MembershipIndex: at.index, Membership: at.membership, Data: in.Data,
	}
	m.bytesSinceSnapshot = sizeOf(m.log.slice(in.Index+1, m.commitIndex, math.MaxInt))
	before := m.log.base()
	if keep := uint64(m.settings.KeepEntries); in.Index > keep {
		before = max(before, in.Index-keep)
	}
	before = m.log.firstWithin(before, in.Index, m.settings.SnapshotBytes)
	m.log.compact(before)
	for len(m.memberships) > 1 && m.memberships[1].index <= in.Index {
		m.memberships = m.memberships[1:]
	}
	m.emit(SaveSnapshot{Snapshot: m.snapshot, CompactBefore: before})
}

// sendSnapshot sends the next chunk of a snapshot, or a heartbeat without data if the window is full
// or the chunk was sent and may still arrive. Newer snapshots do not replace the snapshot until the
// replica has received it completely.
func (m *Machine) sendSnapshot(to storer.Member, p *progress, isFull bool) {
	if p.sendingSnapshot == nil {
		p.sendingSnapshot, p.offset, p.isChunkSent = m.snapshot, 0, false
		m.counts.SnapshotsSent++
	}
	s := p.sendingSnapshot
	end := p.offset
	if isInTransit := p.isChunkSent && p.chunkSentAt >= m.activeSince(); !isFull && !isInTransit {
		end = min(p.offset+uint64(m.settings.MaxAppendBytes), uint64(len(s.Data)))
		p.isChunkSent, p.chunkSentAt = true, m.clock()
	}
	p.window.add(m.clock(), int(end-p.offset), isFull)
	header := *s
	header.Data = nil
	m.sendEarly(to, &SnapshotRequest{
		Term: m.term, Round: m.leaderState.round, SentAt: m.clock(), Header: header,
		Offset: p.offset, Total: uint64(len(s.Data)), Data: s.Data[p.offset:end],
	})
}

func (m *Machine) handleSnapshotRequest(from storer.Identity, req *SnapshotRequest) {
	resp := &SnapshotResponse{Echo: m.echo(req.Round, req.SentAt), Index: req.Header.Index}
	if m.followLeader(from, req.Term) {
		resp.Offset, resp.Done = m.acceptSnapshot(from, req)
	}
	resp.Term = m.term
	switch {
	case m.isSaveOverdue():
	case m.isTermStored() && !resp.Done:
		m.sendEarly(m.recipient(from), resp)
	default:
		m.send(from, resp)
	}
}

// acceptSnapshot adds a chunk to the incoming snapshot and installs it once it is complete. It
// returns the number of bytes received, and whether this replica has the state of the
// snapshot.
func (m *Machine) acceptSnapshot(from storer.Identity, req *SnapshotRequest) (uint64, bool) {
	if req.Header.Index <= m.commitIndex {
		return 0, true
	}
	if term, ok := m.log.term(req.Header.Index); ok && term == req.Header.Term {
		m.commitTo(req.Header.Index)
		return 0, true
	}
	in := &m.incoming
	if in.from != from || in.term != req.Term || in.index != req.Header.Index {
		*in = incomingSnapshot{from: from, term: req.Term, index: req.Header.Index}
	}
	if req.Offset == uint64(len(in.data)) {
		in.data = append(in.data, req.Data...)
	}
	if uint64(len(in.data)) < req.Total {
		return uint64(len(in.data)), false
	}
	snapshot := req.Header
	snapshot.Data = in.data
	m.installSnapshot(&snapshot)
	return req.Total, true
}

func (m *Machine) installSnapshot(snapshot *storer.Snapshot) {
	m.incoming = incomingSnapshot{}
	m.snapshot, m.snapshotDue, m.bytesSinceSnapshot = snapshot, false, 0
	m.log.reset(snapshot.Index, snapshot.Term)
	m.saving.limitIndex(0)
	m.memberships = []indexedMembership{{index: snapshot.MembershipIndex, membership: snapshot.Membership}}
	m.commitIndex, m.restoreDue = snapshot.Index, true
	m.counts.SnapshotsInstalled++
	m.emit(SaveSnapshot{Snapshot: snapshot, Reset: true})
}

func (m *Machine) handleSnapshotResponse(from storer.Identity, resp *SnapshotResponse) {
	p := m.recordResponse(from, resp.Term, resp.Echo)
	if p == nil || p.sendingSnapshot == nil || resp.Index != p.sendingSnapshot.Index {
		return
	}
	p.window.forget(resp.Echo.SentAt)
	progressed := resp.Offset > p.offset
	// A replica that answers a later request without the chunk has not received it.
	p.isChunkSent = p.isChunkSent && !progressed && resp.Echo.SentAt <= p.chunkSentAt
	p.offset = min(resp.Offset, uint64(len(p.sendingSnapshot.Data)))
	if resp.Done {
		p.sendingSnapshot, progressed = nil, true
		p.matchIndex = max(p.matchIndex, resp.Index)
		p.nextIndex = p.matchIndex + 1
		m.advanceCommit()
	}
	m.confirmReads()
	if member, ok := m.membership().Get(from); ok && (progressed || p.isBroadcastDue) && m.role == RoleLeader {
		m.sendAppend(member, p)
	}
}

// needsSnapshot reports whether a restart would have to apply more entries since the last
// snapshot than the settings allow.
func (m *Machine) needsSnapshot() bool {
	snapshotIndex := uint64(0)
	if m.snapshot != nil {
		snapshotIndex = m.snapshot.Index
	}
	return m.commitIndex-snapshotIndex >= uint64(m.settings.SnapshotEntries) ||
		m.settings.SnapshotBytes > 0 && m.bytesSinceSnapshot >= m.settings.SnapshotBytes
}
