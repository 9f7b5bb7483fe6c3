// Package viewer defines the view that an entry has of its region: live entries,
// records of backend servers and the configuration.
package viewer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// maxRemoved bounds how many removed records a view remembers. A reader that is
// further behind gets all records again.
const maxRemoved = 1024

// View is immutable. A change makes a new one.
type View struct {
	// Revision grows with each view of a process.
	Revision uint64
	// Members are the live entries of the region in the order of their names.
	Members         []messenger.Member
	MembersRevision uint64
	// Records are in the order of their IDs. Those whose lease nobody in reach
	// times are shown as lapsed.
	Records []Record
	// Removed are the latest removed records, oldest first.
	Removed []Removal
	// Catalog is nil until the first configuration was received.
	Catalog *cataloger.Catalog
	// Joined is set once the state of a first peer was received, or there is
	// none.
	Joined bool
	// Ready is set while the configuration is as new as a majority of the
	// reachable entries know. It is unset after a freeze.
	Ready         bool
	ReadyRevision uint64
	// Thaws counts how often the process did not run for over a second.
	Thaws uint64
	// Summaries are the latest of the data centres of other regions, by name.
	Summaries map[string]Summary

	changed chan struct{}
}

// Summary is what another region has told of a data centre.
type Summary struct {
	messenger.Summary
	HeardAt time.Time
}

// Record is a record and the revision of the view in which it last changed.
type Record struct {
	announcer.Record
	Revision uint64
}

// Removal is a removed record and the revision of the view without it.
type Removal struct {
	ID       announcer.ID
	Revision uint64
}

// Changed returns a channel that is closed once there is a newer view.
func (v *View) Changed() <-chan struct{} { return v.changed }

// GetMember returns the live entry with the given name.
func (v *View) GetMember(name string) (messenger.Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m messenger.Member, name string) int {
		switch {
		case m.Name < name:
			return -1
		case m.Name > name:
			return 1
		default:
			return 0
		}
	})
	if !ok {
		return messenger.Member{}, false
	}
	return v.Members[i], true
}

// ChangedSince returns the records that changed and those that were removed
// after the given revision, or all records after revision 0. It returns false if
// the view does not remember that far back.
func (v *View) ChangedSince(revision uint64) (changed []announcer.Record, removed []announcer.ID, ok bool) {
	if revision > v.Revision || (revision > 0 && len(v.Removed) == maxRemoved && revision < v.Removed[0].Revision) {
		return nil, nil, false
	}
	for _, r := range v.Records {
		if r.Revision > revision {
			changed = append(changed, r.Record)
		}
	}
	for _, r := range v.Removed {
		if r.Revision > revision {
			removed = append(removed, r.ID)
		}
	}
	return changed, removed, true
}
