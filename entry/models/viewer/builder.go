package viewer

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Builder collects changes and publishes views. Get is safe for concurrent use. All
// other methods must be called from one goroutine.
type Builder struct {
	current atomic.Pointer[View]
	next    View
	records map[announcer.ID]Record
	dirty   bool
	// recordsDirty is set if the sorted list of records must be rebuilt.
	recordsDirty bool
}

// NewBuilder returns a Builder with an empty view.
func NewBuilder() *Builder {
	b := &Builder{records: make(map[announcer.ID]Record)}
	b.current.Store(&View{changed: make(chan struct{})})
	return b
}

// Get returns the current view.
func (b *Builder) Get() *View { return b.current.Load() }

// SetMembers sets the live entries.
func (b *Builder) SetMembers(members []messenger.Member) {
	b.next.Members, b.next.MembersRevision = members, b.nextRevision()
	b.dirty = true
}

// SetRecord adds or replaces a record. It does nothing if the record is unchanged.
func (b *Builder) SetRecord(record announcer.Record) {
	if known, ok := b.records[record.ID]; ok && known.Record == record {
		return
	}
	b.records[record.ID] = Record{Record: record, Revision: b.nextRevision()}
	b.dirty, b.recordsDirty = true, true
}

// RemoveRecord removes a record and remembers the removal for readers of the view.
func (b *Builder) RemoveRecord(id announcer.ID) {
	if _, ok := b.records[id]; !ok {
		return
	}
	delete(b.records, id)
	removed := append(slices.Clone(b.next.Removed), Removal{ID: id, Revision: b.nextRevision()})
	b.next.Removed = removed[max(0, len(removed)-maxRemoved):]
	b.dirty, b.recordsDirty = true, true
}

// SetCatalog sets the configuration.
func (b *Builder) SetCatalog(c *cataloger.Catalog) { b.next.Catalog, b.dirty = c, true }

// SetSummary stores the latest summary of a data centre of another region.
func (b *Builder) SetSummary(summary messenger.Summary, now time.Time) {
	summaries := maps.Clone(b.next.Summaries)
	if summaries == nil {
		summaries = make(map[string]Summary)
	}
	summaries[summary.DataCentre] = Summary{Summary: summary, ReceivedAt: now}
	b.next.Summaries, b.dirty = summaries, true
}

// SetJoined records that the state of a first peer has been received.
func (b *Builder) SetJoined() { b.next.Joined, b.dirty = true, true }

// SetReady sets whether the configuration is current.
func (b *Builder) SetReady(ready bool) {
	b.next.Ready, b.next.ReadyRevision = ready, b.nextRevision()
	b.dirty = true
}

// AddPause counts a pause of the process, after which the configuration may be outdated.
func (b *Builder) AddPause() {
	b.next.Pauses++
	b.SetReady(false)
}

// Publish publishes a new view if anything has changed.
func (b *Builder) Publish() {
	if !b.dirty {
		return
	}
	if b.recordsDirty {
		b.next.Records = make([]Record, 0, len(b.records))
		for _, r := range b.records {
			b.next.Records = append(b.next.Records, r)
		}
		slices.SortFunc(b.next.Records, func(a, b Record) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host))
		})
	}
	b.next.Revision = b.nextRevision()
	b.dirty, b.recordsDirty = false, false
	published := b.next
	published.changed = make(chan struct{})
	close(b.current.Swap(&published).changed)
}

// nextRevision returns the revision of the next view.
func (b *Builder) nextRevision() uint64 { return b.next.Revision + 1 }
