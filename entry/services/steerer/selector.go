package steerer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

const (
	// coldPenalty multiplies the load of a backend server during its cold start,
	// when requests take longer.
	coldPenalty = 2.0
	// remotePenalty is the load, in flows a slot, by which a backend server of
	// another data centre is avoided: above any real load, so that flows stay at
	// home, survive a cut between data centres, and cost no bytes on their links.
	remotePenalty = 1000.0
	// saturationPenalty is the load by which a backend server is avoided whose slots
	// this entry alone fills saturationFactor times: its next request waits for about
	// as long as one takes, which is longer than the way to another data centre.
	saturationPenalty = 2000.0
	saturationFactor  = 1.5
	// silencePenalty is the load by which a silent backend server is avoided. It is
	// above remotePenalty, as a caller waits 200 ms for each choice of a dead one.
	silencePenalty = 10_000.0
	// silenceHold is how long a backend server is avoided after one packet without
	// an answer; each further one doubles it up to maxSilenceHold, by when the lease
	// of a dead one has expired.
	silenceHold    = time.Second
	maxSilenceHold = 4 * time.Second
	// requestWeight is the load of a request at work, in flows.
	requestWeight = 2.0
)

// candidate is a backend server that may get new flows.
type candidate struct {
	token   director.Token
	slots   int
	isLocal bool
	cold    *turns
}

// pool holds the candidates of a service: those that are ready, and those whose lease
// has expired.
type pool struct{ ready, lapsed []candidate }

// selector places new flows at the backend server with the fewest flows of this
// entry for each slot. It answers the usual load, where slots are free: callers
// get a response at once if their flows do not share a slot.
type selector struct {
	name       string
	dataCentre string
	rng        *rand.Rand
	// pools hold the candidates by service, and services finds that of a candidate.
	pools    map[string]*pool
	services map[director.Token]string
	flows    map[director.Token]int
	requests map[director.Token]int
	cold     map[director.Token]*turns
	silent   map[director.Token]silence
}

// silence is what speaks for the death of a backend server: packets that callers
// had to repeat, without any answer on another flow since.
type silence struct {
	count int
	until time.Time
}

func newSelector(name, dataCentre string, rng *rand.Rand) *selector {
	return &selector{
		name: name, dataCentre: dataCentre, rng: rng, pools: make(map[string]*pool), services: make(map[director.Token]string),
		flows: make(map[director.Token]int), requests: make(map[director.Token]int),
		cold: make(map[director.Token]*turns), silent: make(map[director.Token]silence),
	}
}

// rebuild takes over all backend servers of a view.
func (s *selector) rebuild(directory *director.Directory, now time.Time) {
	clear(s.pools)
	clear(s.services)
	known := make(map[director.Token]bool)
	for _, server := range directory.Servers() {
		known[server.Token] = true
		s.place(directory, server, now)
	}
	for token := range s.cold {
		if !known[token] {
			delete(s.cold, token)
		}
	}
	for token := range s.flows {
		if !known[token] {
			s.forget(token)
		}
	}
}

// update takes over changes that the view has carried out. A backend server that
// changes costs no look at the others, as thousands may change at a time.
func (s *selector) update(directory *director.Directory, changes []director.Change, now time.Time) {
	for _, change := range changes {
		switch c := change.(type) {
		case director.ServerChanged:
			s.place(directory, c.Server, now)
		case director.ServerForgotten:
			s.remove(c.Token)
			s.forget(c.Token)
		case director.DataCentreChanged, director.ServiceChanged:
			s.rebuild(directory, now)
			return
		case director.EntryEnlisted:
			for token := range s.cold {
				if server, ok := directory.Server(token); ok {
					s.updateTurns(directory, server, now)
				}
			}
		}
	}
}

