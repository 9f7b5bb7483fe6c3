package balancer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// requestInProgress identifies a request whose count expires.
type requestInProgress struct {
	key   flowKey
	since time.Time
	// sentAt is when the link of the entry has carried the request.
	sentAt time.Time
}

// begin counts a flow as having a request in progress at a group.
func (g *groupLoad) begin(key flowKey, f *flow, linkWait time.Duration, now time.Time) {
	if f.progress != nil {
		return
	}
	f.progress, f.progressSince = g, now
	g.requests++
	g.service.requests++
	g.service.inProgress = append(g.service.inProgress, requestInProgress{key: key, since: now, sentAt: now.Add(linkWait)})
}

// endProgress ends the count of a flow's request, if it has one.
func (f *flow) endProgress() {
	if f.progress == nil {
		return
	}
	f.progress.requests--
	f.progress.service.requests--
	f.progress = nil
}

// endRequest ends the count of an answered request and records its response time, which may be longer than
// the count has lasted. Otherwise the counts of a slow service would never last longer.
func (b *Balancer) endRequest(f *flow, now time.Time) {
	server, ok := b.directory.Server(f.token)
	if b.admitter == nil || !ok {
		f.endProgress()
		return
	}
	g := b.selector.loads.of(server.Service).group(server.DataCentre)
	g.service.recordResponse(now.Sub(f.requestedAt), g.total() < unloadedUse*float64(g.slots))
	f.endProgress()
}

// recordResponse records the time of a response.
func (s *serviceLoad) recordResponse(d time.Duration, isUnloaded bool) {
	smooth := func(old time.Duration) time.Duration {
		if old == 0 {
			return d
		}
		return old + time.Duration(responseSmoothing*float64(d-old))
	}
	s.responseTime = smooth(s.responseTime)
	if isUnloaded {
		s.unloadedTime = smooth(s.unloadedTime)
	}
}

func (s *serviceLoad) expiry() time.Duration {
	if s.responseTime == 0 {
		return firstExpiry
	}
	return min(max(expiryFactor*s.responseTime, minExpiry), maxExpiry)
}

// expireRequests ends the counts of requests of a service that have been in progress for too long to be.
func (b *Balancer) expireRequests(s *serviceLoad, now time.Time) {
	expired := 0
	for _, r := range s.inProgress {
		f := b.flows[r.key]
		isCurrent := f != nil && f.progress != nil && f.progress.service == s && f.progressSince.Equal(r.since)
		if isCurrent && now.Sub(r.since) < s.expiry() {
			break
		}
		if isCurrent {
			f.endProgress()
			b.releaseRequest(f, now)
		}
		expired++
	}
	s.inProgress = s.inProgress[expired:]
}

// beginRequest counts a request as in progress at a backend server.
func (b *Balancer) beginRequest(key flowKey, f *flow, server director.Server, now time.Time) {
	if b.admitter == nil {
		return
	}
	s := b.selector.loads.of(server.Service)
	route, _ := b.directory.Route(key.destination)
	s.longRequests[route.Priority].record(f.hasRequested)
	if f.hasRequested {
		// The first request of a flow was counted as an arrival with its opening packet.
		s.arrivals.add(now)
		b.admitter.RecordRequest(server.Service, route.Priority)
	}
	s.group(server.DataCentre).begin(key, f, b.linkWait(now), now)
}

// waiting counts the requests of a service that wait for the link of the entry, by data centre. No backend server
// has them yet: a full link would look like full slots.
func (b *Balancer) waiting(s *serviceLoad, now time.Time) map[string]int {
	var counts map[string]int
	for _, r := range slices.Backward(s.inProgress) {
		if !r.sentAt.After(now) {
			break
		}
		if f := b.flows[r.key]; f != nil && f.progress != nil && f.progressSince.Equal(r.since) {
			if counts == nil {
				counts = make(map[string]int)
			}
			if counts == nil {
				counts = make(map[string]int)
			}
			counts[f.progress.dataCentre]++
		}
	}
	return counts
}
