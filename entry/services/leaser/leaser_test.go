package leaser

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// harness runs one machine and keeps what it decides.
type harness struct {
	*Machine
	t        *testing.T
	now      time.Time
	decided  []announcer.Record
	shown    map[announcer.ID]announcer.Record
	forwards []Forward
	answer   Answered
}

func newHarness(t *testing.T, name, dataCentre string, members ...messenger.Member) *harness {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	h := &harness{
		Machine: New(Settings{Name: name, DataCentre: dataCentre, Lease: DefaultLease}, now), t: t, now: now,
		shown: make(map[announcer.ID]announcer.Record),
	}
	h.do(MembersChanged{Members: members})
	return h
}

func (h *harness) do(in Input) {
	for _, out := range h.Step(h.now, in) {
		switch out := out.(type) {
		case Decided:
			h.decided = append(h.decided, out.Record)
		case Shown:
			h.shown[out.Record.ID] = out.Record
		case Forward:
			h.forwards = append(h.forwards, out)
		case Answered:
			h.answer = out
		case Removed:
			delete(h.shown, out.ID)
		}
	}
}

// run ticks for d and renews with each() once a second.
func (h *harness) run(d time.Duration, each func()) {
	for i := range int(d / (100 * time.Millisecond)) {
		h.now = h.now.Add(100 * time.Millisecond)
		h.do(Tick{})
		if i%10 == 9 && each != nil {
			each()
		}
	}
}

// last returns the last decision and forgets it.
func (h *harness) last() announcer.Record {
	h.t.Helper()
	require.NotEmpty(h.t, h.decided)
	last := h.decided[len(h.decided)-1]
	h.decided = nil
	return last
}

func member(name, dataCentre string) messenger.Member {
	return messenger.Member{Name: name, DataCentre: dataCentre, Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:7000")}
}

func announcement(sequence uint64, state announcer.State) announcer.Announcement {
	return announcer.Announcement{
		ID: announcer.ID{Service: "sack-orders", Host: "host-1"}, Address: netip.MustParseAddrPort("10.9.0.1:80"), DataCentre: "a",
		Slots: 2, Connections: 2000, Incarnation: 7, Sequence: sequence, State: state,
	}
}

// renewer announces with growing sequences.
func (h *harness) renewer(sequence uint64) func() {
	return func() {
		sequence++
		h.do(Announced{Announcement: announcement(sequence, announcer.StateReady)})
	}
}

func newHolder(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, "e1", "a", member("e1", "a"))
	h.do(Announced{Announcement: announcement(1, announcer.StateReady)})
	return h
}

// Guards against leases that end in spite of renewals, or do not end without.
func TestLease(t *testing.T) {
	t.Parallel()
	h := newHolder(t)
	require.Equal(t, uint8(0), h.last().RampStep)
	h.run(time.Minute, h.renewer(1))
	require.Empty(t, h.decided, "renewals without a change must not spread")
	h.run(DefaultLease-time.Second, nil)
	require.Empty(t, h.decided)
	h.run(2*time.Second+grace, nil)
	require.True(t, h.last().Lapsed)
	require.False(t, h.shown[announcement(0, "").ID].AcceptsNewFlows())
	h.run(time.Minute, nil)
	require.Empty(t, h.decided, "a lapse is decided once")

	h.do(Announced{Announcement: announcement(500, announcer.StateReady)})
	restored := h.last()
	require.False(t, restored.Lapsed)
	require.Equal(t, uint8(0), restored.RampStep)
}

// Guards against a new holder that lets a lease lapse before the backend server
// had a full lease to renew with it.
func TestNewHolderStartsFullLease(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e1", "a", member("e1", "a"), member("e2", "a"))
	record := announcer.Record{Announcement: announcement(5, announcer.StateReady), Epoch: 3, RampStep: 3}
	for _, host := range []string{"host-1", "host-2", "host-3", "host-4", "host-5", "host-6", "host-7", "host-8"} {
		record.Host, record.Holder = host, h.holderOf(host, "a")
		h.do(RecordUpdated{Record: record})
	}
	held := len(h.leases)
	require.Less(t, held, 8, "the other entry must hold some")
	h.run(time.Minute, func() {
		for id := range h.leases {
			a := record.Announcement
			a.ID, a.Sequence = id, uint64(h.now.Unix())
			h.do(Announced{Announcement: a})
		}
	})
	require.Empty(t, h.decided)
	h.do(MembersChanged{Members: []messenger.Member{member("e1", "a")}, Lost: 1})
	h.run(DefaultLease-time.Second, nil)
	for _, r := range h.decided {
		require.True(t, h.leases[r.ID].renewed, r.ID)
	}
	h.run(2*time.Second+grace, nil)
	require.Len(t, h.leases, 8)
	for id := range h.leases {
		require.True(t, h.shown[id].Lapsed, id)
	}
}

