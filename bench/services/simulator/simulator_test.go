package simulator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
)

// Guards against a simulator that does not detect broken flows and against runs that differ for
// equal seeds.
func TestRunDetectsBrokenFlowsAndIsReproducible(t *testing.T) {
	drain := Scenarios()[2]
	first := Run(specifier.Deployments()[0], drain, 1)
	t.Logf("%+v", first)
	require.Positive(t, first.Modulo, "broken flows by modulo hashing")
	require.Positive(t, first.Rendezvous, "broken flows by rendezvous hashing")
	require.Less(t, first.Rendezvous, first.Modulo)
	require.Zero(t, first.WrongService)
	require.Equal(t, first, Run(specifier.Deployments()[0], drain, 1))
}

// Guards against entries that disagree about the backend server of a flow, and so break it, while
// an entry that has just restarted still treats buckets as contested that the others have settled.
func TestPlannedChangesAtOnceBreakNoFlow(t *testing.T) {
	scenarios := Scenarios()
	result := Run(specifier.Deployments()[1], scenarios[len(scenarios)-1], 2)
	require.Zero(t, result.WrongService)
	require.Zero(t, result.Broken, "broken flows of %+v", result)
}
