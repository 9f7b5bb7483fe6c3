package leaser

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// harness runs one Machine and records its outputs.
type harness struct {
	*Machine
	t         *testing.T
	now       time.Time
	changed   []announcer.Record
	published map[announcer.ID]announcer.Record
	forwards  []Forward
	answered  Answered
}

func newHarness(t *testing.T, name, dataCentre string, members ...messenger.Member) *harness {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	h := &harness{
		Machine: New(Settings{Name: name, DataCentre: dataCentre, Lease: DefaultLease}, now), t: t, now: now,
		published: make(map[announcer.ID]announcer.Record),
	}
	h.step(MembersChanged{Members: members})
	return h
}

func (h *harness) step(in Input) {
	for _, out := range h.Step(h.now, in) {
		switch out := out.(type) {
		case RecordChanged:
			h.changed = append(h.changed, out.Record)
		case RecordPublished:
			h.published[out.Record.ID] = out.Record
		case Forward:
			h.forwards = append(h.forwards, out)
		case Answered:
			h.answered = out
		case Removed:
			delete(h.published, out.ID)
		}
	}
}

// run ticks every 100 ms for d and calls each once a second.
func (h *harness) run(d time.Duration, each func()) {
	for i := range int(d / (100 * time.Millisecond)) {
		h.now = h.now.Add(100 * time.Millisecond)
		h.step(Tick{})
		if i%10 == 9 && each != nil {
			each()
		}
	}
}

// takeLastChange returns the last changed record and clears the list.
func (h *harness) takeLastChange() announcer.Record {
	h.t.Helper()
	require.NotEmpty(h.t, h.changed)
	last := h.changed[len(h.changed)-1]
	h.changed = nil
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

// renewer returns a function that announces with increasing sequences.
func (h *harness) renewer(sequence uint64) func() {
	return func() {
		sequence++
		h.step(AnnouncementReceived{Announcement: announcement(sequence, announcer.StateReady)})
	}
}

func newHarnessWithRecord(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, "e1", "a", member("e1", "a"))
	h.step(AnnouncementReceived{Announcement: announcement(1, announcer.StateReady)})
	return h
}

// Guards against leases that expire despite renewals, or that do not expire without them.
func TestLeaseExpiresOnlyWithoutRenewals(t *testing.T) {
	t.Parallel()
	h := newHarnessWithRecord(t)
	require.Equal(t, uint8(0), h.takeLastChange().RampStep)
	h.run(time.Minute, h.renewer(1))
	require.Empty(t, h.changed, "renewals without a change must not be gossiped")
	h.run(DefaultLease-time.Second, nil)
	require.Empty(t, h.changed)
	h.run(2*time.Second+gracePeriod, nil)
	require.True(t, h.takeLastChange().Lapsed)
	require.False(t, h.published[announcement(0, "").ID].AcceptsNewFlows())
	h.run(time.Minute, nil)
	require.Empty(t, h.changed, "a record is marked as lapsed only once")

	h.step(AnnouncementReceived{Announcement: announcement(500, announcer.StateReady)})
	restored := h.takeLastChange()
	require.False(t, restored.Lapsed)
	require.Equal(t, uint8(0), restored.RampStep)
}

// Guards against a new holder that lets a lease expire before the backend server
// had the duration of a full lease to renew it.
func TestNewHolderStartsFullLease(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e1", "a", member("e1", "a"), member("e2", "a"))
	record := announcer.Record{Announcement: announcement(5, announcer.StateReady), Epoch: 3, RampStep: 3}
	for i, host := range []string{"host-1", "host-2", "host-3", "host-4", "host-5", "host-6", "host-7", "host-8"} {
		record.Host, record.Holder = host, h.holderOf(host, "a")
		record.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i + 1)}), 80)
		h.step(RecordUpdated{Record: record})
	}
	held := len(h.leases)
	require.Less(t, held, 8, "the other entry must hold some leases")
	h.run(time.Minute, func() {
		for id := range h.leases {
			a := h.published[id].Announcement
			a.Sequence = uint64(h.now.Unix())
			h.step(AnnouncementReceived{Announcement: a})
		}
	})
	require.Empty(t, h.changed)
	h.step(MembersChanged{Members: []messenger.Member{member("e1", "a")}, RecentDeaths: 1})
	h.run(DefaultLease-time.Second, nil)
	for _, r := range h.changed {
		require.True(t, h.leases[r.ID].renewed, r.ID)
	}
	h.run(2*time.Second+gracePeriod, nil)
	require.Len(t, h.leases, 8)
	for id := range h.leases {
		require.True(t, h.published[id].Lapsed, id)
	}
}

