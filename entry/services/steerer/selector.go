package steerer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// The penalties are loads, in flows a slot, by which a choice is avoided. Each is above all
// lower ones together and above any real load.
const (
	// remotePenalty keeps flows at home, where they survive a cut between data centres
	// and cost no bytes on the links.
	remotePenalty = 1000.0
	// saturationPenalty lets a flow leave a full home rather than wait there.
	saturationPenalty = 2000.0
	// reachPenalty is that of a data centre that does not answer as a whole.
	reachPenalty = 5000.0
	// silencePenalty is that of a silent backend server, as a caller waits 200 ms for each
	// choice of a dead one.
	silencePenalty = 10_000.0

	// maxLooked bounds the silent and cold backend servers that one choice compares.
	maxLooked = 64
)

// pool holds the candidates of a service by data centre: those that are ready, and those
// whose lease has expired.
type pool struct{ ready, lapsed map[string]*group }

// selector places new flows at the backend server with the fewest flows of this
// entry for each slot. It answers the usual load, where slots are free: callers
// get a response at once if their flows do not share a slot. A choice takes the same time
// however many backend servers there are.
type selector struct {
	name       string
	dataCentre string
	rng        *rand.Rand
	pools      map[string]*pool
	backends   map[director.Token]*backend
	reaches    map[string]*reach
	takenOut   map[string]bool
	// cold holds the backend servers that are in a cold start.
	cold map[director.Token]*backend
	// generation counts the whole views.
	generation uint64
}

func newSelector(name, dataCentre string, rng *rand.Rand) *selector {
	return &selector{
		name: name, dataCentre: dataCentre, rng: rng, pools: make(map[string]*pool), backends: make(map[director.Token]*backend),
		reaches: make(map[string]*reach), takenOut: make(map[string]bool), cold: make(map[director.Token]*backend),
	}
}

// rebuild takes over all backend servers of a view. Those that are as before cost little, as
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
			s.forget(token)
		}
	}
}

// update takes over changes that the view has carried out. No change costs a look at all
// backend servers, as thousands may change at a time.
func (s *selector) update(directory *director.Directory, changes []director.Change, now time.Time) {
	mustShareAnew := false
	for _, change := range changes {
		switch c := change.(type) {
		case director.ServerChanged:
			s.place(directory, c.Server, now)
		case director.ServerForgotten:
			s.forget(c.Token)
		case director.DataCentreChanged:
			s.takenOut[c.Name] = c.TakenOut
		case director.ServiceChanged, director.EntryEnlisted:
			mustShareAnew = true
		}
	}
	if !mustShareAnew {
		return
	}
	for token, b := range s.cold {
		if server, ok := directory.Server(token); ok {
			s.updateTurns(directory, b, server, now)
		}
	}
}

// place puts a backend server among those of its service that may get new flows.
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
	b.reach = s.reachOf(server.DataCentre)
	s.updateTurns(directory, b, server, now)
	p := s.pools[server.Service]
	if p == nil {
		p = &pool{ready: make(map[string]*group), lapsed: make(map[string]*group)}
		s.pools[server.Service] = p
	}
	switch server.State {
	case director.StateReady:
		b.group = s.groupOf(p.ready, server.DataCentre)
		if !wasReady {
			b.reach.noteStart(now)
		}
	case director.StateLapsed:
		b.group = s.groupOf(p.lapsed, server.DataCentre)
	case director.StateDraining, director.StateGone:
		return b
	}
	b.group.arrange(b, b.isPlain(now))
	return b
}

func (s *selector) reachOf(dataCentre string) *reach {
	r := s.reaches[dataCentre]
	if r == nil {
		r = new(reach)
		s.reaches[dataCentre] = r
	}
	return r
}

func (s *selector) groupOf(groups map[string]*group, dataCentre string) *group {
	g := groups[dataCentre]
	if g == nil {
		g = &group{reach: s.reachOf(dataCentre), isLocal: dataCentre == s.dataCentre, dataCentre: dataCentre}
		groups[dataCentre] = g
	}
	return g
}

// forget drops what was noted of a backend server.
func (s *selector) forget(token director.Token) {
	if b := s.backends[token]; b != nil && b.group != nil {
		b.group.remove(b)
	}
	delete(s.backends, token)
	delete(s.cold, token)
}

// groups returns those with backend servers that may get new flows of a service. Those
// whose lease has expired are used only if it has no other.
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

// usable returns the groups of data centres that are not taken out, home first.
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

// attempt is what a choice is for.
type attempt struct {
	// tried is the backend server that an earlier copy of the opening packet went to, or
	// nil. It is used only if there is no other.
	tried *backend
	now   time.Time
}

// choice is the best backend server that was found so far.
type choice struct {
	backend *backend
	load    float64
	ties    int
}

