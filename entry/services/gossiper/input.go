package gossiper

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Input is an event that a Machine processes.
type Input interface{ isInput() }

// Tick advances the time. It is expected every TickPeriod.
type Tick struct{}

// Received carries an envelope from another entry.
type Received struct{ Envelope messenger.Envelope }

// RecordChanged carries a record that this entry has created or changed as its holder.
type RecordChanged struct{ Record announcer.Record }

// VersionChanged carries the configuration version that this entry now holds.
type VersionChanged struct{ Version uint64 }

// VersionConfirmed reports that control has just confirmed that it holds no newer
// version.
type VersionConfirmed struct{}

// OtherRegionsChanged sets the gRPC addresses of the entries of other regions.
type OtherRegionsChanged struct{ Addresses []netip.AddrPort }

// Leave makes the entry leave the membership. Ticks are still needed to disseminate the
// departure.
type Leave struct{}

func (Tick) isInput()                {}
func (Received) isInput()            {}
func (RecordChanged) isInput()       {}
func (VersionChanged) isInput()      {}
func (VersionConfirmed) isInput()    {}
func (OtherRegionsChanged) isInput() {}
func (Leave) isInput()               {}

// Output is an action that a Machine requests or a change that it reports.
type Output interface{ isOutput() }

// Send requests the delivery of an envelope, which may get lost.
type Send struct {
	To       netip.AddrPort
	Envelope messenger.Envelope
}

// MembersChanged carries all live members, sorted by name: this entry, unless it is
// leaving, and the members that are alive or suspect.
type MembersChanged struct {
	Members []messenger.Member
	// RecentDeaths is the number of members of this entry's data centre that died in
	// the last 10 min.
	RecentDeaths int
}

// RecordUpdated carries a record that another entry has created or changed.
type RecordUpdated struct{ Record announcer.Record }

// RecordRemoved carries the ID of a lapsed record that was dropped at the end of its
// retention.
type RecordRemoved struct{ ID announcer.ID }

// NewerVersionReported reports a configuration version that a peer holds and that is newer than
// this entry's.
type NewerVersionReported struct {
	Version uint64
	From    netip.AddrPort
}

// MajorityReported reports that a majority of the reachable members have told their
// configuration version since the start or since the last pause of the process. Version
// is the highest version known.
type MajorityReported struct{ Version uint64 }

// SummaryReceived carries the summary of a data centre of another region.
type SummaryReceived struct{ Summary messenger.Summary }

// Joined reports that the state of a first peer was received, or that no seed is set or
// answered in time.
type Joined struct{}

// Resumed reports that the process did not run for the duration Gap.
type Resumed struct{ Gap time.Duration }

// NameConflictDetected reports that another process uses this entry's name with a higher
// incarnation and another address.
type NameConflictDetected struct{ By messenger.Member }

func (Send) isOutput()                 {}
func (MembersChanged) isOutput()       {}
func (RecordUpdated) isOutput()        {}
func (RecordRemoved) isOutput()        {}
func (NewerVersionReported) isOutput() {}
func (MajorityReported) isOutput()     {}
func (SummaryReceived) isOutput()      {}
func (Joined) isOutput()               {}
func (Resumed) isOutput()              {}
func (NameConflictDetected) isOutput() {}
