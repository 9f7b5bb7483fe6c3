package steerer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// freshView is the age up to which the view is sure enough to refuse an
	// unknown address. It covers two polls of control.
	freshView = 3 * time.Second
	// defaultIdleTimeout holds until a configuration names another one.
	defaultIdleTimeout = 15 * time.Second
)

// Settings are the constants of a Steerer.
type Settings struct {
	// Name and DataCentre are those of the entry.
	Name, DataCentre string
	// MaxFlows bounds the flows that are followed for load estimates. Others are
	// routed all the same.
	MaxFlows int
	// ObserveAnswer, if set, gets the time from each request to the caller's first
	// acknowledgement of its answer.
	ObserveAnswer func(time.Duration)
	// KeepSilentFlows leaves flows to silent data centres open; see shouldReset.
	KeepSilentFlows bool
	// Clock, if set, also counts the time in which the VM was suspended. It is read for
	// each view, and before an unknown address is refused.
	Clock timer.Service
}

// Steerer decides about packets. It is safe for concurrent use.
type Steerer struct {
	mu        sync.Mutex
	settings  Settings
	rng       *rand.Rand
	directory *director.Directory
	index     uint64
	viewedAt  time.Time
	// confirmedAt is when control last confirmed the view, by Settings.Clock.
	confirmedAt time.Time
	selector    *selector
	flows       map[flowKey]*flow
}

// New returns a Steerer without a view.
func New(settings Settings, rng *rand.Rand) *Steerer {
	return &Steerer{
		settings: settings, rng: rng, directory: director.NewDirectory(),
		selector: newSelector(settings.Name, settings.DataCentre, rng), flows: make(map[flowKey]*flow),
	}
}

// Update carries out changes that lead to index. With complete, they replace the
// whole view.
func (s *Steerer) Update(index uint64, changes []director.Change, complete bool, now time.Time) {
	var whole *director.Directory
	if complete {
		// Packets need not wait for this.
		whole = director.NewDirectory()
		for _, change := range changes {
			whole.Apply(change)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < s.index {
		return
	}
	if complete {
		s.directory = whole
	} else {
		for _, change := range changes {
			s.directory.Apply(change)
		}
	}
	s.index, s.viewedAt = index, now
	if s.settings.Clock != nil {
		s.confirmedAt = s.settings.Clock.Now()
	}
	if complete {
		s.selector.rebuild(s.directory, now)
	} else {
		s.selector.update(s.directory, changes, now)
	}
}

// HasView reports whether a configuration is known.
func (s *Steerer) HasView() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directory.Version > 0
}

// Status describes the view for counters.
type Status struct {
	Index   uint64 `json:"index"`
	Version uint64 `json:"version"`
	// AgeMilliseconds is the time since control last confirmed the view.
	AgeMilliseconds int64 `json:"age_ms"`
	Flows           int   `json:"flows"`
}

// Status returns the state of the view.
func (s *Steerer) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Index: s.index, Version: s.directory.Version, AgeMilliseconds: now.Sub(s.viewedAt).Milliseconds(), Flows: len(s.flows)}
}

// Decide returns what happens to a packet.
func (s *Steerer) Decide(p Packet, now time.Time) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.decide(p, now)
	if !s.viewedAt.IsZero() {
		verdict.View = View{Index: s.index, Version: s.directory.Version, Age: now.Sub(s.viewedAt)}
	}
	return verdict
}

func (s *Steerer) decide(p Packet, now time.Time) Verdict {
	if s.directory.Version == 0 {
		return Verdict{Reason: ReasonNoView}
	}
	route, ok := s.directory.Route(p.Destination)
	if !ok {
		return s.refuseUnknown(p, now)
	}
	if p.IsOpening {
		return s.open(p, route, now)
	}
	server, ok := s.directory.Server(p.Token)
	switch {
	case !ok:
		return Verdict{Reason: ReasonUnknownToken}
	case !route.Allows(server.Service):
		return Verdict{Reason: ReasonOtherService}
	case server.State == director.StateGone:
		s.forget(keyOf(p), now)
		if p.IsReset {
			return Verdict{Reason: ReasonServerGone}
		}
		return Verdict{Action: ActionReset, Reason: ReasonServerGone}
	}
	if f := s.follow(p, server, now); f != nil && p.HasData && s.shouldReset(route, f, server, now) {
		s.forget(keyOf(p), now)
		return Verdict{Action: ActionReset, Reason: ReasonServerLost}
	}
	return Verdict{Action: ActionForward, Server: server}
}

// refuseUnknown resets flows to an address without a route, unless the view may
// be out of date.
func (s *Steerer) refuseUnknown(p Packet, now time.Time) Verdict {
	if now.Sub(s.viewedAt) > freshView || s.settings.Clock != nil && s.settings.Clock.Now().Sub(s.confirmedAt) > freshView {
		return Verdict{Reason: ReasonStaleView}
	}
	if p.IsReset {
		return Verdict{Reason: ReasonNoRoute}
	}
	return Verdict{Action: ActionReset, Reason: ReasonNoRoute}
}

// open places a new flow. A copy of an opening packet goes to another backend
// server, as the first one has not answered in time.
func (s *Steerer) open(p Packet, route director.Route, now time.Time) Verdict {
	key := keyOf(p)
	tried := director.Token(0)
	if known, ok := s.flows[key]; ok {
		if server, ok := s.directory.Server(known.token); ok && known.copies >= p.Copy && server.IsOpen() {
			known.seenAt = now
			return Verdict{Action: ActionForward, Server: server}
		}
		if tried = known.token; p.Copy > known.copies && now.Sub(known.seenAt) >= evidenceAge {
			s.selector.noteSilence(tried, true, now)
		}
		s.forget(key, now)
	}
	token := s.pick(route, key, tried, now)
	server, ok := s.directory.Server(token)
	if !ok {
		return Verdict{Action: ActionReset, Reason: ReasonNoServer}
	}
	placement := s.selector.describe(server, tried, now)
	s.remember(key, flow{token: token, copies: p.Copy, seenAt: now})
	return Verdict{Action: ActionForward, Server: server, Placement: placement}
}

// pick returns where a new flow goes, or 0. The weights of the route choose the service;
// another one that has a weight serves if that has no backend server.
func (s *Steerer) pick(route director.Route, key flowKey, tried director.Token, now time.Time) director.Token {
	chosen := route.PickService(key.point())
	if token := s.selector.pick(chosen, tried, now); token != 0 {
		return token
	}
	for _, share := range route.Shares {
		if share.Weight == 0 || share.Service == chosen {
			continue
		}
		if token := s.selector.pick(share.Service, tried, now); token != 0 {
			return token
		}
	}
	return 0
}
