package messenger

import (
	"reflect"
	"testing"
)

// Guards against messages that lose fields in the encoding, and against message kinds
// that the decoder does not know.
func TestPlacementMessagesRoundTrip(t *testing.T) {
	sent := Envelope{From: "entry-0", Incarnation: 7, Messages: []Message{
		Placements{Targets: []uint64{1, 2}, Flows: []byte{1, 2, 3}, IsReplacing: true},
		FlowQuery{ID: 3, Flows: []byte{4}, Service: 5},
		FlowAnswer{ID: 3, Targets: []uint64{6}, Flows: []byte{7}},
		Digest{Service: 1, Version: 2, Stream: 3, Phase: PhaseCorrection, Part: 4, IsLast: true, Targets: []uint64{5}, Groups: []byte{6}},
		DigestAck{Stream: 1 << 40, Part: 2},
		Readiness{IsReady: true, Sequence: 1 << 60, WantsAnswer: true, WantsTransfer: true},
	}}
	data, err := sent.MarshalCBOR()
	if err != nil {
		t.Fatal(err)
	}
	var got Envelope
	if err := got.UnmarshalCBOR(data); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v, want %+v", got, sent)
	}
}
