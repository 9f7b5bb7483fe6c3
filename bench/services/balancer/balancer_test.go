package balancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Checks the imbalance target of section 1 of docs/design.md, and that equal seeds give equal results.
func TestTableMeetsImbalanceTarget(t *testing.T) {
	names := make([]string, 14)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	result := Run("sack-orders", names, 200_000, 1)
	require.LessOrEqual(t, result.Table, 1.10)
	require.Equal(t, result, Run("sack-orders", names, 200_000, 1))
}

// Guards against an imbalance function that returns 1 whatever the counts are.
func TestImbalance(t *testing.T) {
	require.InDelta(t, 1.5, imbalance([]int{1, 3}, 4), 1e-9)
}