// Guards against full load on a backend server that has just started, and on one
// that starts to fail.
func TestRampFollowsResponses(t *testing.T) {
	t.Parallel()
	h := newHarnessWithRecord(t)
	id := announcement(0, "").ID
	renew := h.renewer(1)
	respond := func() {
		renew()
		h.step(Observed{ID: id, Responses: 5})
	}
	h.run(30*time.Second, renew)
	require.Equal(t, uint8(0), h.published[id].RampStep, "the ramp advances only with responses")
	for step := uint8(1); step <= announcer.RampSteps; step++ {
		h.run(5*time.Second, respond)
		require.LessOrEqual(t, h.published[id].RampStep, step)
	}
	h.run(10*time.Second, respond)
	require.Equal(t, uint8(announcer.RampSteps), h.published[id].RampStep)

	h.step(Observed{ID: id, Failures: 1})
	h.run(20*time.Second, respond)
	require.Equal(t, uint8(announcer.RampSteps), h.published[id].RampStep, "single failures must not restart the ramp")
	h.step(Observed{ID: id, Failures: 50})
	h.run(200*time.Millisecond, nil)
	require.Equal(t, uint8(0), h.published[id].RampStep)

	restarted := announcement(1, announcer.StateReady)
	restarted.Incarnation = 8
	h.step(AnnouncementReceived{Announcement: restarted})
	require.Equal(t, uint8(0), h.published[id].RampStep)
	sequence := uint64(1)
	h.run(time.Minute, func() {
		sequence++
		restarted.Sequence = sequence
		h.step(AnnouncementReceived{Announcement: restarted})
	})
	require.False(t, h.published[id].Lapsed, "sequences restart with a new incarnation")
}

// Guards against delayed or repeated announcements that override later ones.
func TestStaleAnnouncements(t *testing.T) {
	t.Parallel()
	h := newHarnessWithRecord(t)
	h.step(AnnouncementReceived{Announcement: announcement(9, announcer.StateDraining)})
	h.changed = nil
	older := announcement(50, announcer.StateReady)
	older.Incarnation = 6
	for _, a := range []announcer.Announcement{announcement(8, announcer.StateReady), older} {
		h.step(AnnouncementReceived{Announcement: a})
		require.True(t, h.answered.Stale)
	}
	h.step(AnnouncementReceived{Announcement: announcement(9, announcer.StateDraining)})
	require.False(t, h.answered.Stale, "a retransmission gets the first response")
	h.step(AnnouncementReceived{Announcement: announcement(9, announcer.StateReady)})
	require.True(t, h.answered.Stale, "a change requires a new sequence")
	require.Empty(t, h.changed)
	require.Equal(t, announcer.StateDraining, h.published[older.ID].State)
	h.run(DefaultLease+gracePeriod+time.Second, nil)
	h.step(AnnouncementReceived{Announcement: announcement(9, announcer.StateDraining)})
	require.True(t, h.answered.Stale, "a retransmission must not restore a lapsed record")
}

// Guards against a leaving announcement that is applied only by the holder, and
// against renewals that do not reach the holder.
func TestNonHolderAppliesAndForwards(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e2", "b", member("e1", "a"), member("e2", "b"))
	h.step(AnnouncementReceived{Announcement: announcement(1, announcer.StateReady)})
	require.Equal(t, "e1", h.takeLastChange().Holder)
	h.step(AnnouncementReceived{Announcement: announcement(2, announcer.StateReady)})
	h.step(AnnouncementReceived{Announcement: announcement(3, announcer.StateReady)})
	h.step(Observed{ID: announcement(0, "").ID, Failures: 2})
	h.run(time.Second, nil)
	require.Empty(t, h.changed)
	require.Len(t, h.forwards, 1)
	require.Equal(t, "e1", h.forwards[0].To.Name)
	require.Equal(t, []messenger.Renewal{{Service: "sack-orders", Host: "host-1", Incarnation: 7, Sequence: 3}}, h.forwards[0].Batch.Renewals)
	require.Len(t, h.forwards[0].Batch.Observations, 1)

	failed := h.forwards[0].Batch
	h.forwards = nil
	h.step(BatchFailed{Batch: failed})
	h.run(1100*time.Millisecond, nil)
	require.Len(t, h.forwards, 1)
	require.Equal(t, failed.Renewals, h.forwards[0].Batch.Renewals, "a renewal that was not delivered is sent again")
	h.forwards = nil
	h.run(retransmitPeriod, nil)
	h.step(BatchFailed{Batch: failed})
	h.run(2*time.Second, nil)
	require.Empty(t, h.forwards, "an old renewal is not sent again")

	h.step(AnnouncementReceived{Announcement: announcement(4, announcer.StateLeaving)})
	require.Equal(t, announcer.StateLeaving, h.takeLastChange().State)
	h.run(time.Minute, nil)
	require.Empty(t, h.changed, "only the holder tracks the lease")
}

