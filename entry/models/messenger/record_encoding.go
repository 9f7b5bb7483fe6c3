package messenger

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Record is an announcer.Record with a compact encoding.
type Record struct {
	announcer.Record
	// Age is the time since the record lapsed, 0 if it has not lapsed. It is encoded in
	// whole seconds.
	Age time.Duration
}

// announcedStates maps wire numbers to states: the index is the number on the wire.
var announcedStates = []announcer.State{
	announcer.StateStarting, announcer.StateReady, announcer.StateDraining, announcer.StateLeaving,
}

type wireAnnouncement struct {
	_           struct{} `cbor:",toarray"`
	Service     string
	Host        string
	Address     netip.AddrPort
	DataCentre  string
	Slots       int
	Connections int
	Incarnation uint64
	Sequence    uint64
	State       uint8
}

type wireRecord struct {
	_            struct{} `cbor:",toarray"`
	Announcement wireAnnouncement
	Holder       string
	Epoch        uint64
	Lapsed       bool
	RampStep     uint8
	AgeSeconds   uint32
}

// wireClaimedRecord has a claim in addition. Records without one are encoded as before, so that
// entries of an earlier version read them.
type wireClaimedRecord struct {
	_ struct{} `cbor:",toarray"`
	wireRecord
	Claim uint64
}

// wireTermRecord has a term in addition. Records without one are encoded as before.
type wireTermRecord struct {
	_ struct{} `cbor:",toarray"`
	wireRecord
	Claim, Term uint64
}

func toWire(a announcer.Announcement) wireAnnouncement {
	wire := wireAnnouncement{
		Service: a.Service, Host: a.Host, Address: a.Address, DataCentre: a.DataCentre, Slots: a.Slots,
		Connections: a.Connections, Incarnation: a.Incarnation, Sequence: a.Sequence, State: uint8(len(announcedStates)),
	}
	for i, s := range announcedStates {
		if s == a.State {
			wire.State = uint8(i)
		}
	}
	return wire
}

func fromWire(w wireAnnouncement) (announcer.Announcement, error) {
	if int(w.State) >= len(announcedStates) {
		return announcer.Announcement{}, fmt.Errorf("unknown state number %d of backend server %s/%s", w.State, w.Service, w.Host)
	}
	return announcer.Announcement{
		ID: announcer.ID{Service: w.Service, Host: w.Host}, Address: w.Address, DataCentre: w.DataCentre, Slots: w.Slots,
		Connections: w.Connections, Incarnation: w.Incarnation, Sequence: w.Sequence, State: announcedStates[w.State],
	}, nil
}

// MarshalCBOR encodes the record as an array.
func (r Record) MarshalCBOR() ([]byte, error) {
	wire := wireRecord{
		Announcement: toWire(r.Announcement), Holder: r.Holder, Epoch: r.Epoch, Lapsed: r.Lapsed, RampStep: r.RampStep,
		AgeSeconds: uint32(r.Age / time.Second),
	}
	switch {
	case r.Term != 0:
		return cbor.Marshal(wireTermRecord{wireRecord: wire, Claim: r.Claim, Term: r.Term})
	case r.Claim != 0:
		return cbor.Marshal(wireClaimedRecord{wireRecord: wire, Claim: r.Claim})
	default:
		return cbor.Marshal(wire)
	}
}

// decodeWireRecord decodes any of the encodings of a record.
func decodeWireRecord(data []byte) (wireTermRecord, error) {
	var wire wireTermRecord
	if cbor.Unmarshal(data, &wire) == nil {
		return wire, nil
	}
	var claimed wireClaimedRecord
	if cbor.Unmarshal(data, &claimed) == nil {
		return wireTermRecord{wireRecord: claimed.wireRecord, Claim: claimed.Claim}, nil
	}
	var plain wireRecord
	err := cbor.Unmarshal(data, &plain)
	return wireTermRecord{wireRecord: plain}, err
}

// UnmarshalCBOR decodes the record. It returns an error if the state number is
// unknown.
func (r *Record) UnmarshalCBOR(data []byte) error {
	wire, err := decodeWireRecord(data)
	if err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	announcement, err := fromWire(wire.Announcement)
	if err != nil {
		return err
	}
	*r = Record{
		Record: announcer.Record{
			Announcement: announcement, Holder: wire.Holder, Epoch: wire.Epoch, Lapsed: wire.Lapsed, RampStep: wire.RampStep,
			Claim: wire.Claim, Term: wire.Term,
		},
		Age: time.Duration(wire.AgeSeconds) * time.Second,
	}
	return nil
}
