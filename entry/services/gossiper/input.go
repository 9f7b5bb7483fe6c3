package gossiper

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Input is something that a Machine reacts to.
type Input interface{ isInput() }

// Tick lets time pass. It is expected every TickPeriod.
type Tick struct{}

// Received is an envelope from another entry.
type Received struct{ Envelope messenger.Envelope }

// RecordChanged is a record that this entry has decided on as its holder.
type RecordChanged struct{ Record announcer.Record }

// VersionChanged tells which configuration version this entry now holds.
type VersionChanged struct{ Version uint64 }

// VersionConfirmed tells that control has just confirmed the version held.
type VersionConfirmed struct{}

// RemotesChanged sets the gRPC addresses of the entries of other regions.
type RemotesChanged struct{ Addresses []netip.AddrPort }

// Leave makes the entry leave the membership. Ticks are still needed to spread
// the news.
type Leave struct{}

func (Tick) isInput()             {}
func (Received) isInput()         {}
func (RecordChanged) isInput()    {}
func (VersionChanged) isInput()   {}
func (VersionConfirmed) isInput() {}
func (RemotesChanged) isInput()   {}
func (Leave) isInput()            {}

// Output is something that a Machine asks for or tells.
type Output interface{ isOutput() }

// Send asks for an envelope to be delivered. It may get lost.
type Send struct {
	To       netip.AddrPort
	Envelope messenger.Envelope
}

// MembersChanged carries all live members in the order of their names: this
// entry, unless it leaves, and those that are alive or suspect.
type MembersChanged struct {
	Members []messenger.Member
	// Lost is the number of members of this entry's data centre that died in
	// the last 10 min.
	Lost int
}

// RecordUpdated is a new or changed record that another entry decided on.
type RecordUpdated struct{ Record announcer.Record }

// RecordRemoved is a record that lapsed so long ago that it was dropped.
type RecordRemoved struct{ ID announcer.ID }

// VersionHeard tells of a configuration version that a peer holds and this
// entry does not.
type VersionHeard struct {
	Version uint64
	From    netip.AddrPort
}

// MajorityHeard tells that, since the start or since a freeze, a majority of the
// members that could be reached have told their configuration version.
type MajorityHeard struct{ Version uint64 }

// SummaryHeard tells of a data centre of another region.
type SummaryHeard struct{ Summary messenger.Summary }

// Joined tells that the state of a first peer was received, or that there is
// none.
type Joined struct{}

// Thawed tells that the process did not run for a while.
type Thawed struct{ Gap time.Duration }

// Superseded tells that another process uses this entry's name with a higher
// incarnation and another address.
type Superseded struct{ By messenger.Member }

func (Send) isOutput()           {}
func (MembersChanged) isOutput() {}
func (RecordUpdated) isOutput()  {}
func (RecordRemoved) isOutput()  {}
func (VersionHeard) isOutput()   {}
func (MajorityHeard) isOutput()  {}
func (SummaryHeard) isOutput()   {}
func (Joined) isOutput()         {}
func (Thawed) isOutput()         {}
func (Superseded) isOutput()     {}
