// Package viewer defines an entry's view of its region: the live entries, the
// records of backend servers and the configuration.
package viewer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// maxRemoved is the number of removed records that a view remembers. A reader that
// is further behind gets all records again.
const maxRemoved = 1024

// View is an immutable snapshot. Each change is published as a new View.
type View struct {
	// Revision increases with each view that the process publishes.
	Revision uint64
	// Members are the live entries of the region, sorted by name.
	Members         []messenger.Member
	MembersRevision uint64
	// Records are sorted by ID. A record is also shown as lapsed while its holder and
	// all entries of its data centre are unreachable.
	Records []Record
	// Removed are the most recently removed records, oldest first.
	Removed []Removal
	// Catalog is nil until the first configuration has been received.
	Catalog *cataloger.Catalog
	// Joined is set once the state of a first peer has been received, or if there
	// is no peer.
	Joined bool
	// Ready is set while the configuration is at least as new as the one that a
	// majority of the reachable entries hold. It is unset after a process pause.
	Ready         bool
	ReadyRevision uint64
	// Pauses counts process pauses of more than one second.
	Pauses uint64
	// Summaries are the latest summaries of data centres of other regions, by name.
	Summaries map[string]Summary

	changed chan struct{}
}

// Summary is a summary of a data centre of another region and the time of its receipt.
type Summary struct {
	messenger.Summary
	ReceivedAt time.Time
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

// Changed returns a channel that is closed when a newer view is published.
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

// ChangedSince returns the records that were changed and the IDs of those that were
// removed after the given revision. Revision 0 returns all records. It returns false
// if the view no longer remembers removals that far back, or if the revision is newer
// than the view.
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
