package comparer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/bench/services/loadtester"
	"github.com/redwingledge/redwingledge/bench/services/simulator"
)

// Guards against reports that differ between runs with the same seeds.
func TestCompareIsReproducible(t *testing.T) {
	settings := Settings{
		Deployments: specifier.Deployments()[:1], Scenarios: simulator.Scenarios()[2:3], Seed: 3, Seeds: 1,
		Plan: loadtester.Plan{LeavesAt: time.Second, ReturnsAt: 2 * time.Second, Length: 4 * time.Second},
	}
	first, err := Compare(settings)
	require.NoError(t, err)
	second, err := Compare(settings)
	require.NoError(t, err)
	require.Equal(t, first.Markdown, second.Markdown)
	require.Len(t, first.Images, 1)
	settings.Seed = 4
	third, err := Compare(settings)
	require.NoError(t, err)
	require.NotEqual(t, first.Markdown, third.Markdown)
}
