package leaser

import (
	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Input is an event that a Machine processes.
type Input interface{ isInput() }

// Tick advances the time. The Machine expects one every 100 ms.
type Tick struct{}

// MembersChanged carries the live entries of the region.
type MembersChanged struct {
	Members []messenger.Member
	// RecentDeaths is the number of entries of this entry's data centre that died recently.
	RecentDeaths int
}

// AnnouncementReceived is an announcement that a backend server has sent to this entry. It
// has been authenticated and validated.
type AnnouncementReceived struct{ Announcement announcer.Announcement }

// RecordUpdated is a record that another entry has changed.
type RecordUpdated struct{ Record announcer.Record }

// RecordRemoved is a record that the membership has removed.
type RecordRemoved struct{ ID announcer.ID }

// Observed carries what the packet path has counted for a backend server since the previous
// report.
type Observed struct {
	ID        announcer.ID
	Responses uint32
	// Failures counts resets.
	Failures uint32
}

// BatchReceived is a batch of renewals and observations that another entry has forwarded.
type BatchReceived struct{ Batch messenger.RenewalBatch }

// BatchFailed is a batch of this entry that could not be delivered.
type BatchFailed struct{ Batch messenger.RenewalBatch }

func (BatchFailed) isInput()          {}
func (Tick) isInput()                 {}
func (MembersChanged) isInput()       {}
func (AnnouncementReceived) isInput() {}
func (RecordUpdated) isInput()        {}
func (RecordRemoved) isInput()        {}
func (Observed) isInput()             {}
func (BatchReceived) isInput()        {}

// Output is a change or a request that results from an Input.
type Output interface{ isOutput() }

// RecordChanged is a record that this entry has changed and that must be gossiped.
type RecordChanged struct{ Record announcer.Record }

// RecordPublished is a record as the other components of the entry must use it. It is
// marked as lapsed while no reachable entry tracks its lease.
type RecordPublished struct{ Record announcer.Record }

// Removed is a record that no longer exists.
type Removed struct{ ID announcer.ID }

// Forward asks for a batch to be sent to another entry.
type Forward struct {
	To    messenger.Member
	Batch messenger.RenewalBatch
}

// Answered is the response to an AnnouncementReceived input.
type Answered struct {
	// Stale is set if a later announcement has already been applied.
	Stale bool
	// AddressOwner is set if another active backend server has the address.
	AddressOwner announcer.ID
}

func (RecordChanged) isOutput()   {}
func (RecordPublished) isOutput() {}
func (Removed) isOutput()         {}
func (Forward) isOutput()         {}
func (Answered) isOutput()        {}
