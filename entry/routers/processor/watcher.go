package processor

import (
	"context"

	"github.com/redwingledge/redwingledge/entry/models/viewer"
	"github.com/redwingledge/redwingledge/entry/services/forwarder"
	"github.com/redwingledge/redwingledge/entry/services/placer"
)

// Source provides the current view of the membership, the records and the configuration.
type Source interface {
	View() *viewer.View
}

// Watch queues each change of the view as inputs until ctx ends. It blocks the calling
// goroutine.
func (p *Processor) Watch(ctx context.Context, source Source) {
	var delivered deliveredView
	for ctx.Err() == nil {
		view := source.View()
		for _, input := range delivered.diff(view) {
			p.EnqueueInput(ctx, input)
		}
		select {
		case <-view.Changed():
		case <-ctx.Done():
		}
	}
}

// deliveredView records which parts of the view have been queued as inputs.
type deliveredView struct {
	revision        uint64
	membersRevision uint64
	version         uint64
	pauses          uint64
	isCurrent       bool
	hasMembers      bool
}

// diff returns the inputs that lead from the delivered view to the given one. Members
// and records come before the catalog, so that the first tables are complete. It returns
// nothing before the entry has joined, because a member list with this entry alone would
// make it the owner of every flow.
func (d *deliveredView) diff(view *viewer.View) []forwarder.Input {
	if !view.Joined {
		return nil
	}
	var inputs []forwarder.Input
	if !d.hasMembers || view.MembersRevision != d.membersRevision {
		d.hasMembers, d.membersRevision = true, view.MembersRevision
		change := forwarder.MembersChanged{Members: make([]forwarder.Member, 0, len(view.Members))}
		for _, m := range view.Members {
			change.Members = append(change.Members, forwarder.Member{Name: m.Name, DataCentre: m.DataCentre, PacketAddress: m.PacketAddress})
		}
		inputs = append(inputs, change)
	}
	inputs = append(inputs, d.diffRecords(view)...)
	if view.Catalog != nil && view.Catalog.Version > d.version {
		d.version = view.Catalog.Version
		inputs = append(inputs, forwarder.CatalogChanged{Catalog: *view.Catalog})
	}
	if view.Pauses != d.pauses {
		d.pauses, d.isCurrent = view.Pauses, false
	}
	if view.Ready && !d.isCurrent {
		d.isCurrent = true
		inputs = append(inputs, forwarder.PlacerInput{Input: placer.ViewSynchronized{}})
	}
	d.revision = view.Revision
	return inputs
}

func (d *deliveredView) diffRecords(view *viewer.View) []forwarder.Input {
	changed, removed, ok := view.ChangedSince(d.revision)
	if !ok {
		// The view no longer remembers all removals, so replace all records.
		all := forwarder.RecordsReplaced{}
		for _, r := range view.Records {
			all.Records = append(all.Records, r.Record)
		}
		return []forwarder.Input{all}
	}
	if len(changed) == 0 && len(removed) == 0 {
		return nil
	}
	return []forwarder.Input{forwarder.RecordsChanged{Changed: changed, Removed: removed}}
}
