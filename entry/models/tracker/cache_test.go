package tracker

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// Guards against flows that are lost or duplicated by the backward shift in remove.
func TestCacheAgreesWithMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	c := NewCache(400, epoch, DefaultTimeouts)
	model := map[uint64]uint32{}
	for range 200_000 {
		// A small range of home slots makes long runs that wrap around.
		fp := (rng.Uint64N(24)+500)<<12 | rng.Uint64N(30)
		switch rng.IntN(3) {
		case 0:
			if len(model) < 400 {
				target := rng.Uint32()
				c.Insert(Flow{Fingerprint: fp, Target: target, LastSeen: 1})
				model[fp] = target
			}
		case 1:
			c.Delete(fp)
			delete(model, fp)
		}
		flow := c.Lookup(fp, 1)
		if target, ok := model[fp]; ok != (flow != nil) || (ok && flow.Target != target) {
			t.Fatalf("flow %x: cache has %v, want %v (held %v)", fp, flow, target, ok)
		}
	}
	if c.Len() != len(model) {
		t.Fatalf("Len() = %d, want %d", c.Len(), len(model))
	}
}

// Guards against unbounded growth and against evicting recent flows before idle ones.
func TestCacheEvictsIdleFlowsFirst(t *testing.T) {
	c := NewCache(1000, epoch, DefaultTimeouts)
	rng := rand.New(rand.NewPCG(2, 2))
	for range 1000 {
		c.Insert(Flow{Fingerprint: rng.Uint64(), LastSeen: 1})
	}
	recent := make([]uint64, 200)
	for i := range recent {
		recent[i] = rng.Uint64()
		c.Insert(Flow{Fingerprint: recent[i], LastSeen: 100})
	}
	if c.Len() > 1000 {
		t.Fatalf("cache holds %d flows, limit 1000", c.Len())
	}
	for _, fp := range recent {
		if c.Lookup(fp, 100) == nil {
			t.Fatalf("recent flow %x was evicted", fp)
		}
	}
}

// Guards against flows that outlive their idle timeout.
func TestCacheExpiry(t *testing.T) {
	c := NewCache(1000, epoch, DefaultTimeouts)
	c.Insert(Flow{Fingerprint: 1 << 12, LastSeen: 1})
	c.Insert(Flow{Fingerprint: 2 << 12, LastSeen: 1, Flags: FlagUDP})
	c.Insert(Flow{Fingerprint: 3 << 12, LastSeen: 1, Flags: FlagClosed})
	for _, step := range []struct{ now, held uint32 }{{61, 3}, {62, 2}, {301, 2}, {302, 1}, {7201, 1}, {7202, 0}} {
		c.Sweep(1<<20, step.now)
		if c.Len() != int(step.held) {
			t.Errorf("after %d s: %d flows held, want %d", step.now, c.Len(), step.held)
		}
	}
}

// Checks the target of at most 64 bytes per stored flow.
func TestCacheBytesPerFlow(t *testing.T) {
	const flows = 400_000
	c := NewCache(flows, epoch, DefaultTimeouts)
	rng := rand.New(rand.NewPCG(3, 3))
	for range flows {
		c.Insert(Flow{Fingerprint: rng.Uint64(), LastSeen: 1})
	}
	perFlow := float64(c.Bytes()) / float64(c.Len())
	t.Logf("%d flows held, %.1f bytes per held flow, %d evicted", c.Len(), perFlow, c.Evicted)
	if perFlow > 64 || c.Evicted > 0 {
		t.Errorf("%.1f bytes per held flow, %d evicted; want at most 64 and 0", perFlow, c.Evicted)
	}
}