// Guards against full load on a backend server that has just started, and against
// one that turned cold and keeps its load.
func TestRamp(t *testing.T) {
	t.Parallel()
	h := newHolder(t)
	id := announcement(0, "").ID
	renew := h.renewer(1)
	respond := func() {
		renew()
		h.do(Observed{ID: id, Responses: 5})
	}
	h.run(30*time.Second, renew)
	require.Equal(t, uint8(0), h.shown[id].RampStep, "no step without responses")
	for step := uint8(1); step <= announcer.RampSteps; step++ {
		h.run(5*time.Second, respond)
		require.LessOrEqual(t, h.shown[id].RampStep, step)
	}
	h.run(10*time.Second, respond)
	require.Equal(t, uint8(announcer.RampSteps), h.shown[id].RampStep)

	h.do(Observed{ID: id, Failures: 1})
	h.run(20*time.Second, respond)
	require.Equal(t, uint8(announcer.RampSteps), h.shown[id].RampStep, "single failures are no sign")
	h.do(Observed{ID: id, Failures: 50})
	h.run(200*time.Millisecond, nil)
	require.Equal(t, uint8(0), h.shown[id].RampStep)

	restarted := announcement(1, announcer.StateReady)
	restarted.Incarnation = 8
	h.do(Announced{Announcement: restarted})
	require.Equal(t, uint8(0), h.shown[id].RampStep)
	sequence := uint64(1)
	h.run(time.Minute, func() {
		sequence++
		restarted.Sequence = sequence
		h.do(Announced{Announcement: restarted})
	})
	require.False(t, h.shown[id].Lapsed, "sequences start again with an incarnation")
}

// Guards against late or repeated announcements that undo later ones.
func TestStaleAnnouncements(t *testing.T) {
	t.Parallel()
	h := newHolder(t)
	h.do(Announced{Announcement: announcement(9, announcer.StateDraining)})
	h.decided = nil
	older := announcement(50, announcer.StateReady)
	older.Incarnation = 6
	for _, a := range []announcer.Announcement{announcement(8, announcer.StateReady), older} {
		h.do(Announced{Announcement: a})
		require.True(t, h.answer.Stale)
	}
	h.do(Announced{Announcement: announcement(9, announcer.StateDraining)})
	require.False(t, h.answer.Stale, "a resend gets the first answer")
	h.do(Announced{Announcement: announcement(9, announcer.StateReady)})
	require.True(t, h.answer.Stale, "a change needs a new sequence")
	require.Empty(t, h.decided)
	require.Equal(t, announcer.StateDraining, h.shown[older.ID].State)
	h.run(DefaultLease+grace+time.Second, nil)
	h.do(Announced{Announcement: announcement(9, announcer.StateDraining)})
	require.True(t, h.answer.Stale, "a resend does not revive a lapsed record")
}

// Guards against a departure that waits for the holder, and against renewals that
// do not reach it.
func TestOtherEntryAppliesAndForwards(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e2", "b", member("e1", "a"), member("e2", "b"))
	h.do(Announced{Announcement: announcement(1, announcer.StateReady)})
	require.Equal(t, "e1", h.last().Holder)
	h.do(Announced{Announcement: announcement(2, announcer.StateReady)})
	h.do(Announced{Announcement: announcement(3, announcer.StateReady)})
	h.do(Observed{ID: announcement(0, "").ID, Failures: 2})
	h.run(time.Second, nil)
	require.Empty(t, h.decided)
	require.Len(t, h.forwards, 1)
	require.Equal(t, "e1", h.forwards[0].To.Name)
	require.Equal(t, []messenger.Renewal{{Service: "sack-orders", Host: "host-1", Incarnation: 7, Sequence: 3}}, h.forwards[0].Batch.Renewals)
	require.Len(t, h.forwards[0].Batch.Observations, 1)

	failed := h.forwards[0].Batch
	h.forwards = nil
	h.do(BatchFailed{Batch: failed})
	h.run(1100*time.Millisecond, nil)
	require.Len(t, h.forwards, 1)
	require.Equal(t, failed.Renewals, h.forwards[0].Batch.Renewals, "a renewal that was not delivered is sent again")
	h.forwards = nil
	h.run(repeatPeriod, nil)
	h.do(BatchFailed{Batch: failed})
	h.run(2*time.Second, nil)
	require.Empty(t, h.forwards, "an old renewal is given up")

	h.do(Announced{Announcement: announcement(4, announcer.StateLeaving)})
	require.Equal(t, announcer.StateLeaving, h.last().State)
	h.run(time.Minute, nil)
	require.Empty(t, h.decided, "only the holder times the lease")
}

