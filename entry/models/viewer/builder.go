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

// Builder collects changes and publishes views. All its methods but Get belong to
// one goroutine; Get is safe for concurrent use.
type Builder struct {
	current atomic.Pointer[View]
	next    View
	records map[announcer.ID]Record
	dirty   bool
	// recordsDirty is set if the list of records must be made again.
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
	b.next.Members, b.next.MembersRevision = members, b.revision()
	b.dirty = true
}

// SetRecord adds or changes a record.
func (b *Builder) SetRecord(record announcer.Record) {
	if known, ok := b.records[record.ID]; ok && known.Record == record {
		return
	}
	b.records[record.ID] = Record{Record: record, Revision: b.revision()}
	b.dirty, b.recordsDirty = true, true
}

// RemoveRecord removes a record.
func (b *Builder) RemoveRecord(id announcer.ID) {
	if _, ok := b.records[id]; !ok {
		return
	}
	delete(b.records, id)
	removed := append(slices.Clone(b.next.Removed), Removal{ID: id, Revision: b.revision()})
	b.next.Removed = removed[max(0, len(removed)-maxRemoved):]
	b.dirty, b.recordsDirty = true, true
}

// SetCatalog sets the configuration.
func (b *Builder) SetCatalog(c *cataloger.Catalog) { b.next.Catalog, b.dirty = c, true }

// SetSummary sets what was heard of a data centre of another region.
func (b *Builder) SetSummary(summary messenger.Summary, now time.Time) {
	summaries := maps.Clone(b.next.Summaries)
	if summaries == nil {
		summaries = make(map[string]Summary)
	}
	summaries[summary.DataCentre] = Summary{Summary: summary, HeardAt: now}
	b.next.Summaries, b.dirty = summaries, true
}

// SetJoined records that the state of a first peer was received.
func (b *Builder) SetJoined() { b.next.Joined, b.dirty = true, true }

// SetReady sets whether the configuration is current.
func (b *Builder) SetReady(ready bool) {
	b.next.Ready, b.next.ReadyRevision = ready, b.revision()
	b.dirty = true
}

// AddThaw counts a freeze, after which the configuration may be old.
func (b *Builder) AddThaw() {
	b.next.Thaws++
	b.SetReady(false)
}

// Publish makes a new view if anything has changed.
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
	b.next.Revision = b.revision()
	b.dirty, b.recordsDirty = false, false
	published := b.next
	published.changed = make(chan struct{})
	close(b.current.Swap(&published).changed)
}

// revision returns the revision of the next view.
func (b *Builder) revision() uint64 { return b.next.Revision + 1 }
