package gossiper

import (
	"flag"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

var designSize = flag.Bool("design-size", false, "also measure 128 and 530 entries, which takes minutes")

// scale describes a simulated deployment.
type scale struct {
	entries, centres, regions, records int
	// spread is the time limit for a configuration version to reach all entries.
	spread time.Duration
}

// addScaled starts all entries; those of a region join through its first ones.
func (n *network) addScaled(s scale) {
	byRegion := make([][]netip.AddrPort, s.regions)
	for i := range s.entries {
		region := i % s.centres % s.regions
		byRegion[region] = append(byRegion[region], address(i))
	}
	for i := range s.entries {
		region := i % s.centres % s.regions
		v := n.start(Settings{
			Name: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%s.centres), Region: fmt.Sprintf("region-%d", region),
			Address: address(i), PacketAddress: address(i), Incarnation: uint64(n.now.UnixMilli()), Seeds: byRegion[region][:3],
		})
		var remotes []netip.AddrPort
		for r, addresses := range byRegion {
			if r != region {
				remotes = append(remotes, addresses...)
			}
		}
		n.step(v, OtherRegionsChanged{Addresses: remotes})
	}
}

// regionSees reports whether every entry sees all entries of its region.
func (n *network) regionSees(counts map[string]int) bool {
	for _, v := range n.nodes {
		if !v.stopped && len(v.live) != counts[v.self.Region] {
			return false
		}
	}
	return true
}

func (n *network) regionCounts() map[string]int {
	counts := make(map[string]int)
	for _, v := range n.nodes {
		if !v.stopped {
			counts[v.self.Region]++
		}
	}
	return counts
}

// regionHolds reports whether all entries of the region hold the record.
func (n *network) regionHolds(region string, want announcer.Record) bool {
	for _, v := range n.nodes {
		if got, ok := v.GetRecord(want.ID); !v.stopped && v.self.Region == region && (!ok || got != want) {
			return false
		}
	}
	return true
}

// traffic runs for d and calls during every second. It returns the bytes per second of
// the mean and of the busiest entry, with the overhead of messages, and the messages
// per second of the mean entry.
func (n *network) traffic(d time.Duration, during func()) (meanBytes, maxBytes, meanMessages float64) {
	for _, v := range n.nodes {
		v.bytes, v.messages = 0, 0
	}
	n.measure = true
	for range int(d / time.Second) {
		during()
		n.run(time.Second)
	}
	n.measure = false
	running := 0.0
	for _, v := range n.nodes {
		if v.stopped {
			continue
		}
		running++
		meanBytes += float64(v.bytes) / d.Seconds()
		meanMessages += float64(v.messages) / d.Seconds()
		maxBytes = max(maxBytes, float64(v.bytes)/d.Seconds())
	}
	return meanBytes / running, maxBytes, meanMessages / running
}

// Guards against traffic that grows with the number of entries beyond 5 KB/s for each
// entry, and against changes that spread too slowly. Run with -v for the figures;
// -design-size adds the design size.
func TestScale(t *testing.T) {
	scales := []scale{
		{entries: 8, centres: 4, regions: 1, records: 18, spread: 3 * time.Second},
		{entries: 32, centres: 4, regions: 1, records: 200, spread: 9 * time.Second},
	}
	if *designSize {
		scales = append(scales,
			scale{entries: 128, centres: 6, regions: 1, records: 900, spread: 9 * time.Second},
			scale{entries: 530, centres: 6, regions: 2, records: 3900, spread: 9 * time.Second})
	}
	for _, s := range scales {
		t.Run(fmt.Sprint(s.entries), func(t *testing.T) { measureScale(t, s) })
	}
}

func measureScale(t *testing.T, s scale) {
	n := newNetwork(t, uint64(s.entries))
	n.addScaled(s)
	counts := n.regionCounts()
	cold := n.until(2*time.Minute, "cold start", func() bool { return n.regionSees(counts) })
	for i := range s.records {
		r := record(fmt.Sprintf("host-%04d", i), 1)
		// Each of the first s.regions entries is in a region of its own.
		n.step(n.nodes[i%s.regions], RecordChanged{Record: r})
	}
	first := make(map[string]*node)
	for _, v := range slices.Backward(n.nodes) {
		first[v.self.Region] = v
	}
	loaded := n.until(10*time.Minute, "all records at all entries", func() bool {
		return !slices.ContainsFunc(n.nodes, func(v *node) bool { return v.records.buckets != first[v.self.Region].records.buckets })
	})
	drained := n.until(30*time.Minute, "no rumours left", func() bool {
		return !slices.ContainsFunc(n.nodes, func(v *node) bool { return len(v.rumours.items) > 0 })
	})
	idleBytes, idleMax, idleMessages := n.traffic(30*time.Second, func() {})

	var recordTimes, versionTimes []time.Duration
	for i := range 10 {
		from := n.nodes[n.random.IntN(len(n.nodes))]
		want := record(fmt.Sprintf("host-%04d", i), uint64(i+2))
		n.step(from, RecordChanged{Record: want})
		recordTimes = append(recordTimes, n.until(9*time.Second, "record", func() bool { return n.regionHolds(from.self.Region, want) }))
		n.run(5 * time.Second)
		n.step(from, VersionChanged{Version: uint64(i + 1)})
		versionTimes = append(versionTimes, n.until(s.spread, "version", func() bool { return n.allAt(uint64(i + 1)) }))
		n.run(5 * time.Second)
	}
	// The design size has 3,900 hosts. Two changes a second are seven times the rate at
	// which each host restarts once a day.
	sequence := uint64(100)
	busyBytes, busyMax, busyMessages := n.traffic(30*time.Second, func() {
		for range 2 {
			sequence++
			n.step(n.nodes[n.random.IntN(len(n.nodes))], RecordChanged{Record: record(fmt.Sprintf("host-%04d", n.random.IntN(s.records)), sequence)})
		}
	})
	victim := n.nodes[len(n.nodes)/2]
	victim.stopped = true
	counts = n.regionCounts()
	death := n.until(time.Minute, "death", func() bool { return n.regionSees(counts) })
	slices.Sort(recordTimes)
	slices.Sort(versionTimes)
	t.Logf("entries %d records %d: cold start %s, all records %s, drained %s, record median %s max %s, version median %s max %s, death %s; "+
		"idle %.0f B/s (max %.0f) %.2f messages/s; 2 changes/s %.0f B/s (max %.0f) %.2f messages/s",
		s.entries, s.records, cold, loaded, drained, recordTimes[5], recordTimes[9], versionTimes[5], versionTimes[9], death,
		idleBytes, idleMax, idleMessages, busyBytes, busyMax, busyMessages)
	require.Less(t, idleMax, 5000.0)
	require.Less(t, busyMax, 5000.0)
}
