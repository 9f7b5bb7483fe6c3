package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// Penalties are added to the load of a candidate, in flows per slot. Each is above the sum of all
// lower ones and above any real load.
const (
	// remotePenalty keeps flows in the local data centre, where they survive a partition between
	// data centres and use no bandwidth of the links.
	remotePenalty = 1000.0
	// saturationPenalty sends a flow to another data centre rather than let it queue in a full
	// local one.
	saturationPenalty = 2000.0
	// outagePenalty is that of a data centre that does not answer at all.
	outagePenalty = 5000.0
	// unresponsivePenalty is that of an unresponsive backend server. A caller loses 200 ms with
	// each failed one that is chosen.
	unresponsivePenalty = 10_000.0

	// flowDifferenceFactor multiplies the relative difference in flows of other entries of two backend servers to
	// the probability with which the second one drawn replaces the first. Where a quarter of the requests come on
	// new flows, these offset a difference in long flows only if they differ about three times as much.
	flowDifferenceFactor = 3.0

	// maxImpairedCompared limits how many impaired backend servers (unresponsive or in their cold
	// start) are compared for one choice.
	maxImpairedCompared = 64
)

// pool holds the candidates of a service by data centre: those that are ready, and those whose
// lease has expired.
type pool struct{ ready, lapsed map[string]*group }

// selector places a new flow at the backend server with the fewest flows of this entry per slot.
// While slots are free, as under usual load, a caller is then served at once, since its flow shares
// no slot. The cost of a choice does not depend on the number of backend servers.
type selector struct {
	name               string
	dataCentre         string
	rng                *rand.Rand
	pools              map[string]*pool
	backends           map[director.Token]*backend
	healthByDataCentre map[string]*dataCentreHealth
	takenOut           map[string]bool
	// coldBackends holds the backend servers that are in their cold start.
	coldBackends map[director.Token]*backend
	loads        *loadTable
	// generation counts the complete views.
	generation uint64
}

func newSelector(name, dataCentre string, rng *rand.Rand) *selector {
	return &selector{
		name: name, dataCentre: dataCentre, rng: rng, loads: newLoadTable(), pools: make(map[string]*pool), backends: make(map[director.Token]*backend),
		healthByDataCentre: make(map[string]*dataCentreHealth), takenOut: make(map[string]bool), coldBackends: make(map[director.Token]*backend),
	}
}

// rebuild applies a complete view. Backend servers that have not changed are skipped, because
// packets wait meanwhile.
func (s *selector) rebuild(directory *director.Directory, now time.Time) {
	clear(s.takenOut)
	for _, name := range directory.TakenOut() {
		s.takenOut[name] = true
	}
	s.generation++
	for server := range directory.EachServer() {
		b := s.backends[server.Token]
		if b == nil || b.server != server || server.IsCold() {
			b = s.place(directory, server, now)
		}
		b.generation = s.generation
	}
	for token, b := range s.backends {
		if b.generation != s.generation {
			s.removeBackend(token)
		}
	}
}

// update applies changes that the directory already contains. No change scans all backend servers,
// as thousands of changes may arrive at once.
func (s *selector) update(directory *director.Directory, changes []director.Change, now time.Time) {
	timeSlotsChanged := false
	for _, change := range changes {
		switch c := change.(type) {
		case director.ServerChanged:
			s.place(directory, c.Server, now)
		case director.ServerRemoved:
			s.removeBackend(c.Token)
		case director.DataCentreChanged:
			s.takenOut[c.Name] = c.TakenOut
		case director.ServiceChanged, director.EntryAdded:
			timeSlotsChanged = true
		}
	}
	if !timeSlotsChanged {
		return
	}
	for token, b := range s.coldBackends {
		if server, ok := directory.Server(token); ok {
			s.updateColdStart(directory, b, server, now)
		}
	}
}