// Guards against a lapse that an entry out of touch has spread and that sticks to
// a backend server that renews.
func TestFalseLapseIsCorrected(t *testing.T) {
	t.Parallel()
	h := newHolder(t)
	id := announcement(0, "").ID
	renew := h.renewer(1)
	h.run(30*time.Second, func() {
		renew()
		h.do(Observed{ID: id, Responses: 1})
	})
	full := h.last()
	require.Equal(t, uint8(announcer.RampSteps), full.RampStep)
	false1 := full.WithLapsed(true)
	false1.Holder = "e9"
	h.do(RecordUpdated{Record: false1})
	corrected := h.last()
	require.False(t, corrected.Lapsed)
	require.Equal(t, full.RampStep, corrected.RampStep)
	require.Positive(t, corrected.Compare(false1))
}

// Guards against lapses that one side of a cut decides for the other: they would
// stop new flows everywhere once the cut heals.
func TestCutDecidesNothing(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e2", "b", member("e1", "a"), member("e2", "b"))
	record := announcer.Record{Announcement: announcement(5, announcer.StateReady), Holder: "e1", Epoch: 1, RampStep: 3}
	h.do(RecordUpdated{Record: record})
	h.do(MembersChanged{Members: []messenger.Member{member("e2", "b")}})
	h.run(DefaultLease-2*time.Second, nil)
	require.True(t, h.shown[record.ID].AcceptsNewFlows(), "its holder may come back")
	h.run(4*time.Second, nil)
	require.False(t, h.shown[record.ID].AcceptsNewFlows())
	h.run(time.Hour, nil)
	require.Empty(t, h.decided)
	h.do(MembersChanged{Members: []messenger.Member{member("e1", "a"), member("e2", "b")}})
	require.Equal(t, record, h.shown[record.ID])

	// Backend servers of a data centre without entries may use another one.
	h.do(MembersChanged{Members: []messenger.Member{member("e2", "b")}})
	h.run(time.Minute, nil)
	h.do(Announced{Announcement: announcement(6, announcer.StateReady)})
	require.Equal(t, "e2", h.last().Holder)
	require.True(t, h.shown[record.ID].AcceptsNewFlows())
	h.run(DefaultLease+grace+time.Second, nil)
	require.True(t, h.last().Lapsed, "the entry that it renewed with times the lease")
}

// Guards against an isolated entry that declares the leases of its whole data
// centre lapsed.
func TestIsolatedEntryDecidesNothing(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e1", "a", member("e1", "a"), member("e2", "a"), member("e3", "a"))
	h.do(RecordUpdated{Record: announcer.Record{Announcement: announcement(5, announcer.StateReady), Holder: "e2", Epoch: 1}})
	h.do(MembersChanged{Members: []messenger.Member{member("e1", "a")}, Lost: 2})
	h.run(time.Minute, nil)
	require.Empty(t, h.decided)
	h.do(MembersChanged{Members: []messenger.Member{member("e1", "a")}, Lost: 0})
	h.run(time.Second, nil)
	require.True(t, h.last().Lapsed, "after a while the others count as replaced")
}

// Guards against packets that reach another service because two services share an
// address and port.
func TestAddressBelongsToOneServer(t *testing.T) {
	t.Parallel()
	h := newHolder(t)
	other := announcement(1, announcer.StateReady)
	other.ID = announcer.ID{Service: "manifest-desk", Host: "host-9"}
	h.decided = nil
	h.do(Announced{Announcement: other})
	require.Equal(t, announcement(0, "").ID, h.answer.AddressUser)
	require.Empty(t, h.decided)
	h.run(DefaultLease+grace+time.Second, nil)
	h.decided = nil
	h.do(Announced{Announcement: other})
	require.Equal(t, other, h.last().Announcement)
}