// offer compares count backend servers of the same load, of which pick returns one, with
// the best ones so far. Entries that agree on the loads must not agree on the choice, so
// that one of the equal ones is drawn.
func (c *choice) offer(load float64, count int, rng *rand.Rand, pick func() *backend) {
	switch {
	case c.backend == nil || load < c.load:
		*c = choice{backend: pick(), load: load, ties: count}
	case load == c.load:
		if c.ties += count; rng.IntN(c.ties) < count {
			c.backend = pick()
		}
	}
}

// pick returns the token of the least loaded backend server of a service, or 0.
// The one that was tried before is used only if there is no other.
func (s *selector) pick(service string, tried director.Token, now time.Time) director.Token {
	a := attempt{tried: s.backends[tried], now: now}
	groups := s.groups(service)
	var best choice
	left := maxLooked
	for _, g := range groups {
		left -= s.compare(g, a, left, &best)
	}
	if best.backend == nil {
		// A turn of a cold backend server may be among those that were not compared.
		for _, g := range groups {
			s.compare(g, a, len(g.aside), &best)
		}
	}
	if best.backend == nil {
		if a.tried == nil || a.tried.group == nil || !slices.Contains(groups, a.tried.group) || !a.tried.cold.mayTake(now) {
			return 0
		}
		best.backend = a.tried
	}
	best.backend.cold.take(now)
	best.backend.reach.noteChoice(now)
	return best.backend.token
}

// compare compares the backend servers of a group with the best one so far. It looks at up
// to limit of those that stand aside, and returns their number.
func (s *selector) compare(g *group, a attempt, limit int, best *choice) int {
	penalty := 0.0
	if !g.isLocal {
		penalty += remotePenalty
	}
	if g.reach.isAvoided(a.tried != nil, a.now) {
		penalty += reachPenalty
	}
	if best.backend != nil && penalty > best.load {
		return 0
	}
	looked := g.look(limit, a.now, func(b *backend) {
		if b == a.tried || !b.cold.mayTake(a.now) {
			return
		}
		load := penalty + b.load(a.now)
		if b.isFull() {
			load += saturationPenalty
		}
		if b.isSilent(a.now) {
			load += silencePenalty
		}
		best.offer(load, 1, s.rng, func() *backend { return b })
	})
	if items, level := g.open.Lowest(a.tried); items != nil {
		s.offerOne(items, penalty+float64(level)/loadSteps, a.tried, best)
	}
	if items, level := g.full.Lowest(a.tried); items != nil {
		s.offerOne(items, penalty+saturationPenalty+float64(level)/loadSteps, a.tried, best)
	}
	return looked
}

// offerOne offers one of several backend servers with the same load, but not the skipped one.
func (s *selector) offerOne(items []*backend, load float64, skip *backend, best *choice) {
	best.offer(load, len(items), s.rng, func() *backend {
		i := s.rng.IntN(len(items))
		if items[i] == skip {
			i = (i + 1) % len(items)
		}
		return items[i]
	})
}

// noteSilence notes that a backend server has not answered a packet in time.
func (s *selector) noteSilence(token director.Token, isOpening bool, now time.Time) {
	b := s.backends[token]
	if b == nil {
		return
	}
	count := b.silence.count + 1
	b.silence = silence{count: count, until: now.Add(holdAfter(count))}
	b.reach.noteSilence(token, isOpening, now)
	s.arrange(b, now)
}

// noteAnswer notes that a backend server answers.
func (s *selector) noteAnswer(token director.Token, now time.Time) {
	b := s.backends[token]
	if b == nil {
		return
	}
	b.reach.noteAnswer()
	if b.silence.count > 0 {
		b.silence = silence{}
		s.arrange(b, now)
	}
}

func (s *selector) addRequest(token director.Token, n int, now time.Time) {
	if b := s.backends[token]; b != nil {
		b.requests = max(b.requests+n, 0)
		s.arrange(b, now)
	}
}

func (s *selector) addFlow(token director.Token, n int, now time.Time) {
	if b := s.backends[token]; b != nil {
		b.flows = max(b.flows+n, 0)
		s.arrange(b, now)
	}
}

func (s *selector) arrange(b *backend, now time.Time) {
	if b.group != nil {
		b.group.arrange(b, b.isPlain(now))
	}
}

// describe returns how a choice looks to this entry.
func (s *selector) describe(server director.Server, tried director.Token, now time.Time) Placement {
	p := Placement{IsNew: true, IsHome: server.DataCentre == s.dataCentre, Tried: tried}
	for _, g := range s.groups(server.Service) {
		p.Open += g.count()
	}
	if b := s.backends[server.Token]; b != nil {
		p.Flows, p.Requests, p.IsSilent = b.flows, b.requests, b.isSilent(now)
	}
	return p
}
