package loadtester

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
)

// Guards against runs that differ for equal seeds and against a model in which cold backend servers
// never fail.
func TestRunIsReproducibleAndColdServersCrash(t *testing.T) {
	d := specifier.Deployments()[0]
	plan := Plan{LeavesAt: 5 * time.Second, ReturnsAt: 7 * time.Second, Length: 10 * time.Second}
	results := make(map[Policy]Result)
	for _, policy := range Policies() {
		results[policy] = Run(d, plan, policy, 1)
	}
	require.Equal(t, results[PolicyRoundRobin], Run(d, plan, PolicyRoundRobin, 1))
	require.Equal(t, results[PolicyRedwingledge], Run(d, plan, PolicyRedwingledge, 1))
	require.Positive(t, results[PolicyRoundRobin].Crashes)
	for policy, r := range results {
		require.Equal(t, results[PolicyRoundRobin].Offered, r.Offered, "%s has another load", policy)
		offered, delivered := sum(r.Offered[:5]), sum(r.Delivered[:5])
		require.InEpsilon(t, offered, delivered, 0.05, "%s before the change", policy)
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
