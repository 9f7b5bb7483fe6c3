package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// bucketState determines how an entry treats unknown flows of a bucket.
type bucketState uint8

const (
	// settled: the table determines the target, except for flows listed in digests.
	settled bucketState = iota
	// informed: as settled, but the owner still places new TCP flows, because other entries may not
	// have all digests.
	informed
	// contested: the owner decides.
	contested
)

// maxFormerTargets bounds the former targets kept for each bucket. With more than one, the owner
// queries all peers about an unknown flow, so that the others are only a fallback.
const maxFormerTargets = 3

type bucket struct {
	state         bucketState
	formerTargets [maxFormerTargets]uint32
}

// contest marks a bucket as contested, so that its owner decides about unknown flows. The former
// targets are kept only while the bucket stays contested: after that, digests list all flows on
// them.
func (b *bucket) contest() {
	if b.state != contested {
		*b = bucket{state: contested}
	}
}

func (b *bucket) addFormerTarget(target uint32) {
	if target == 0 || slices.Contains(b.formerTargets[:], target) {
		return
	}
	// The newest former target is first.
	copy(b.formerTargets[1:], b.formerTargets[:maxFormerTargets-1])
	b.formerTargets[0] = target
}

// queryAllOwnerChanges is the number of owner changes from which on an owner queries all peers
// about unknown flows. After one change it queries the previous owner only.
const queryAllOwnerChanges = 2

type service struct {
	name         string
	hash         uint64
	index        uint16
	isConfigured bool
	scope        cataloger.SprayScope
	backends     []uint32
	// members are the live entries of the domain without this entry. owners are the entries that
	// may own flows. Both are ordered by name.
	members []uint16
	owners  []uint16
	// active is the table in use and latest the newest one, which may be pending.
	active, latest         *allocator.Table
	activeView, latestView uint64
	// activateAt is when latest becomes active. pendingSince is when the first change arrived that
	// is not active yet. Both are zero if none is pending.
	activateAt, pendingSince time.Time
	buckets                  [allocator.Buckets]bucket
	exceptions               map[uint64]exception
	round                    round
	// ownerChanges counts the changes of owners since the buckets were settled.
	ownerChanges int
}

func (svc *service) countContested() int {
	n := 0
	for i := range svc.buckets {
		if svc.buckets[i].state != settled {
			n++
		}
	}
	return n
}

func (m *Machine) applyCatalog(catalog cataloger.Catalog) {
	m.catalog = catalog
	for _, svc := range m.services {
		svc.isConfigured = false
	}
	for _, declared := range catalog.Services {
		if declared.Kind != cataloger.KindFlow {
			continue
		}
		svc := m.internService(declared.Name)
		svc.isConfigured = true
		svc.scope = declared.SprayScope
	}
	for i := range m.backends {
		m.backends[i].isTakenOut = m.backends[i].isPresent && catalog.IsTakenOut(m.backends[i].record.DataCentre)
	}
	for _, svc := range m.services {
		m.updateOwners(svc)
		m.updateView(svc)
	}
}

func (m *Machine) internService(name string) *service {
	if i, ok := m.serviceByName[name]; ok {
		return m.services[i]
	}
	svc := &service{
		name: name, hash: hasher.String(name), index: uint16(len(m.services)),
		active: &allocator.Table{}, latest: &allocator.Table{},
		exceptions: make(map[uint64]exception),
	}
	m.services = append(m.services, svc)
	m.serviceByName[name] = svc.index
	return svc
}

func (m *Machine) applyRecords(in RecordsChanged) {
	changed := make(map[uint16]bool)
	for _, record := range in.Changed {
		changed[m.applyRecord(record)] = true
	}
	for _, id := range in.Removed {
		i, ok := m.backendByID[id]
		if !ok || !m.backends[i].isPresent {
			continue
		}
		m.backends[i].isPresent = false
		m.cache.DeleteTarget(i)
		svc := m.services[m.backends[i].service]
		svc.backends = slices.DeleteFunc(svc.backends, func(b uint32) bool { return b == i })
		changed[svc.index] = true
	}
	for _, svc := range m.services {
		if changed[svc.index] {
			m.updateView(svc)
		}
	}
}