// place adds or updates a backend server and moves it to the group that fits its state.
func (s *selector) place(directory *director.Directory, server director.Server, now time.Time) *backend {
	b := s.backends[server.Token]
	if b == nil {
		b = &backend{token: server.Token}
		s.backends[server.Token] = b
	}
	wasReady := b.isReady
	b.isReady = server.State == director.StateReady
	if b.group != nil {
		b.group.remove(b)
	}
	b.server, b.slots = server, max(server.Slots, 1)
	b.health = s.healthOf(server.DataCentre)
	s.updateColdStart(directory, b, server, now)
	p := s.pools[server.Service]
	if p == nil {
		p = &pool{ready: make(map[string]*group), lapsed: make(map[string]*group)}
		s.pools[server.Service] = p
	}
	switch server.State {
	case director.StateReady:
		b.group = s.groupOf(p.ready, server)
		b.group.countSlots(b)
		if !wasReady {
			b.health.recordStart(now)
		}
	case director.StateLapsed:
		b.group = s.groupOf(p.lapsed, server)
	case director.StateDraining, director.StateGone:
		return b
	}
	b.group.classify(b, b.isRankedByLoad(now))
	return b
}

func (s *selector) healthOf(dataCentre string) *dataCentreHealth {
	health := s.healthByDataCentre[dataCentre]
	if health == nil {
		health = new(dataCentreHealth)
		s.healthByDataCentre[dataCentre] = health
	}
	return health
}

func (s *selector) groupOf(groups map[string]*group, server director.Server) *group {
	dataCentre := server.DataCentre
	g := groups[dataCentre]
	if g == nil {
		g = &group{
			health: s.healthOf(dataCentre), load: s.loads.of(server.Service).group(dataCentre),
			isLocal: dataCentre == s.dataCentre, dataCentre: dataCentre,
		}
		groups[dataCentre] = g
	}
	return g
}

// removeBackend deletes the state of a backend server.
func (s *selector) removeBackend(token director.Token) {
	if b := s.backends[token]; b != nil && b.group != nil {
		b.group.remove(b)
	}
	delete(s.backends, token)
	delete(s.coldBackends, token)
}

// groups returns the groups whose backend servers may get new flows of a service. Backend servers
// whose lease has expired are used only if there are no others.
func (s *selector) groups(service string) []*group {
	p := s.pools[service]
	if p == nil {
		return nil
	}
	usable := s.usable(p.ready)
	if len(usable) == 0 {
		usable = s.usable(p.lapsed)
	}
	return usable
}

// usable returns the groups of data centres that are not taken out, the local one first.
func (s *selector) usable(groups map[string]*group) []*group {
	usable := make([]*group, 0, len(groups))
	for _, g := range groups {
		if g.count() > 0 && !s.takenOut[g.dataCentre] {
			usable = append(usable, g)
		}
	}
	slices.SortFunc(usable, compareGroups)
	return usable
}

// recordTimeout records that a backend server has not answered a packet in time.
func (s *selector) recordTimeout(token director.Token, isOpening bool, now time.Time) {
	b := s.backends[token]
	if b == nil {
		return
	}
	count := b.timeouts.count + 1
	b.timeouts = timeouts{count: count, avoidUntil: now.Add(backoff(count))}
	if isOpening {
		b.health.recordTimeout(token, now)
	}
	s.classify(b, now)
}

// recordAnswer records that a backend server has answered.
func (s *selector) recordAnswer(token director.Token, now time.Time) {
	b := s.backends[token]
	if b == nil {
		return
	}
	b.health.recordAnswer()
	if b.timeouts.count > 0 {
		b.timeouts = timeouts{}
		s.classify(b, now)
	}
}

func (s *selector) addRequest(token director.Token, n int, now time.Time) {
	if b := s.backends[token]; b != nil {
		b.requests = max(b.requests+n, 0)
		s.classify(b, now)
	}
}

func (s *selector) addFlow(token director.Token, n int, now time.Time) {
	if b := s.backends[token]; b != nil {
		b.flows = max(b.flows+n, 0)
		s.classify(b, now)
	}
}

func (s *selector) classify(b *backend, now time.Time) {
	if b.group != nil {
		b.group.classify(b, b.isRankedByLoad(now))
	}
}

// describe returns the placement of a flow as seen by this entry.
func (s *selector) describe(server director.Server, tried director.Token, now time.Time) Placement {
	p := Placement{IsNew: true, IsLocal: server.DataCentre == s.dataCentre, Tried: tried}
	for _, g := range s.groups(server.Service) {
		p.Candidates += g.count()
	}
	if b := s.backends[server.Token]; b != nil {
		p.Flows, p.Requests, p.IsUnresponsive = b.flows, b.requests, b.isUnresponsive(now)
	}
	return p
}
