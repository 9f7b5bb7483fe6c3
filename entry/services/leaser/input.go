package leaser

import (
	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Input is something that a Machine reacts to.
type Input interface{ isInput() }

// Tick lets time pass. It is expected every 100 ms.
type Tick struct{}

// MembersChanged carries the live entries of the region.
type MembersChanged struct {
	Members []messenger.Member
	// Lost is the number of entries of the data centre that died lately.
	Lost int
}

// Announced is an announcement that a backend server has made to this entry. It
// has been authenticated and checked.
type Announced struct{ Announcement announcer.Announcement }

// RecordUpdated is a record that another entry decided on.
type RecordUpdated struct{ Record announcer.Record }

// RecordRemoved is a record that was dropped.
type RecordRemoved struct{ ID announcer.ID }

// Observed tells what the packet path has seen of a backend server since it was
// last reported.
type Observed struct {
	ID        announcer.ID
	Responses uint32
	// Failures counts resets and unanswered SYNs.
	Failures uint32
}

// BatchReceived is a batch that another entry has forwarded.
type BatchReceived struct{ Batch messenger.RenewalBatch }

// BatchFailed is a batch that could not be delivered.
type BatchFailed struct{ Batch messenger.RenewalBatch }

func (BatchFailed) isInput()    {}
func (Tick) isInput()           {}
func (MembersChanged) isInput() {}
func (Announced) isInput()      {}
func (RecordUpdated) isInput()  {}
func (RecordRemoved) isInput()  {}
func (Observed) isInput()       {}
func (BatchReceived) isInput()  {}

// Output is something that a Machine has decided.
type Output interface{ isOutput() }

// Decided is a record that this entry has changed; it is to be spread.
type Decided struct{ Record announcer.Record }

// Shown is a record as the rest of the entry should see it. It is lapsed if
// nobody who can be reached times its lease.
type Shown struct{ Record announcer.Record }

// Removed is a record that no longer exists.
type Removed struct{ ID announcer.ID }

// Forward asks for a batch to be sent to another entry.
type Forward struct {
	To    messenger.Member
	Batch messenger.RenewalBatch
}

// Answered answers an Announced input.
type Answered struct {
	// Stale is set if a later announcement was already known.
	Stale bool
	// AddressUser is set if another backend server in force has the address.
	AddressUser announcer.ID
}

func (Decided) isOutput()  {}
func (Shown) isOutput()    {}
func (Removed) isOutput()  {}
func (Forward) isOutput()  {}
func (Answered) isOutput() {}