func (m *Machine) applyRecord(record announcer.Record) uint16 {
	svc := m.internService(record.Service)
	hash := hashBackend(record.ID)
	i, ok := m.backendByHash[hash]
	if !ok {
		i = m.addBackend(hash)
	}
	b := &m.backends[i]
	b.id, b.service, b.record = record.ID, svc.index, record
	b.isTakenOut = m.catalog.IsTakenOut(record.DataCentre)
	m.backendByID[record.ID] = i
	if !b.isPresent {
		b.isPresent = true
		svc.backends = append(svc.backends, i)
	}
	return svc.index
}

// weighBackends returns the backend servers of a service with their weights, and a hash of both
// that is equal at all entries with the same view.
func (m *Machine) weighBackends(svc *service) ([]allocator.Backend, uint64) {
	candidates := make([]allocator.Candidate, 0, len(svc.backends))
	for _, i := range svc.backends {
		b := &m.backends[i]
		candidates = append(candidates, allocator.Candidate{
			Index: i, Hash: b.hash, Record: b.record,
			IsExcluded: b.isTakenOut || m.catalog.IsDrained(b.id),
		})
	}
	slices.SortFunc(candidates, func(a, b allocator.Candidate) int { return cmp.Compare(a.Hash, b.Hash) })
	for _, c := range candidates {
		m.backends[c.Index].weight = allocator.Weight(c)
	}
	var weighed []allocator.Backend
	if svc.scope == cataloger.SprayDataCentre {
		weighed = allocator.WeighDataCentre(candidates, m.config.DataCentre)
	} else {
		weighed = allocator.WeighRegion(candidates)
	}
	view := svc.hash
	for _, b := range weighed {
		if b.Weight > 0 {
			view = hasher.Pair(view, hasher.Pair(b.Hash, b.Weight))
		}
	}
	return weighed, view
}

// maxActivationDelays bounds how long further changes may postpone the activation of a table, in
// multiples of Config.ActivationDelay.
const maxActivationDelays = 4

// updateView computes the newest table of a service. The buckets that it moves are contested from
// now on, and it becomes active after Config.ActivationDelay. A further change restarts the delay:
// other entries may receive both changes at once or in the opposite order, so no entry may use the
// table with only the first one.
func (m *Machine) updateView(svc *service) {
	if m.mode == modeStarting && !m.start.hasRequestedTransfer {
		m.start.viewChangedAt = m.now
		// beginTransfer computes the table once, when the view is current.
		return
	}
	weighed, view := m.weighBackends(svc)
	if view == svc.latestView {
		return
	}
	if svc.countContested() == 0 {
		svc.ownerChanges = 0
	}
	table := allocator.Build(weighed)
	moved := 0
	for i := range table {
		if table[i] != svc.latest[i] {
			svc.buckets[i].contest()
			moved++
		}
	}
	svc.latest, svc.latestView = table, view
	if svc.pendingSince.IsZero() {
		svc.pendingSince = m.now
	}
	svc.activateAt = m.now.Add(m.config.ActivationDelay)
	if latest := svc.pendingSince.Add(maxActivationDelays * m.config.ActivationDelay); latest.Before(svc.activateAt) {
		svc.activateAt = latest
	}
	m.cancelRound(svc)
	if moved > 0 {
		m.emit(StateChanged{Event: EventContested, Service: svc.name, Buckets: moved})
		m.reportRecentSYNs(svc)
	}
}

// recentSYNSeconds is the age up to which a flow of which only a SYN was seen is reported to its
// owner. It covers the first two retransmissions, 1 s and 3 s after the SYN (RFC 6298).
const recentSYNSeconds = 4

// reportRecentSYNs tells the owners which half-open flows this entry has placed. An owner that does
// not know such a flow would place a retransmitted SYN on a new target.
func (m *Machine) reportRecentSYNs(svc *service) {
	m.cache.Each(m.sec, func(cached *tracker.Flow) {
		if m.backends[cached.Target].service == svc.index && cached.Has(tracker.FlagOnlySYN) && !cached.Has(tracker.FlagCopied) && m.sec-cached.LastSeen <= recentSYNSeconds &&
			svc.buckets[allocator.Bucket(cached.Fingerprint)].state == contested {
			if owner := m.owner(svc, cached.Fingerprint); owner != self && owner != noEntry {
				m.queue(&m.entries[owner].copies, owner, toPlacement(cached))
				// The owner must know the flow before its table becomes active.
				m.entries[owner].queuedAt = time.Time{}
			}
		}
	})
}

