package coordinator

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Input is an event that a Machine processes.
type Input interface{ isInput() }

// Tick advances the time. The Machine expects one every gossiper.TickPeriod.
type Tick struct{}

// EnvelopeReceived is an envelope that another entry has sent.
type EnvelopeReceived struct{ Envelope messenger.Envelope }

// AnnouncementReceived is an authenticated and validated announcement. It results in exactly one
// Answered.
type AnnouncementReceived struct{ Announcement announcer.Announcement }

// Observed carries what the packet path has counted for a backend server since the
// previous report.
type Observed struct {
	ID        announcer.ID
	Responses uint32
	// Failures counts resets.
	Failures uint32
}

// Polled is the response to Poll. Catalog is nil if control has no newer one.
type Polled struct {
	Catalog *cataloger.Catalog
	Failed  bool
}

// Fetched is the response to Fetch. Catalog is nil if the peer has no newer one.
type Fetched struct {
	Address netip.AddrPort
	Catalog *cataloger.Catalog
	Failed  bool
}

// DeliveryFailed is an envelope of this entry that could not be delivered.
type DeliveryFailed struct{ Envelope messenger.Envelope }

// Leave makes the entry leave the membership.
type Leave struct{}

func (Tick) isInput()                 {}
func (EnvelopeReceived) isInput()     {}
func (AnnouncementReceived) isInput() {}
func (Observed) isInput()             {}
func (Polled) isInput()               {}
func (Fetched) isInput()              {}
func (Leave) isInput()                {}

func (DeliveryFailed) isInput() {}

// Output is a request or a notification of a Machine.
type Output interface{ isOutput() }

// Send requests the delivery of an envelope. The envelope may be lost. A failed
// delivery must be reported by DeliveryFailed.
type Send struct {
	To       netip.AddrPort
	Envelope messenger.Envelope
}

// Poll requests a call to a control replica for a catalog newer than version Known. Its
// result must be reported by Polled.
type Poll struct {
	Address netip.AddrPort
	Known   uint64
}

// Fetch requests a call to a peer for a catalog newer than version Known. Its result must
// be reported by Fetched.
type Fetch struct {
	Address netip.AddrPort
	Known   uint64
}

// Answered is the response to AnnouncementReceived.
type Answered struct {
	// NotJoined is set if this entry does not have the records yet. The announcement
	// should be sent to another entry.
	NotJoined bool
	// Stale is set if a later announcement has already been applied.
	Stale bool
	// AddressOwner is set if another active backend server has the address.
	AddressOwner announcer.ID
}

// MembersChanged carries all live entries of the region, sorted by name.
type MembersChanged struct{ Members []messenger.Member }

// RecordPublished is a new or changed record. It is marked as lapsed while no reachable
// entry tracks its lease.
type RecordPublished struct{ Record announcer.Record }

// RecordRemoved is a record that no longer exists.
type RecordRemoved struct{ ID announcer.ID }

// CatalogChanged carries a newer configuration.
type CatalogChanged struct{ Catalog *cataloger.Catalog }

// SummaryReceived carries the summary of a data centre of another region.
type SummaryReceived struct{ Summary messenger.Summary }

// Joined reports that the state of a first peer has been received, or that there is
// no peer.
type Joined struct{}

// Ready reports that the configuration is at least as new as the one that a majority
// of the reachable entries knows.
type Ready struct{}

// Resumed reports that the process was paused for the duration Gap. Ready is emitted
// again once the configuration is known to be current.
type Resumed struct{ Gap time.Duration }

// NameConflictDetected reports that another process uses the name of this entry.
type NameConflictDetected struct{ By messenger.Member }

func (Send) isOutput()                 {}
func (Poll) isOutput()                 {}
func (Fetch) isOutput()                {}
func (Answered) isOutput()             {}
func (MembersChanged) isOutput()       {}
func (RecordPublished) isOutput()      {}
func (RecordRemoved) isOutput()        {}
func (CatalogChanged) isOutput()       {}
func (SummaryReceived) isOutput()      {}
func (Joined) isOutput()               {}
func (Ready) isOutput()                {}
func (Resumed) isOutput()              {}
func (NameConflictDetected) isOutput() {}
