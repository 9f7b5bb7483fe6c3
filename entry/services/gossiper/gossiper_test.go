package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against members, records and versions that do not spread in time. The
// hold time of a view change is 1 s; a configuration must be in force in 3 s.
func TestSpread(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t, seed)
			n.addAll(8, 4)
			n.run(20 * time.Second)
			want := record("host-1", 1)
			n.step(n.nodes[3], RecordChanged{Record: want})
			took := n.until(time.Second, "record at all nodes", func() bool { return n.allHold(want) })
			n.step(n.nodes[0], VersionChanged{Version: 5})
			tookVersion := n.until(3*time.Second, "version at all nodes", func() bool { return n.allAt(5) })
			t.Logf("record %s version %s", took, tookVersion)
		})
	}
}

// Guards against live members that are declared dead because messages get lost.
func TestNoFalseDeathsUnderLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(t, seed)
			n.addAll(8, 4)
			n.loss = 0.1
			n.run(10 * time.Minute)
			for _, v := range n.nodes {
				require.Zero(t, v.Counts().Deaths, v.self.Name)
				require.Zero(t, v.removals, v.self.Name)
			}
		})
	}
}