// activateIfDue activates the newest table when its activation delay is over.
func (m *Machine) activateIfDue(svc *service) {
	if svc.isPending() && !svc.activateAt.After(m.now) {
		m.activate(svc)
		m.scheduleRound(svc)
	}
}

func (svc *service) isPending() bool { return !svc.pendingSince.IsZero() }

func (m *Machine) activate(svc *service) {
	svc.activateAt, svc.pendingSince = time.Time{}, time.Time{}
	moved := 0
	for i := range svc.latest {
		if svc.latest[i] != svc.active[i] {
			svc.buckets[i].contest()
			svc.buckets[i].addFormerTarget(svc.active[i])
			moved++
		}
	}
	svc.active, svc.activeView = svc.latest, svc.latestView
	svc.round.receivedVersion = 0
	m.emit(StateChanged{Event: EventActivated, Service: svc.name, Buckets: moved})
}

// target returns the backend server of a bucket in the active table. If that one has been removed
// or taken out, it returns the one in the newest table, or 0.
func (m *Machine) target(svc *service, b uint16) uint32 {
	if t := svc.active[b]; m.isUsable(t, svc.index) {
		return t
	}
	if t := svc.latest[b]; m.isUsable(t, svc.index) {
		return t
	}
	return 0
}

func (m *Machine) applyMembers(members []Member) {
	wasLive := make([]bool, len(m.entries))
	for i := range m.entries {
		wasLive[i] = m.entries[i].isLive
		m.entries[i].isLive = uint16(i) == self
	}
	for _, member := range members {
		i := m.internEntry(member)
		m.entries[i].isLive = true
		if i != self && (int(i) >= len(wasLive) || !wasLive[i]) {
			m.entries[i].readinessRequestedAt = time.Time{}
		}
	}
	for i := range m.entries {
		if !m.entries[i].isLive {
			m.forgetEntry(uint16(i))
		}
	}
	m.start.hasMembers = true
	m.updateAllOwners()
}

func (m *Machine) updateAllOwners() {
	for _, svc := range m.services {
		m.updateOwners(svc)
	}
}

// updateOwners recomputes the members and owners of a service.
func (m *Machine) updateOwners(svc *service) {
	var members, owners []uint16
	for i := range m.entries {
		e := &m.entries[i]
		if !e.isLive || (svc.scope == cataloger.SprayDataCentre && e.dataCentre != m.config.DataCentre) {
			continue
		}
		if uint16(i) != self {
			members = append(members, uint16(i))
		}
		if e.isReady {
			owners = append(owners, uint16(i))
		}
	}
	byName := func(a, b uint16) int { return cmp.Compare(m.entries[a].name, m.entries[b].name) }
	slices.SortFunc(members, byName)
	slices.SortFunc(owners, byName)
	svc.members = members
	if slices.Equal(owners, svc.owners) {
		return
	}
	svc.owners = owners
	m.cancelRound(svc)
	if svc.countContested() > 0 {
		svc.ownerChanges++
		m.scheduleRound(svc)
	}
}

// flowKeyMask clears the bits of a flow hash that digests do not carry, so that a flow and its
// digest item have the same owner.
const flowKeyMask = 0xFFFFFFFF00000FFF

// owner returns the first owner of a flow in rendezvous order, or noEntry.
func (m *Machine) owner(svc *service, flow uint64) uint16 { return m.ownerExcept(svc, flow, noEntry) }

// ownerExcept returns the first owner of a flow that is not the excluded entry, or noEntry.
func (m *Machine) ownerExcept(svc *service, flow uint64, excluded uint16) uint16 {
	best, bestScore := noEntry, uint64(0)
	for _, i := range svc.owners {
		if i == excluded {
			continue
		}
		if s := hasher.Pair(m.entries[i].hash, flow&flowKeyMask); best == noEntry || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
