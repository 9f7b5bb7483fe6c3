package steward

import (
	"net/netip"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Input is something that a Machine reacts to.
type Input interface{ isInput() }

// Tick lets time pass. It is expected every gossiper.TickPeriod.
type Tick struct{}

// Received is an envelope from another entry.
type Received struct{ Envelope messenger.Envelope }

// Announced is an authenticated and checked announcement. It is answered by one
// Answered.
type Announced struct{ Announcement announcer.Announcement }

// Observed tells what the packet path has seen of a backend server since the last
// report.
type Observed struct {
	ID        announcer.ID
	Responses uint32
	// Failures counts resets and unanswered SYNs.
	Failures uint32
}

// Polled answers Poll. Catalog is nil if control has none newer.
type Polled struct {
	Catalog *cataloger.Catalog
	Failed  bool
}

// Fetched answers Fetch. Catalog is nil if the peer has none newer.
type Fetched struct {
	Address netip.AddrPort
	Catalog *cataloger.Catalog
	Failed  bool
}

// Undelivered is an envelope that could not be delivered.
type Undelivered struct{ Envelope messenger.Envelope }

// Leave makes the entry leave the membership.
type Leave struct{}

func (Tick) isInput()      {}
func (Received) isInput()  {}
func (Announced) isInput() {}
func (Observed) isInput()  {}
func (Polled) isInput()    {}
func (Fetched) isInput()   {}
func (Leave) isInput()     {}

func (Undelivered) isInput() {}

// Output is something that a Machine asks for or tells.
type Output interface{ isOutput() }

// Send asks for an envelope to be delivered. It may get lost. A failure is to be
// told by Undelivered.
type Send struct {
	To       netip.AddrPort
	Envelope messenger.Envelope
}

// Poll asks for a call to control. It must be answered by Polled.
type Poll struct {
	Address netip.AddrPort
	Known   uint64
}

// Fetch asks for the catalog of a peer. It must be answered by Fetched.
type Fetch struct {
	Address netip.AddrPort
	Known   uint64
}

// Answered answers Announced.
type Answered struct {
	// NotJoined is set if this entry does not know the records yet. Another entry
	// should be asked.
	NotJoined bool
	// Stale is set if a later announcement was already known.
	Stale bool
	// AddressUser is set if another backend server in force has the address.
	AddressUser announcer.ID
}

// MembersChanged carries all live entries of the region in the order of their
// names.
type MembersChanged struct{ Members []messenger.Member }

// RecordShown is a new or changed record. It is shown as lapsed while nobody who
// can be reached times its lease.
type RecordShown struct{ Record announcer.Record }

// RecordRemoved is a record that no longer exists.
type RecordRemoved struct{ ID announcer.ID }

// CatalogChanged carries a newer configuration.
type CatalogChanged struct{ Catalog *cataloger.Catalog }

// SummaryHeard tells of a data centre of another region.
type SummaryHeard struct{ Summary messenger.Summary }

// Joined tells that the state of a first peer was received, or that there is
// none.
type Joined struct{}

// Ready tells that the configuration is as new as a majority of the reachable
// entries know.
type Ready struct{}

// Thawed tells that the process did not run for a while. Ready is emitted again
// once the configuration is known to be current.
type Thawed struct{ Gap time.Duration }

// Superseded tells that another process uses this entry's name.
type Superseded struct{ By messenger.Member }

func (Send) isOutput()           {}
func (Poll) isOutput()           {}
func (Fetch) isOutput()          {}
func (Answered) isOutput()       {}
func (MembersChanged) isOutput() {}
func (RecordShown) isOutput()    {}
func (RecordRemoved) isOutput()  {}
func (CatalogChanged) isOutput() {}
func (SummaryHeard) isOutput()   {}
func (Joined) isOutput()         {}
func (Ready) isOutput()          {}
func (Thawed) isOutput()         {}
func (Superseded) isOutput()     {}
