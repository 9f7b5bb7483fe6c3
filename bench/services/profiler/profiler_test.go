package profiler

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a report that fails or leaves a size out.
func TestProfile(t *testing.T) {
	sizes := Sizes{
		Nodes: []int{8, 12}, DigestEntries: []int{3}, DigestFlows: []int{100, 200}, Hosts: []int{14}, Flows: []int{1000},
		Keys: []int{100}, Services: []int{3}, Changes: []int{4, 6},
	}
	var b strings.Builder
	require.NoError(t, Profile(&b, sizes, 1, t.TempDir()))
	text := b.String()
	for _, line := range []string{"| 8 |", "| 12 |", "| 14 |", "| 1000 |", "| 100 |", "| 3 |"} {
		require.Contains(t, text, "\n"+line, "row of a size")
	}
	require.NotContains(t, text, "not within")
	require.NotContains(t, text, "NaN")
	require.Equal(t, 7, strings.Count(text, "### "), "tables")
}

// Guards against membership figures that differ between runs of one seed.
func TestClusterIsReproducible(t *testing.T) {
	var bytes [2]float64
	for i := range bytes {
		c := newCluster(8, 7)
		bytes[i], _, _ = c.measureTraffic(10e9)
	}
	require.InDelta(t, bytes[0], bytes[1], 0)
	require.Positive(t, bytes[0])
}
