// Package ranker orders members by rendezvous hashing (Thaler and Ravishankar,
// 1998). When a member joins or leaves, the relative order of the others does not
// change.
package ranker

import (
	"slices"
	"strings"

	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// Score returns the rendezvous score of a member for a key. The member with the
// highest score is first.
func Score(member string, key uint64) uint64 {
	return hasher.Pair(hasher.String(member), key)
}

// First returns the first member in rendezvous order, or "" if there is none.
// It does not allocate.
func First(members []string, key uint64) string {
	best, bestScore := "", uint64(0)
	for _, m := range members {
		if s := Score(m, key); best == "" || s > bestScore || (s == bestScore && m < best) {
			best, bestScore = m, s
		}
	}
	return best
}

// Rank returns the members sorted by descending score for the key. Members with
// equal scores are sorted by name.
func Rank(members []string, key uint64) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		sa, sb := Score(a, key), Score(b, key)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return ranked
}
