// Package allocator computes the bucket tables of services. A table assigns each bucket of flow
// hashes the backend server for its new flows.
package allocator

import (
	"cmp"
	"math"
	"slices"

	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// Buckets is the number of buckets of a table.
const Buckets = 4096

// Bucket returns the bucket of a flow from its 64-bit hash.
func Bucket(flow uint64) uint16 { return uint16(flow % Buckets) }

// Backend is a backend server that may take new flows.
type Backend struct {
	// Index is the caller's number for the backend server; 0 is not valid.
	Index uint32
	// Hash is the hash of the backend server's identity, equal on all entries.
	Hash uint64
	// Weight is its share relative to the others; 0 gets no buckets.
	Weight uint64
}

// Table maps each bucket to the index of its backend server; 0 means none.
type Table [Buckets]uint32

// maxBackends limits the backend servers of a table to one per bucket.
const maxBackends = Buckets

// Build returns the table of the given backend servers. The assignment depends only on hashes and
// weights. Each backend server gets the number of buckets that its weight entitles it to; weighted
// rendezvous hashing (Schindelhauer and Schomaker, 2005) decides which ones. Buckets propose to
// backend servers in the order of their scores, and a backend server holds the best proposals up to
// its quota (stable matching; Gale and Shapley, 1962). A small change of the weights moves few
// buckets.
func Build(backends []Backend) *Table {
	table := &Table{}
	sorted := make([]Backend, 0, len(backends))
	for _, b := range backends {
		if b.Weight > 0 {
			sorted = append(sorted, b)
		}
	}
	if len(sorted) == 0 {
		return table
	}
	slices.SortFunc(sorted, func(a, b Backend) int { return cmp.Compare(a.Hash, b.Hash) })
	if len(sorted) > maxBackends {
		slices.SortStableFunc(sorted, func(a, b Backend) int { return cmp.Compare(b.Weight, a.Weight) })
		sorted = sorted[:maxBackends]
	}
	for i, m := range newMatcher(sorted).run() {
		table[i] = sorted[m].Index
	}
	return table
}

// matcher holds the state of one assignment.
type matcher struct {
	backends []Backend
	quotas   []int
	// held are the proposals that each backend server holds, as a heap with the lowest score first.
	held [][]proposal
}

type proposal struct {
	score  float64
	bucket uint16
}

func (p proposal) isWorseThan(other proposal) bool {
	return p.score < other.score || (p.score == other.score && p.bucket < other.bucket)
}

func newMatcher(backends []Backend) *matcher {
	return &matcher{backends: backends, quotas: Quotas(backends), held: make([][]proposal, len(backends))}
}

// run returns the position of the backend server of each bucket.
func (m *matcher) run() [Buckets]int {
	for bucket := range uint16(Buckets) {
		// rejection is the last choice that rejected the bucket.
		rejection := choice{score: math.Inf(1), position: -1}
		for current, isUnassigned := bucket, true; isUnassigned; {
			next := m.next(current, rejection)
			current, rejection, isUnassigned = m.propose(current, next)
		}
	}
	var result [Buckets]int
	for position, held := range m.held {
		for _, p := range held {
			result[p.bucket] = position
		}
	}
	return result
}

type choice struct {
	score    float64
	position int
}

// next returns the best choice of a bucket below the given one. There always is one, because the
// quotas add up to the number of buckets.
func (m *matcher) next(bucket uint16, after choice) choice {
	best := choice{score: -1, position: -1}
	for i := range m.backends {
		s := m.score(i, bucket)
		isAfter := s < after.score || (s == after.score && i > after.position)
		if isAfter && (best.position < 0 || s > best.score) {
			best = choice{score: s, position: i}
		}
	}
	return best
}

// propose proposes a bucket to a backend server. It returns the bucket that is rejected as a
// result, the choice that rejected it, and whether there is one.
func (m *matcher) propose(bucket uint16, to choice) (uint16, choice, bool) {
	held := m.held[to.position]
	proposed := proposal{score: to.score, bucket: bucket}
	if len(held) < m.quotas[to.position] {
		m.held[to.position] = siftUp(append(held, proposed))
		return 0, choice{}, false
	}
	if len(held) == 0 || proposed.isWorseThan(held[0]) {
		return bucket, to, true
	}
	rejected := held[0]
	held[0] = proposed
	siftDown(held)
	return rejected.bucket, choice{score: rejected.score, position: to.position}, true
}

// score returns the weighted rendezvous score -w/ln(u) for a uniform u in (0, 1).
func (m *matcher) score(position int, bucket uint16) float64 {
	b := &m.backends[position]
	u := (float64(hasher.Pair(b.Hash, uint64(bucket))>>11) + 0.5) / (1 << 53)
	return -float64(b.Weight) / math.Log(u)
}

func siftUp(heap []proposal) []proposal {
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !heap[i].isWorseThan(heap[parent]) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	return heap
}

func siftDown(heap []proposal) {
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if heap[child].isWorseThan(heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}

// Quotas returns the number of buckets of each backend server: its share, rounded by the largest
// remainder method. The sum is Buckets if any weight is above 0.
func Quotas(backends []Backend) []int {
	quotas := make([]int, len(backends))
	total := 0.0
	for _, b := range backends {
		total += float64(b.Weight)
	}
	if total == 0 {
		return quotas
	}
	remainders := make([]float64, len(backends))
	order := make([]int, len(backends))
	left := Buckets
	for i, b := range backends {
		exact := float64(b.Weight) * Buckets / total
		quotas[i] = int(exact)
		remainders[i] = exact - float64(quotas[i])
		order[i] = i
		left -= quotas[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(remainders[b], remainders[a]), cmp.Compare(backends[a].Hash, backends[b].Hash))
	})
	for _, i := range order[:left] {
		quotas[i]++
	}
	return quotas
}
