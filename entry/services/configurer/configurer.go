// Package configurer decides where an entry gets its configuration from and when it may
// report ready. The representatives of each data centre, its first live entries in
// rendezvous order, poll control (see [gossiper.IsRepresentative]); the other entries
// fetch from the peer that reported a newer version. The package has no sockets, goroutines or clock; see [Machine.Step].
package configurer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

const (
	// PollWait is how long control may hold a poll open. It is short, so that a silent
	// connection costs little time.
	PollWait = 2 * time.Second
	// PollTimeout bounds a poll.
	PollTimeout = PollWait + time.Second
	// FetchTimeout bounds a fetch from a peer.
	FetchTimeout = 2 * time.Second

	pollRetry = 500 * time.Millisecond
	// fetchHedgeDelay is how long a fetch may take before a second peer is asked.
	fetchHedgeDelay = 300 * time.Millisecond
	maxFetches      = 2
)

// Settings configure a Machine.
type Settings struct {
	Name       string
	DataCentre string
	Region     string
	// Control are the gRPC addresses of the control replicas.
	Control []netip.AddrPort
}

// Counts are the counters of a Machine.
type Counts struct {
	Polls, PollFailures, Fetches, FetchFailures, Changes, OldVersions uint64
}

// Machine holds the newest configuration of one entry. It is not safe for
// concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand
	now      time.Time
	catalog  *cataloger.Catalog
	// majorityVersion is the newest version among those that a majority has reported.
	// It counts while hasMajority is set.
	majorityVersion uint64
	hasMajority     bool
	ready           bool

	isRepresentative bool
	polling          bool
	controlIndex     int
	pollAt           time.Time

	// fetches holds the start of the pending fetch from each peer.
	fetches map[netip.AddrPort]time.Time
	// reportedVersion is the newest version that a peer has reported. reporter is a
	// peer that holds it, or invalid if there is none to ask.
	reportedVersion uint64
	reporter        netip.AddrPort

	counts  Counts
	outputs []Output
}

// New returns a Machine that starts at now.
func New(settings Settings, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{settings: settings, random: random, now: now, fetches: make(map[netip.AddrPort]time.Time)}
	if n := len(settings.Control); n > 0 {
		m.controlIndex = random.IntN(n)
	}
	return m
}

// Step processes one input at the time now, which must not go backwards. It returns the
// actions to take and the changes to report.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if now.After(m.now) {
		m.now = now
	}
	m.outputs = nil
	switch in := input.(type) {
	case Tick:
	case MembersChanged:
		m.isRepresentative = gossiper.IsRepresentative(m.settings.Name, m.settings.DataCentre, in.Members)
	case VersionReported:
		m.acceptVersion(in)
	case MajorityReported:
		m.hasMajority, m.majorityVersion = true, max(m.majorityVersion, in.Version)
	case Resumed:
		m.hasMajority, m.ready = false, false
	case Polled:
		m.acceptPoll(in)
	case Fetched:
		m.acceptFetch(in)
	}
	m.poll()
	m.fetch()
	m.checkReady()
	return m.outputs
}

// Catalog returns the newest configuration, or nil if there is none yet.
func (m *Machine) Catalog() *cataloger.Catalog { return m.catalog }

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

func (m *Machine) emit(out Output) { m.outputs = append(m.outputs, out) }

// Version returns the version held, 0 for none.
func (m *Machine) Version() uint64 {
	if m.catalog == nil {
		return 0
	}
	return m.catalog.Version
}

// accept takes over the catalog if it is newer. Versions never go back.
func (m *Machine) accept(c *cataloger.Catalog) {
	if c == nil {
		return
	}
	if c.Version <= m.Version() {
		m.counts.OldVersions++
		return
	}
	m.counts.Changes++
	m.catalog = c
	m.emit(CatalogChanged{Catalog: c, OtherRegions: m.otherRegionEntries(c)})
}

// otherRegionEntries returns the gRPC addresses of the entries of other regions.
func (m *Machine) otherRegionEntries(c *cataloger.Catalog) []netip.AddrPort {
	regions := make(map[string]string, len(c.DataCentres))
	for _, d := range c.DataCentres {
		regions[d.Name] = d.Region
	}
	var remotes []netip.AddrPort
	for _, e := range c.Entries {
		if region := regions[e.DataCentre]; region != "" && region != m.settings.Region && e.Address.IsValid() {
			remotes = append(remotes, e.Address)
		}
	}
	return remotes
}

