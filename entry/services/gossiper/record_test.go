package gossiper

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Guards against an exchange between entries that takes different records for the same one.
func TestRecordValueTellsClaimFromTerm(t *testing.T) {
	t.Parallel()
	values := make(map[uint64]bool)
	for _, record := range []announcer.Record{{}, {Claim: 1}, {Term: 1}, {Claim: 1, Term: 1}} {
		values[recordValue(1, record)] = true
	}
	require.Len(t, values, 4)
}
