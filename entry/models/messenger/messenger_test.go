package messenger_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

func envelope() messenger.Envelope {
	addr := netip.MustParseAddrPort("[2001:db8::1]:7000")
	member := messenger.Member{
		Name: "entry-1", Incarnation: 9, State: messenger.MemberSuspect, DataCentre: "kano-a", Region: "ng-north",
		Address: addr, PacketAddress: addr,
	}
	record := messenger.Record{
		Record: announcer.Record{
			Announcement: announcer.Announcement{
				ID: announcer.ID{Service: "sack-orders", Host: "host-1"}, Address: addr, DataCentre: "kano-a", Slots: 2,
				Connections: 2000, Incarnation: 3, Sequence: 4, State: announcer.StateDraining,
			},
			Holder: "entry-1", Epoch: 5, Lapsed: true, RampStep: 2,
		},
		Age: 90 * time.Second,
	}
	claimed := record
	claimed.Claim = 2
	reinstated := record
	reinstated.Term = 3
	members, records := []messenger.Member{member}, []messenger.Record{record, claimed, reinstated}
	digests := []messenger.ItemDigest{{Key: 1, Value: 2}}
	return messenger.Envelope{From: "entry-1", Incarnation: 9, Messages: []messenger.Message{
		messenger.Probe{Sequence: 1, Address: addr},
		messenger.ProbeAck{Sequence: 2},
		messenger.IndirectProbe{Sequence: 3, Target: "entry-2", Address: addr},
		messenger.Rumours{Version: 7, Members: members, Records: records, AgeSeconds: 3},
		messenger.Join{Self: member},
		messenger.SyncRoots{Self: member, Members: 1, Records: 2},
		messenger.SyncBuckets{Self: member, Members: []uint64{1}, Records: []uint64{2}},
		messenger.SyncPull{MemberBuckets: []uint8{1}, RecordBuckets: []uint8{2}, Members: digests, Records: digests},
		messenger.SyncItems{Members: members, Records: records, WantedMembers: []uint64{1}, WantedRecords: []uint64{2}, JoinDone: true},
		messenger.RenewalBatch{
			Renewals:     []messenger.Renewal{{Service: "s", Host: "h", Incarnation: 1, Sequence: 2}},
			Observations: []messenger.Observation{{Service: "s", Host: "h", Responses: 1, Failures: 2}},
		},
		messenger.Summary{Region: "r", DataCentre: "d", Version: 1, Entries: 2, ReadyServers: 3, Address: addr},
	}}
}

// Guards against fields that are lost in the encoding, and against messages that are
// decoded as another kind.
func TestEnvelopeKeepsAllFields(t *testing.T) {
	t.Parallel()
	data, err := cbor.Marshal(envelope())
	require.NoError(t, err)
	var decoded messenger.Envelope
	require.NoError(t, cbor.Unmarshal(data, &decoded))
	require.Equal(t, envelope(), decoded)
}

// Guards against a record encoding so large that few records fit into a message.
func TestRecordIsCompact(t *testing.T) {
	t.Parallel()
	rumours, ok := envelope().Messages[3].(messenger.Rumours)
	require.True(t, ok)
	for _, record := range rumours.Records {
		data, err := cbor.Marshal(record)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), 100)
	}
}

// Guards against input from a peer that causes a panic, and against messages of a newer
// version that make the other messages of the envelope unreadable.
func FuzzEnvelope(f *testing.F) {
	data, err := cbor.Marshal(envelope())
	require.NoError(f, err)
	f.Add(data)
	type wire struct {
		_    struct{} `cbor:",toarray"`
		Kind messenger.Kind
		Body any
	}
	newer, err := cbor.Marshal([]any{"entry-1", 9, []any{wire{Kind: 48, Body: "new"}, wire{Kind: 1, Body: map[int]int{1: 5}}}})
	require.NoError(f, err)
	f.Add(newer)
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded messenger.Envelope
		if cbor.Unmarshal(data, &decoded) != nil {
			return
		}
		again, err := cbor.Marshal(decoded)
		require.NoError(t, err)
		var second messenger.Envelope
		require.NoError(t, cbor.Unmarshal(again, &second))
		// Empty and absent lists are equivalent, so compare the encodings.
		third, err := cbor.Marshal(second)
		require.NoError(t, err)
		require.Equal(t, again, third)
	})
}