// poll requests a poll of control. At most one is pending at a time.
func (m *Machine) poll() {
	if !m.isRepresentative || m.polling || len(m.settings.Control) == 0 || m.now.Before(m.pollAt) {
		return
	}
	m.polling = true
	m.counts.Polls++
	m.emit(Poll{Address: m.settings.Control[m.controlIndex], Known: m.Version()})
}

func (m *Machine) acceptPoll(in Polled) {
	m.polling = false
	if in.Failed {
		m.counts.PollFailures++
		m.controlIndex = (m.controlIndex + 1) % len(m.settings.Control)
		m.pollAt = m.now.Add(pollRetry + time.Duration(m.random.Int64N(int64(pollRetry))))
		return
	}
	m.accept(in.Catalog)
	if in.Catalog == nil || in.Catalog.Version == m.Version() {
		m.emit(Confirmed{})
	}
}

func (m *Machine) acceptVersion(in VersionReported) {
	_, isAsked := m.fetches[m.reporter]
	if in.Version > m.reportedVersion || (in.Version == m.reportedVersion && (isAsked || !m.reporter.IsValid())) {
		m.reportedVersion, m.reporter = in.Version, in.From
	}
}

// fetch asks the peer that reported the newest version. If the answer is late, a second
// peer is asked, because the first may have died.
func (m *Machine) fetch() {
	if m.reportedVersion <= m.Version() || !m.reporter.IsValid() || len(m.fetches) >= maxFetches {
		return
	}
	for peer, since := range m.fetches {
		if peer == m.reporter || m.now.Sub(since) < fetchHedgeDelay {
			return
		}
	}
	m.fetches[m.reporter] = m.now
	m.counts.Fetches++
	m.emit(Fetch{Address: m.reporter, Known: m.Version()})
}

func (m *Machine) acceptFetch(in Fetched) {
	delete(m.fetches, in.Address)
	if in.Failed || in.Catalog == nil || in.Catalog.Version <= m.Version() {
		m.counts.FetchFailures++
		if in.Address == m.reporter {
			m.reporter = netip.AddrPort{} // The next peer that reports the version is asked.
		}
		return
	}
	m.accept(in.Catalog)
}

// checkReady reports ready once the catalog is as new as the version that a majority of
// the reachable entries has reported.
func (m *Machine) checkReady() {
	if m.ready || !m.hasMajority || m.catalog == nil || m.Version() < m.majorityVersion {
		return
	}
	m.ready = true
	m.emit(Ready{})
}

// Input is an event that a Machine processes.
type Input interface{ isInput() }

// Tick advances the time.
type Tick struct{}

// MembersChanged carries the live entries of the region.
type MembersChanged struct{ Members []messenger.Member }

// VersionReported reports a version that a peer holds.
type VersionReported struct {
	Version uint64
	From    netip.AddrPort
}

// MajorityReported carries the newest version among those that a majority of the reachable
// entries has reported.
type MajorityReported struct{ Version uint64 }

// Resumed reports that the process did not run for a while.
type Resumed struct{}

// Polled is the result of a Poll. Catalog is nil if control has no newer one.
type Polled struct {
	Catalog *cataloger.Catalog
	Failed  bool
}

// Fetched is the result of a Fetch. Catalog is nil if the peer has no newer one.
type Fetched struct {
	Address netip.AddrPort
	Catalog *cataloger.Catalog
	Failed  bool
}

func (Tick) isInput()             {}
func (MembersChanged) isInput()   {}
func (VersionReported) isInput()  {}
func (MajorityReported) isInput() {}
func (Resumed) isInput()          {}
func (Polled) isInput()           {}
func (Fetched) isInput()          {}

// Output is an action that a Machine requests or a change that it reports.
type Output interface{ isOutput() }

// Poll requests a call to control that waits up to PollWait.
type Poll struct {
	Address netip.AddrPort
	Known   uint64
}

// Fetch requests the catalog of a peer.
type Fetch struct {
	Address netip.AddrPort
	Known   uint64
}

// CatalogChanged carries a newer catalog.
type CatalogChanged struct {
	Catalog *cataloger.Catalog
	// OtherRegions are the gRPC addresses of the entries of other regions.
	OtherRegions []netip.AddrPort
}

// Confirmed reports that control has no newer version than the one held.
type Confirmed struct{}

// Ready reports that the configuration is current as far as this entry can know.
type Ready struct{}

func (Poll) isOutput()           {}
func (Fetch) isOutput()          {}
func (CatalogChanged) isOutput() {}
func (Confirmed) isOutput()      {}
func (Ready) isOutput()          {}
