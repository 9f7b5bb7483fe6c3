// Package publisher serves the gRPC service redwingledge.entry.View, through which
// gateways watch the view of an entry.
package publisher

import (
	"context"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/entry/models/viewer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/watcher"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// Names of the counters.
const (
	counterWatches = "view_watches"
	counterRefused = "view_watches_refused"
)

// Options configure the service.
type Options struct {
	// View returns the current view.
	View func() *viewer.View
	// Process distinguishes this process from earlier processes of the entry, for
	// example its start time.
	Process uint64
	// WithCertificates requires that the client certificate of a caller matches the
	// gateway name in its request.
	WithCertificates bool
	Counters         *reporter.Counters
}

// NewService returns the service to be served on the gRPC address.
func NewService(options Options) *transporter.Service {
	for _, name := range []string{counterWatches, counterRefused} {
		options.Counters.Int(name)
	}
	service := transporter.NewService(watcher.Service)
	transporter.Handle(service, "Watch", options.watch)
	return service
}

func (o Options) watch(ctx context.Context, req *watcher.Request) (*watcher.Response, error) {
	if err := o.authorize(ctx, req.Gateway); err != nil {
		o.Counters.Int(counterRefused).Add(1)
		return nil, err
	}
	o.Counters.Int(counterWatches).Add(1)
	ctx, cancel := context.WithTimeout(ctx, min(req.Wait, watcher.MaxWait))
	defer cancel()
	for {
		view := o.View()
		answer, hasChanges := o.answer(view, req)
		if hasChanges {
			return answer, nil
		}
		select {
		case <-view.Changed():
		case <-ctx.Done():
			return answer, nil
		}
	}
}

// authorize checks that the certificate of a caller matches its gateway name, and that
// the configuration declares this gateway, if it declares any gateways.
func (o Options) authorize(ctx context.Context, gateway string) error {
	if !o.WithCertificates {
		return nil
	}
	name := transporter.PeerCommonName(ctx)
	if name == "" || name != gateway {
		return status.Errorf(codes.PermissionDenied, "certificate is for %q, not for %q", name, gateway)
	}
	catalog := o.View().Catalog
	if catalog == nil || len(catalog.Gateways) == 0 || slices.ContainsFunc(catalog.Gateways, func(g cataloger.Member) bool { return g.Name == name }) {
		return nil
	}
	return status.Errorf(codes.PermissionDenied, "the configuration does not declare gateway %q", name)
}

// answer returns the changes since the position that the caller knows, and whether there
// are any. A caller without a position of this process gets all records and members, so
// it is answered at once.
func (o Options) answer(view *viewer.View, req *watcher.Request) (*watcher.Response, bool) {
	answer := &watcher.Response{Position: watcher.Position{Process: o.Process, Revision: view.Revision}, Ready: view.Ready}
	if view.Catalog != nil && view.Catalog.Version > req.CatalogVersion {
		answer.Catalog = view.Catalog
	}
	isSameProcess := req.Known.Process == o.Process
	ok := false
	if isSameProcess {
		answer.Records, answer.Removed, ok = view.ChangedSince(req.Known.Revision)
	}
	if !ok {
		answer.AllRecords = true
		answer.Records, answer.Removed, _ = view.ChangedSince(0)
		answer.Removed = nil
	}
	if !isSameProcess || view.MembersRevision > req.Known.Revision {
		answer.MembersChanged = true
		for _, m := range view.Members {
			answer.Members = append(answer.Members, cataloger.Member{Name: m.Name, DataCentre: m.DataCentre, Address: m.Address})
		}
	}
	hasChanges := answer.Catalog != nil || answer.AllRecords || answer.MembersChanged || len(answer.Records)+len(answer.Removed) > 0
	return answer, hasChanges || view.ReadyRevision > req.Known.Revision
}
