package decider

import (
	"context"

	"github.com/redwingledge/redwingledge/entry/models/viewer"
	"github.com/redwingledge/redwingledge/entry/services/forwarder"
	"github.com/redwingledge/redwingledge/entry/services/placer"
)

// Source offers the view that membership and configuration make.
type Source interface {
	View() *viewer.View
}

// Watch passes each change of the view to the decider until ctx ends. It runs on
// the caller's goroutine.
func (d *Decider) Watch(ctx context.Context, source Source) {
	var seen seenView
	for ctx.Err() == nil {
		view := source.View()
		for _, input := range seen.diff(view) {
			d.Change(ctx, input)
		}
		select {
		case <-view.Changed():
		case <-ctx.Done():
		}
	}
}

// seenView is what has been passed on of the view.
type seenView struct {
	revision        uint64
	membersRevision uint64
	version         uint64
	thaws           uint64
	isCurrent       bool
	hasMembers      bool
}

// diff returns the inputs that lead from the seen view to the given one.
// Members and records come before the catalog, so that the first tables are
// complete. Nothing is passed on before the entry has joined: a list of members
// with this entry alone would make it the owner of every flow.
func (s *seenView) diff(view *viewer.View) []forwarder.Input {
	if !view.Joined {
		return nil
	}
	var inputs []forwarder.Input
	if !s.hasMembers || view.MembersRevision != s.membersRevision {
		s.hasMembers, s.membersRevision = true, view.MembersRevision
		change := forwarder.MembersChanged{Members: make([]forwarder.Member, 0, len(view.Members))}
		for _, m := range view.Members {
			change.Members = append(change.Members, forwarder.Member{Name: m.Name, DataCentre: m.DataCentre, PacketAddress: m.PacketAddress})
		}
		inputs = append(inputs, change)
	}
	inputs = append(inputs, s.diffRecords(view)...)
	if view.Catalog != nil && view.Catalog.Version > s.version {
		s.version = view.Catalog.Version
		inputs = append(inputs, forwarder.CatalogChanged{Catalog: *view.Catalog})
	}
	if view.Thaws != s.thaws {
		s.thaws, s.isCurrent = view.Thaws, false
	}
	if view.Ready && !s.isCurrent {
		s.isCurrent = true
		inputs = append(inputs, forwarder.PlacerInput{Input: placer.ViewCurrent{}})
	}
	s.revision = view.Revision
	return inputs
}

func (s *seenView) diffRecords(view *viewer.View) []forwarder.Input {
	changed, removed, ok := view.ChangedSince(s.revision)
	if !ok {
		// The view has forgotten removals; the forwarder replaces all records.
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