// Guards against a record that stays lapsed although its backend server renews the
// lease, after a partitioned entry has gossiped the lapse.
func TestFalseLapseIsCorrected(t *testing.T) {
	t.Parallel()
	h := newHarnessWithRecord(t)
	id := announcement(0, "").ID
	renew := h.renewer(1)
	h.run(30*time.Second, func() {
		renew()
		h.step(Observed{ID: id, Responses: 1})
	})
	full := h.takeLastChange()
	require.Equal(t, uint8(announcer.RampSteps), full.RampStep)
	falseLapse := full.WithLapsed(true)
	falseLapse.Holder = "e9"
	h.step(RecordUpdated{Record: falseLapse})
	corrected := h.takeLastChange()
	require.False(t, corrected.Lapsed)
	require.Equal(t, full.RampStep, corrected.RampStep)
	require.Positive(t, corrected.Compare(falseLapse))
}

// Guards against one side of a network partition marking the records of the other
// side as lapsed: this would stop new flows everywhere once the partition heals.
func TestPartitionLapsesNothing(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e2", "b", member("e1", "a"), member("e2", "b"))
	record := announcer.Record{Announcement: announcement(5, announcer.StateReady), Holder: "e1", Epoch: 1, RampStep: 3}
	h.step(RecordUpdated{Record: record})
	h.step(MembersChanged{Members: []messenger.Member{member("e2", "b")}})
	h.run(DefaultLease-2*time.Second, nil)
	require.True(t, h.published[record.ID].AcceptsNewFlows(), "the holder may become reachable again")
	h.run(4*time.Second, nil)
	require.False(t, h.published[record.ID].AcceptsNewFlows())
	h.run(time.Hour, nil)
	require.Empty(t, h.changed)
	h.step(MembersChanged{Members: []messenger.Member{member("e1", "a"), member("e2", "b")}})
	require.Equal(t, record, h.published[record.ID])

	// Backend servers of a data centre without entries may announce in another one.
	h.step(MembersChanged{Members: []messenger.Member{member("e2", "b")}})
	h.run(time.Minute, nil)
	h.step(AnnouncementReceived{Announcement: announcement(6, announcer.StateReady)})
	require.Equal(t, "e2", h.takeLastChange().Holder)
	require.True(t, h.published[record.ID].AcceptsNewFlows())
	h.run(DefaultLease+gracePeriod+time.Second, nil)
	require.True(t, h.takeLastChange().Lapsed, "the entry that received the renewal tracks the lease")
}

// Guards against an isolated entry that marks the records of its whole data centre
// as lapsed.
func TestIsolatedEntryLapsesNothing(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "e1", "a", member("e1", "a"), member("e2", "a"), member("e3", "a"))
	h.step(RecordUpdated{Record: announcer.Record{Announcement: announcement(5, announcer.StateReady), Holder: "e2", Epoch: 1}})
	h.step(MembersChanged{Members: []messenger.Member{member("e1", "a")}, RecentDeaths: 2})
	h.run(time.Minute, nil)
	require.Empty(t, h.changed)
	h.step(MembersChanged{Members: []messenger.Member{member("e1", "a")}, RecentDeaths: 0})
	h.run(time.Second, nil)
	require.True(t, h.takeLastChange().Lapsed, "entries that died long ago must not block the lapse")
}

// Guards against packets that reach the wrong service because two services share an
// address and port.
func TestAddressBelongsToOneServer(t *testing.T) {
	t.Parallel()
	h := newHarnessWithRecord(t)
	other := announcement(1, announcer.StateReady)
	other.ID = announcer.ID{Service: "manifest-desk", Host: "host-9"}
	h.changed = nil
	h.step(AnnouncementReceived{Announcement: other})
	require.Equal(t, announcement(0, "").ID, h.answered.AddressOwner)
	require.Empty(t, h.changed)
	h.run(DefaultLease+gracePeriod+time.Second, nil)
	h.changed = nil
	h.step(AnnouncementReceived{Announcement: other})
	require.Equal(t, other, h.takeLastChange().Announcement)
}
