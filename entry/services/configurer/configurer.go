// Package configurer decides where an entry gets its configuration from and when
// it may report ready. The first entries of each data centre poll control; the
// others fetch from the peer that told them of a version. It has no sockets,
// goroutines or clock; see [Machine.Step].
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
	// PollWait is how long control may hold back the answer to a poll. It is
	// short, so that a connection that has gone silent costs little.
	PollWait = 2 * time.Second
	// PollTimeout bounds a poll.
	PollTimeout = PollWait + time.Second
	// FetchTimeout bounds a fetch from a peer.
	FetchTimeout = 2 * time.Second

	pollRetry = 500 * time.Millisecond
	// fetchPatience is how late an answer may be before a second peer is asked.
	fetchPatience = 300 * time.Millisecond
	maxFetches    = 2
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
	// required is the version that a majority has told, set by majority.
	required uint64
	majority bool
	ready    bool

	speaker bool
	polling bool
	control int
	pollAt  time.Time

	// fetches holds the peers asked and when.
	fetches map[netip.AddrPort]time.Time
	// told is the newest version heard of and a peer that holds it.
	told   uint64
	teller netip.AddrPort

	counts Counts
	out    []Output
}

// New returns a Machine that starts at now.
func New(settings Settings, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{settings: settings, random: random, now: now, fetches: make(map[netip.AddrPort]time.Time)}
	if n := len(settings.Control); n > 0 {
		m.control = random.IntN(n)
	}
	return m
}

// Step applies one input at a time that must not go backwards, and returns what
// is to be done.
func (m *Machine) Step(now time.Time, input Input) []Output {
	if now.After(m.now) {
		m.now = now
	}
	m.out = nil
	switch in := input.(type) {
	case Tick:
	case MembersChanged:
		m.speaker = gossiper.IsSpeaker(m.settings.Name, m.settings.DataCentre, in.Members)
	case VersionHeard:
		m.hear(in)
	case MajorityHeard:
		m.majority, m.required = true, max(m.required, in.Version)
	case Thawed:
		m.majority, m.ready = false, false
	case Polled:
		m.acceptPoll(in)
	case Fetched:
		m.acceptFetch(in)
	}
	m.poll()
	m.fetch()
	m.checkReady()
	return m.out
}

// Catalog returns the newest configuration, or nil if there is none yet.
func (m *Machine) Catalog() *cataloger.Catalog { return m.catalog }

// Counts returns the counters.
func (m *Machine) Counts() Counts { return m.counts }

func (m *Machine) emit(out Output) { m.out = append(m.out, out) }

// Version returns the version held, 0 for none.
func (m *Machine) Version() uint64 {
	if m.catalog == nil {
		return 0
	}
	return m.catalog.Version
}

// accept takes over a newer catalog. Versions only move forwards.
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
	m.emit(CatalogChanged{Catalog: c, Remotes: m.remotes(c)})
}

// remotes returns the addresses of the entries of other regions.
func (m *Machine) remotes(c *cataloger.Catalog) []netip.AddrPort {
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

// poll asks control, one call at a time.
func (m *Machine) poll() {
	if !m.speaker || m.polling || len(m.settings.Control) == 0 || m.now.Before(m.pollAt) {
		return
	}
	m.polling = true
	m.counts.Polls++
	m.emit(Poll{Address: m.settings.Control[m.control], Known: m.Version()})
}

func (m *Machine) acceptPoll(in Polled) {
	m.polling = false
	if in.Failed {
		m.counts.PollFailures++
		m.control = (m.control + 1) % len(m.settings.Control)
		m.pollAt = m.now.Add(pollRetry + time.Duration(m.random.Int64N(int64(pollRetry))))
		return
	}
	m.accept(in.Catalog)
	if in.Catalog == nil || in.Catalog.Version == m.Version() {
		m.emit(Confirmed{})
	}
}

func (m *Machine) hear(in VersionHeard) {
	_, isAsked := m.fetches[m.teller]
	if in.Version > m.told || (in.Version == m.told && (isAsked || !m.teller.IsValid())) {
		m.told, m.teller = in.Version, in.From
	}
}

// fetch asks the peer that told of the newest version. While its answer is late,
// a second peer is asked, because the first may have died.
func (m *Machine) fetch() {
	if m.told <= m.Version() || !m.teller.IsValid() || len(m.fetches) >= maxFetches {
		return
	}
	for peer, since := range m.fetches {
		if peer == m.teller || m.now.Sub(since) < fetchPatience {
			return
		}
	}
	m.fetches[m.teller] = m.now
	m.counts.Fetches++
	m.emit(Fetch{Address: m.teller, Known: m.Version()})
}

func (m *Machine) acceptFetch(in Fetched) {
	delete(m.fetches, in.Address)
	if in.Failed || in.Catalog == nil || in.Catalog.Version <= m.Version() {
		m.counts.FetchFailures++
		if in.Address == m.teller {
			m.teller = netip.AddrPort{} // The next peer that tells is asked.
		}
		return
	}
	m.accept(in.Catalog)
}

// checkReady reports ready once the catalog is as new as a majority of the
// reachable entries know.
func (m *Machine) checkReady() {
	if m.ready || !m.majority || m.catalog == nil || m.Version() < m.required {
		return
	}
	m.ready = true
	m.emit(Ready{})
}

// Input is something that a Machine reacts to.
type Input interface{ isInput() }

// Tick lets time pass.
type Tick struct{}

// MembersChanged carries the live entries of the region.
type MembersChanged struct{ Members []messenger.Member }

// VersionHeard tells of a version that a peer holds.
type VersionHeard struct {
	Version uint64
	From    netip.AddrPort
}

// MajorityHeard carries the newest version that a majority of the reachable
// entries holds.
type MajorityHeard struct{ Version uint64 }

// Thawed tells that the process did not run for a while.
type Thawed struct{}

// Polled is the answer to Poll. Catalog is nil if there is none newer.
type Polled struct {
	Catalog *cataloger.Catalog
	Failed  bool
}

// Fetched is the answer to Fetch. Catalog is nil if there is none newer.
type Fetched struct {
	Address netip.AddrPort
	Catalog *cataloger.Catalog
	Failed  bool
}

func (Tick) isInput()           {}
func (MembersChanged) isInput() {}
func (VersionHeard) isInput()   {}
func (MajorityHeard) isInput()  {}
func (Thawed) isInput()         {}
func (Polled) isInput()         {}
func (Fetched) isInput()        {}

// Output is something that a Machine asks for or tells.
type Output interface{ isOutput() }

// Poll asks for a call to control that waits up to PollWait.
type Poll struct {
	Address netip.AddrPort
	Known   uint64
}

// Fetch asks for the catalog of a peer.
type Fetch struct {
	Address netip.AddrPort
	Known   uint64
}

// CatalogChanged carries a newer catalog.
type CatalogChanged struct {
	Catalog *cataloger.Catalog
	// Remotes are the gRPC addresses of the entries of other regions.
	Remotes []netip.AddrPort
}

// Confirmed tells that control has no newer version than the one held.
type Confirmed struct{}

// Ready tells that the configuration is current as far as can be known.
type Ready struct{}

func (Poll) isOutput()           {}
func (Fetch) isOutput()          {}
func (CatalogChanged) isOutput() {}
func (Confirmed) isOutput()      {}
func (Ready) isOutput()          {}
