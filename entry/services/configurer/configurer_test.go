package configurer

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

var (
	control = []netip.AddrPort{netip.MustParseAddrPort("10.0.1.1:1"), netip.MustParseAddrPort("10.0.1.2:1")}
	peerA   = netip.MustParseAddrPort("10.0.0.1:1")
	peerB   = netip.MustParseAddrPort("10.0.0.2:1")
	start   = time.Unix(1_700_000_000, 0)
)

func newMachine(members ...string) *Machine {
	m := New(Settings{Name: "e1", DataCentre: "a", Region: "north", Control: control}, rand.New(rand.NewPCG(1, 1)), start)
	var live []messenger.Member
	for _, name := range members {
		live = append(live, messenger.Member{Name: name, DataCentre: "a"})
	}
	m.outputs = nil
	m.Step(start, MembersChanged{Members: live})
	return m
}

func version(v uint64) *cataloger.Catalog { return &cataloger.Catalog{Version: v} }

func find[T Output](outputs []Output) (T, bool) {
	for _, out := range outputs {
		if found, ok := out.(T); ok {
			return found, true
		}
	}
	var zero T
	return zero, false
}

// Guards against an older version that replaces a newer one, whatever the source and
// order.
func TestVersionsOnlyMoveForwards(t *testing.T) {
	t.Parallel()
	m := newMachine("e1")
	highest := uint64(0)
	random := rand.New(rand.NewPCG(2, 2))
	for range 2000 {
		v := random.Uint64N(500) + 1
		var outputs []Output
		if random.IntN(2) == 0 {
			outputs = m.Step(start, Polled{Catalog: version(v)})
		} else {
			outputs = m.Step(start, Fetched{Address: peerA, Catalog: version(v)})
		}
		changed, isChange := find[CatalogChanged](outputs)
		require.Equal(t, v > highest, isChange)
		if isChange {
			require.Equal(t, v, changed.Catalog.Version)
		}
		highest = max(highest, v)
		require.Equal(t, highest, m.Version())
	}
}

// Guards against entries that all poll control, and against a representative that keeps
// polling a replica that does not answer.
func TestRepresentativesPoll(t *testing.T) {
	t.Parallel()
	representatives := 0
	members := []string{"e1", "e2", "e3", "e4", "e5", "e6"}
	for _, name := range members {
		m := newMachine()
		m.settings.Name = name
		var live []messenger.Member
		for _, other := range members {
			live = append(live, messenger.Member{Name: other, DataCentre: "a"})
		}
		first, polls := find[Poll](m.Step(start, MembersChanged{Members: live}))
		if !polls {
			continue
		}
		representatives++
		_, polls = find[Poll](m.Step(start.Add(time.Second), Tick{}))
		require.False(t, polls, "one poll at a time")
		m.Step(start.Add(time.Second), Polled{Failed: true})
		second, polls := find[Poll](m.Step(start.Add(3*time.Second), Tick{}))
		require.True(t, polls)
		require.NotEqual(t, first.Address, second.Address)
	}
	require.Equal(t, 2, representatives)
}

// Guards against a fetch that is never repeated after a failure, and against one that
// is repeated without end at a peer that has nothing newer.
func TestFetchFromReportingPeer(t *testing.T) {
	t.Parallel()
	m := newMachine("e2", "e3")
	fetch, ok := find[Fetch](m.Step(start, VersionReported{Version: 5, From: peerA}))
	require.True(t, ok)
	require.Equal(t, peerA, fetch.Address)
	_, ok = find[Fetch](m.Step(start, VersionReported{Version: 5, From: peerB}))
	require.False(t, ok, "the first peer may still answer")
	fetch, ok = find[Fetch](m.Step(start, Fetched{Address: peerA, Failed: true}))
	require.True(t, ok, "the second peer is asked as soon as the first has failed")
	require.Equal(t, peerB, fetch.Address)
	for _, result := range []Fetched{{Address: peerB}, {Address: peerB, Failed: true}, {Address: peerB, Catalog: version(0)}} {
		_, ok = find[Fetch](m.Step(start, result))
		require.False(t, ok, "no peer is asked until one reports the version again")
		_, ok = find[Fetch](m.Step(start, VersionReported{Version: 5, From: peerB}))
		require.True(t, ok)
	}
	outputs := m.Step(start, Fetched{Address: peerB, Catalog: version(5)})
	_, ok = find[CatalogChanged](outputs)
	require.True(t, ok)
	_, ok = find[Fetch](outputs)
	require.False(t, ok)
}

// Guards against an entry that reports ready with an older version than a majority of
// its peers holds, at the start and after a pause of the process.
func TestReadiness(t *testing.T) {
	t.Parallel()
	m := newMachine("e2", "e3")
	ready := func(in Input) bool {
		_, ok := find[Ready](m.Step(start, in))
		return ok
	}
	require.False(t, ready(Fetched{Catalog: version(4)}))
	require.False(t, ready(MajorityReported{Version: 6}))
	require.False(t, ready(Fetched{Catalog: version(5)}))
	require.True(t, ready(Fetched{Catalog: version(6)}))
	require.False(t, ready(Tick{}), "reported once")
	require.False(t, ready(Resumed{}))
	require.False(t, ready(Tick{}))
	require.True(t, ready(MajorityReported{Version: 6}))

	alone := newMachine("e1")
	_, ok := find[Ready](alone.Step(start, MajorityReported{}))
	require.False(t, ok, "no entry is ready without a configuration")
}

// Guards against a configuration that is delayed by a peer that has died.
func TestLateFetchAsksASecondPeer(t *testing.T) {
	t.Parallel()
	m := newMachine("e2", "e3")
	m.Step(start, VersionReported{Version: 5, From: peerA})
	m.Step(start, VersionReported{Version: 5, From: peerB})
	fetch, ok := find[Fetch](m.Step(start.Add(fetchHedgeDelay), Tick{}))
	require.True(t, ok)
	require.Equal(t, peerB, fetch.Address)
	_, ok = find[Fetch](m.Step(start.Add(2*fetchHedgeDelay), VersionReported{Version: 5, From: control[0]}))
	require.False(t, ok, "two are enough")
	_, ok = find[CatalogChanged](m.Step(start.Add(2*fetchHedgeDelay), Fetched{Address: peerB, Catalog: version(5)}))
	require.True(t, ok)
	_, ok = find[Fetch](m.Step(start.Add(2*fetchHedgeDelay), Fetched{Address: peerA, Failed: true}))
	require.False(t, ok)
}

// Guards against a peer that gets a delta to a version that it does not hold.
func TestHistory(t *testing.T) {
	t.Parallel()
	sender, receiver := NewHistory(), NewHistory()
	require.Nil(t, sender.Answer(0).Catalog)
	for v := range uint64(12) {
		sender.Add(version(v + 1))
	}
	require.NotNil(t, sender.Answer(2).Catalog, "too old for a delta")
	require.Nil(t, sender.Answer(12).Catalog)
	answer := sender.Answer(11)
	require.NotNil(t, answer.Delta)
	_, ok := receiver.Resolve(answer)
	require.False(t, ok)
	receiver.Add(version(11))
	c, ok := receiver.Resolve(answer)
	require.True(t, ok)
	require.Equal(t, uint64(12), c.Version)
}
