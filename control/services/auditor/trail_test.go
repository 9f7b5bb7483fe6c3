package auditor

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/auditor"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

func makeTrail(count int) *Trail {
	trail := new(Trail)
	for i := range count {
		trail.Append(auditor.Line{Time: timer.Timestamp(i), Operator: "amina", Event: auditor.EventIntent, Text: fmt.Sprintf("line %d", i+1)})
	}
	return trail
}

// Guards against lines that are lost or reordered at segment boundaries, in pages
// and across snapshots.
func TestTrailKeepsEveryLine(t *testing.T) {
	t.Parallel()
	const count = 2*segmentSize + 7
	trail := makeTrail(count)
	restored := new(Trail)
	require.NoError(t, restored.Restore(trail.Store()))
	trail.Append(auditor.Line{Text: "after the snapshot"})
	require.Equal(t, uint64(count), restored.Head().Sequence, "a snapshot must not see later lines")
	for after := uint64(segmentSize - 2); after <= segmentSize; after++ {
		page, err := restored.List(after, 1)
		require.NoError(t, err)
		require.Equal(t, after+1, page[0].Sequence)
	}
	for _, limit := range []int{500, segmentSize, count} {
		var all []auditor.Line
		for after := uint64(0); ; after = uint64(len(all)) {
			page, err := restored.List(after, limit)
			require.NoError(t, err)
			if len(page) == 0 {
				break
			}
			all = append(all, page...)
		}
		require.Len(t, all, count)
		for i, line := range all {
			require.Equal(t, fmt.Sprintf("line %d", i+1), line.Text)
		}
	}
}

// Guards against changed, removed or reordered lines that Verify does not detect.
func TestVerifyDetectsTampering(t *testing.T) {
	t.Parallel()
	rewrite := func(stored *Stored, change func([]auditor.Line) []auditor.Line) {
		lines, err := decodeSegment(stored.Sealed[0])
		require.NoError(t, err)
		stored.Sealed = [][]byte{encodeSegment(change(lines))}
	}
	tests := map[string]func(*Stored){
		"changed text":      func(s *Stored) { s.Open[1].Text = "nothing happened" },
		"changed operator":  func(s *Stored) { s.Open[1].Operator = "bello" },
		"changed time":      func(s *Stored) { s.Open[1].Time++ },
		"changed last line": func(s *Stored) { s.Open[len(s.Open)-1].Plan = "other" },
		"removed line":      func(s *Stored) { s.Open = append(s.Open[:2], s.Open[3:]...) },
		"removed tail":      func(s *Stored) { s.Open = s.Open[:2] },
		"swapped lines":     func(s *Stored) { s.Open[2], s.Open[3] = s.Open[3], s.Open[2] },
		"moved boundary": func(s *Stored) {
			s.Open[0].Operator, s.Open[0].Event = s.Open[0].Operator+"i", s.Open[0].Event[1:]
		},
		"sealed text": func(s *Stored) {
			rewrite(s, func(l []auditor.Line) []auditor.Line { l[9].Text = "x"; return l })
		},
		"sealed removal": func(s *Stored) {
			rewrite(s, func(l []auditor.Line) []auditor.Line { return l[:segmentSize-1] })
		},
		"damaged segment": func(s *Stored) { s.Sealed = [][]byte{s.Sealed[0][:100]} },
	}
	for name, tamper := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stored := makeTrail(segmentSize + 10).Store()
			require.NoError(t, new(Trail).Restore(stored))
			tamper(&stored)
			var broken auditor.ErrChainBroken
			require.ErrorAs(t, new(Trail).Restore(stored), &broken)
		})
	}
}
