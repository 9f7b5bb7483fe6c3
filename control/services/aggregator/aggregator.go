// Package aggregator sums the load reports of entries at a control replica. It has no clock and no
// network: its inputs carry the current time, which must never go back.
package aggregator

import (
	"fmt"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

const (
	// A report has full weight up to fullWeightAge, so that one that is lost changes no sum, and none
	// from noWeightAge on.
	fullWeightAge = time.Second
	noWeightAge   = 3 * time.Second
	// Partial sums are renewed every 250 ms. They lose their weight sooner than reports, because the
	// entries of a replica that has ended report to other replicas within 1.5 s, and would count twice.
	partialFullWeightAge = 500 * time.Millisecond
	partialNoWeightAge   = 1500 * time.Millisecond
	// serverAge is how long the figures of backend servers are kept. They come every 2 s.
	serverAge = 6 * time.Second
	// maxReporters bounds the memory. It is several times the number of entries of the design size.
	maxReporters = 2048
	// The sums of the own reporters are computed again when they are this old. The figures of backend
	// servers change every 2 s and are the most expensive part.
	sumPeriod       = 100 * time.Millisecond
	serverSumPeriod = 500 * time.Millisecond
)

// ErrStale reports a report that is not newer than the last one of its entry.
type ErrStale struct {
	Entry          string
	Sequence, Last uint64
}

func (e ErrStale) Error() string {
	return fmt.Sprintf("sequence: must be above %d, the last one of entry %q, is %d", e.Last, e.Entry, e.Sequence)
}

// ErrTooManyEntries reports a report of a new entry when there is no room for another one.
type ErrTooManyEntries struct{ Entry string }

func (e ErrTooManyEntries) Error() string {
	return fmt.Sprintf("entry: %q is not among the %d that report already", e.Entry, maxReporters)
}

// reporterState is what an Aggregator keeps of one entry.
type reporterState struct {
	dataCentre string
	sequence   uint64
	receivedAt time.Time
	load       loadsharer.Load
	// servers are those of the last report that had them.
	servers           []loadsharer.ServerLoad
	serversReceivedAt time.Time
}

func (r reporterState) weight(now time.Time) float64 {
	return weightAt(now.Sub(r.receivedAt), fullWeightAge, noWeightAge)
}

func (r reporterState) hasServers(now time.Time) bool {
	return !r.serversReceivedAt.IsZero() && now.Sub(r.serversReceivedAt) < serverAge
}

// partialState is the newest partial sum of another replica.
type partialState struct {
	receivedAt time.Time
	summary    loadsharer.Summary
}

func (p partialState) weight(now time.Time) float64 {
	return weightAt(now.Sub(p.receivedAt), partialFullWeightAge, partialNoWeightAge)
}

// Aggregator sums the newest reports. It is not safe for concurrent use.
type Aggregator struct {
	reporters map[string]reporterState
	partials  map[string]partialState
	// own is the sum of the own reporters at ownAt without the servers, and ownServers that of the
	// servers at ownServersAt.
	own                 sums
	ownServers          []total
	ownAt, ownServersAt time.Time
}

// sums are the sums over reporters, of which entries is the number and age the mean age.
type sums struct {
	entries          int
	age              time.Duration
	groups, arrivals []total
}

// New returns an Aggregator without reports.
func New() *Aggregator {
	return &Aggregator{reporters: make(map[string]reporterState), partials: make(map[string]partialState)}
}

// Accept replaces the figures of an entry. It returns loadsharer.ErrInvalid, ErrStale or
// ErrTooManyEntries, and changes nothing then.
func (a *Aggregator) Accept(report loadsharer.Report, now time.Time) error {
	if err := report.Check(); err != nil {
		return err
	}
	state, isKnown := a.reporters[report.Entry]
	if isKnown && report.Sequence <= state.sequence && now.Sub(state.receivedAt) <= noWeightAge {
		return ErrStale{Entry: report.Entry, Sequence: report.Sequence, Last: state.sequence}
	}
	if !isKnown && len(a.reporters) >= maxReporters {
		a.removeExpired(now)
		if len(a.reporters) >= maxReporters {
			return ErrTooManyEntries{Entry: report.Entry}
		}
	}
	state.dataCentre, state.sequence, state.receivedAt, state.load = report.DataCentre, report.Sequence, now, report.Load
	if report.HasServers {
		state.servers, state.serversReceivedAt = report.Load.Servers, now
	}
	a.reporters[report.Entry] = state
	return nil
}

// AcceptPartial replaces the partial sums of another replica. The summary must be valid.
func (a *Aggregator) AcceptPartial(replica string, summary loadsharer.Summary, now time.Time) {
	a.partials[replica] = partialState{receivedAt: now, summary: summary}
}

// Partial returns the sums over the reporters of this replica. They may be up to sumPeriod old, and
// those of the backend servers up to serverSumPeriod.
func (a *Aggregator) Partial(now time.Time) loadsharer.Summary {
	a.refresh(now)
	summary := loadsharer.Summary{
		Entries: uint32(a.own.entries), Age: a.own.age, HasServers: true,
		Load: loadsharer.Load{Groups: groupsOf(a.own.groups), Arrivals: arrivalsOf(a.own.arrivals), Servers: serversOf(a.ownServers)},
	}
	if a.own.entries > 0 {
		summary.Age += now.Sub(a.ownAt)
	}
	return limited(summary, now)
}

// Summary returns the sums over the reporters of this replica and the newest partial sums of the
// others.
func (a *Aggregator) Summary(now time.Time) loadsharer.Summary {
	partial := a.Partial(now)
	merged := newMerger()
	merged.add(partial, 1, 0)
	for replica, p := range a.partials {
		weight := p.weight(now)
		if weight <= 0 {
			delete(a.partials, replica)
			continue
		}
		merged.add(p.summary, weight, now.Sub(p.receivedAt))
	}
	return limited(merged.summary(), now)
}

// PartialAges returns the ages of the newest partial sums of the other replicas.
func (a *Aggregator) PartialAges(now time.Time) map[string]time.Duration {
	ages := make(map[string]time.Duration, len(a.partials))
	for replica, p := range a.partials {
		ages[replica] = now.Sub(p.receivedAt)
	}
	return ages
}

// refresh computes the sums of the own reporters again if they are too old.
func (a *Aggregator) refresh(now time.Time) {
	if !a.ownAt.IsZero() && now.Sub(a.ownAt) < sumPeriod {
		return
	}
	a.removeExpired(now)
	groups, arrivals := newCollection(), newCollection()
	a.own, a.ownAt = sums{}, now
	var ages time.Duration
	for _, r := range a.reporters {
		weight := r.weight(now)
		if weight <= 0 {
			continue
		}
		a.own.entries++
		ages += now.Sub(r.receivedAt)
		groups.addReporter(r.dataCentre)
		for _, g := range r.load.Groups {
			groups.add(figure{service: g.Service, dataCentre: g.DataCentre}, g.Requests, weight)
		}
		arrivals.addReporter(r.dataCentre)
		for _, s := range r.load.Arrivals {
			arrivals.add(figure{service: s.Service}, s.PerSecond, weight)
		}
	}
	if a.own.entries > 0 {
		a.own.age = ages / time.Duration(a.own.entries)
	}
	a.own.groups, a.own.arrivals = groups.totals(), arrivals.totals()
	if a.ownServersAt.IsZero() || now.Sub(a.ownServersAt) >= serverSumPeriod {
		a.ownServers, a.ownServersAt = a.sumServers(now), now
	}
}

func (a *Aggregator) sumServers(now time.Time) []total {
	servers := newCollection()
	for _, r := range a.reporters {
		if !r.hasServers(now) {
			continue
		}
		servers.addReporter(r.dataCentre)
		for _, s := range r.servers {
			servers.add(figure{token: s.Token}, s.Flows, 1)
		}
	}
	return servers.totals()
}

func (a *Aggregator) removeExpired(now time.Time) {
	for entry, r := range a.reporters {
		if r.weight(now) <= 0 && !r.hasServers(now) {
			delete(a.reporters, entry)
		}
	}
}

// weightAt falls from 1 at an age of full to 0 at an age of none.
func weightAt(age, full, none time.Duration) float64 {
	return min(max(float64(none-age)/float64(none-full), 0), 1)
}

// limited returns the summary within the limits of valid ones. The time selects among equal figures.
func limited(s loadsharer.Summary, now time.Time) loadsharer.Summary {
	s.Load, _ = s.Load.WithLimits(loadsharer.SummaryLimits, uint64(now.UnixNano()))
	return s
}