// place puts a backend server among those of its service that may get new flows.
func (s *selector) place(directory *director.Directory, server director.Server, now time.Time) {
	s.remove(server.Token)
	s.updateTurns(directory, server, now)
	if directory.IsTakenOut(server.DataCentre) {
		return
	}
	c := candidate{
		token: server.Token, slots: max(server.Slots, 1), isLocal: server.DataCentre == s.dataCentre,
		cold: s.cold[server.Token],
	}
	p := s.pools[server.Service]
	if p == nil {
		p = new(pool)
		s.pools[server.Service] = p
	}
	switch server.State {
	case director.StateReady:
		p.ready = append(p.ready, c)
	case director.StateLapsed:
		p.lapsed = append(p.lapsed, c)
	case director.StateDraining, director.StateGone:
		return
	}
	s.services[server.Token] = server.Service
}

// remove takes a backend server out of its service.
func (s *selector) remove(token director.Token) {
	service, ok := s.services[token]
	if !ok {
		return
	}
	delete(s.services, token)
	isToken := func(c candidate) bool { return c.token == token }
	p := s.pools[service]
	p.ready = slices.DeleteFunc(p.ready, isToken)
	p.lapsed = slices.DeleteFunc(p.lapsed, isToken)
}

// forget drops what was noted of a backend server.
func (s *selector) forget(token director.Token) {
	delete(s.flows, token)
	delete(s.requests, token)
	delete(s.silent, token)
	delete(s.cold, token)
}

// candidates returns the backend servers that may get new flows of a service. Those
// whose lease has expired are used only if it has no other.
func (s *selector) candidates(service string) []candidate {
	p := s.pools[service]
	switch {
	case p == nil:
		return nil
	case len(p.ready) > 0:
		return p.ready
	default:
		return p.lapsed
	}
}

// pick returns the token of the least loaded backend server of a service, or 0.
// The one that was tried before is used only if there is no other.
func (s *selector) pick(service string, tried director.Token, now time.Time) director.Token {
	best, bestLoad, ties := director.Token(0), 0.0, 0
	for _, c := range s.candidates(service) {
		if c.token == tried || !c.cold.mayTake(now) {
			continue
		}
		load := s.load(c, now)
		switch {
		case best == 0 || load < bestLoad:
			best, bestLoad, ties = c.token, load, 1
		case load == bestLoad:
			// Entries that agree on the loads must not agree on the choice.
			ties++
			if s.rng.IntN(ties) == 0 {
				best = c.token
			}
		}
	}
	if best == 0 {
		for _, c := range s.candidates(service) {
			if c.token == tried && c.cold.mayTake(now) {
				best = tried
			}
		}
	}
	if cold := s.cold[best]; cold != nil {
		cold.take(now)
	}
	return best
}

func (s *selector) load(c candidate, now time.Time) float64 {
	load := (float64(s.flows[c.token]) + requestWeight*float64(s.requests[c.token])) / float64(c.slots)
	if c.cold.isCold(now) {
		load = (load + 1) * coldPenalty
	}
	if !c.isLocal {
		load += remotePenalty
	}
	if float64(s.requests[c.token]) >= saturationFactor*float64(c.slots) {
		load += saturationPenalty
	}
	if now.Before(s.silent[c.token].until) {
		load += silencePenalty
	}
	return load
}

// noteSilence notes that a backend server has not answered a packet in time.
func (s *selector) noteSilence(token director.Token, now time.Time) {
	count := s.silent[token].count + 1
	s.silent[token] = silence{count: count, until: now.Add(min(silenceHold<<min(count-1, 8), maxSilenceHold))}
}

// noteAnswer notes that a backend server answers.
func (s *selector) noteAnswer(token director.Token) { delete(s.silent, token) }

func (s *selector) addRequest(token director.Token, n int) {
	if s.requests[token] += n; s.requests[token] <= 0 {
		delete(s.requests, token)
	}
}

func (s *selector) addFlow(token director.Token, n int) {
	if s.flows[token] += n; s.flows[token] <= 0 {
		delete(s.flows, token)
	}
}

// describe returns how a choice looks to this entry.
func (s *selector) describe(server director.Server, tried director.Token, now time.Time) Placement {
	return Placement{
		IsNew: true, Open: len(s.candidates(server.Service)), Flows: s.flows[server.Token], Requests: s.requests[server.Token],
		IsHome: server.DataCentre == s.dataCentre, IsSilent: now.Before(s.silent[server.Token].until), Tried: tried,
	}
}
