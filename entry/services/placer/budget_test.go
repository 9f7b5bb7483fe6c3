package placer

import (
	"testing"
	"time"
)

// Checks the limit of 5 KB/s of control traffic per entry at 2,000 new flows per second. It counts
// the bytes of the encoded messages that placement sends.
func TestControlTraffic(t *testing.T) {
	const entries, rate, limit = 8, 2000, 5000
	n := newNetwork(2, entries)
	n.flowLimit, n.gaps = 100_000, []time.Duration{8 * time.Second}
	for _, e := range n.nodes {
		n.startEntry(e)
	}
	n.run(15 * time.Second)
	n.openFlows(rate, 50*time.Second, 20*time.Second)
	n.run(10 * time.Second)
	n.countTraffic = true
	measure := func(name string, seconds int) {
		n.bytes, n.messages = 0, 0
		peak := 0
		for range seconds {
			before := n.bytes
			n.run(time.Second)
			peak = max(peak, (n.bytes-before)/entries)
		}
		mean := n.bytes / entries / seconds
		t.Logf("%s: %d bytes and %.1f messages per second and entry, %d bytes in the busiest second",
			name, mean, float64(n.messages)/entries/float64(seconds), peak)
		if mean > limit {
			t.Errorf("%s: %d bytes per second and entry, want at most %d", name, mean, limit)
		}
	}
	measure("idle", 10)
	n.drain(0)
	measure("first 10 s of a drain", 10)
	measure("next 10 s of the drain", 10)
	for _, e := range n.nodes {
		c := e.machine.GetCounters()
		t.Logf("%s: %d forwarded, %d relayed, %d held, %d hints dropped, %d buckets contested, %d flows cached",
			e.name, c.Forwarded, c.Relayed, c.Held, c.DroppedPlacements, e.machine.ContestedBuckets(services[0]), e.machine.cache.Len())
	}
	if n.broken > 0 || n.wrongService > 0 {
		t.Errorf("%d broken flows, %d packets at a wrong service, want 0", n.broken, n.wrongService)
	}
}
