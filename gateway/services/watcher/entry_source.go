package watcher

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/watcher"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	// longPollWait is how long an entry may delay its answer while nothing changes.
	longPollWait = 10 * time.Second
	// pollMargin is the additional time after longPollWait until a poll times out.
	pollMargin = 2 * time.Second
)

// ErrGatewayNotExist reports a gateway that is not listed in the configuration.
type ErrGatewayNotExist struct {
	Name string
}

// Error returns the message of the error.
func (e ErrGatewayNotExist) Error() string {
	return fmt.Sprintf("gateway %q does not exist in the configuration", e.Name)
}

// EntrySource follows the view of one entry at a time with long polls, and switches to the next
// entry when a poll fails.
type EntrySource struct {
	name       string
	entries    []netip.AddrPort
	pool       *transporter.Pool
	entryIndex int
	position   watcher.Position
	catalog    cataloger.Catalog
	records    map[announcer.ID]announcer.Record
	version    uint64
}

var _ viewer.Source = (*EntrySource)(nil)

// NewEntrySource returns a source for the gateway with the given name.
func NewEntrySource(name string, entries []netip.AddrPort, pool *transporter.Pool) *EntrySource {
	return &EntrySource{name: name, entries: entries, pool: pool, records: make(map[announcer.ID]announcer.Record)}
}

// Watch waits until an entry reports a change and returns the new view. It returns an error if
// the poll fails or the gateway is not listed.
func (s *EntrySource) Watch(ctx context.Context, _ uint64) (viewer.View, error) {
	for {
		answer, err := s.poll(ctx)
		if err != nil {
			s.entryIndex++
			return viewer.View{}, err
		}
		if !s.apply(answer) {
			continue
		}
		view, err := s.view()
		if err != nil {
			return viewer.View{}, err
		}
		s.version++
		view.Version = s.version
		return view, nil
	}
}

func (s *EntrySource) poll(ctx context.Context) (watcher.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollWait+pollMargin)
	defer cancel()
	req := watcher.Request{Gateway: s.name, Known: s.position, CatalogVersion: s.catalog.Version, Wait: longPollWait}
	addr := s.entries[s.entryIndex%len(s.entries)]
	answer, err := transporter.Call[watcher.Request, watcher.Response](ctx, s.pool, addr, watcher.Method, &req)
	if err != nil {
		return watcher.Response{}, fmt.Errorf("watch the view of entry %s: %w", addr, err)
	}
	return *answer, nil
}

// apply merges an answer and reports whether anything changed. The configuration and the
// records never revert to older versions, even if another entry answers with an older state.
func (s *EntrySource) apply(answer watcher.Response) bool {
	s.position = answer.Position
	changed := false
	if answer.Catalog != nil && answer.Catalog.Version > s.catalog.Version {
		s.catalog, changed = *answer.Catalog, true
	}
	if answer.AllRecords {
		kept := make(map[announcer.ID]announcer.Record, len(answer.Records))
		for _, r := range answer.Records {
			if old, ok := s.records[r.ID]; ok {
				kept[r.ID] = old
			}
		}
		changed = changed || len(kept) != len(s.records)
		s.records = kept
	}
	for _, r := range answer.Records {
		if old, ok := s.records[r.ID]; !ok || r.Compare(old) > 0 {
			s.records[r.ID], changed = r, true
		}
	}
	for _, id := range answer.Removed {
		if _, ok := s.records[id]; ok {
			delete(s.records, id)
			changed = true
		}
	}
	return changed
}

// view returns the view of the region of the gateway.
func (s *EntrySource) view() (viewer.View, error) {
	i := slices.IndexFunc(s.catalog.Gateways, func(m cataloger.Member) bool { return m.Name == s.name })
	if i < 0 {
		return viewer.View{}, ErrGatewayNotExist{Name: s.name}
	}
	regions := make(map[string]string)
	view := viewer.View{Drained: s.catalog.Drained}
	for _, d := range s.catalog.DataCentres {
		regions[d.Name] = d.Region
		if d.TakenOut {
			view.TakenOut = append(view.TakenOut, d.Name)
		}
	}
	region := regions[s.catalog.Gateways[i].DataCentre]
	for _, g := range s.catalog.Gateways {
		if regions[g.DataCentre] == region {
			view.Gateways = append(view.Gateways, viewer.Gateway{Name: g.Name, DataCentre: g.DataCentre, Address: g.Address})
		}
	}
	for _, service := range s.catalog.Services {
		if service.Kind == cataloger.KindRequest {
			view.Services = append(view.Services, service.Name)
		}
	}
	for _, r := range s.records {
		if view.HasService(r.Service) && regions[r.DataCentre] == region {
			view.Backends = append(view.Backends, r)
		}
	}
	slices.SortFunc(view.Backends, func(a, b announcer.Record) int { return cmp.Compare(a.String(), b.String()) })
	return view, nil
}
