package prioritiser_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/prioritiser"
)

type job struct {
	prioritiser.Position
	name string
}

func ExampleBucketQueue() {
	var jobs prioritiser.BucketQueue[*job]
	first, second := &job{name: "first"}, &job{name: "second"}
	jobs.Put(first, 3)
	jobs.Put(second, 1)
	items, level := jobs.LowestLevel(nil)
	fmt.Println(items[0].name, level)
	jobs.Put(second, 9)
	items, level = jobs.LowestLevel(nil)
	fmt.Println(items[0].name, level)
	// Output:
	// second 1
	// first 3
}

// Guards against items that are lost, duplicated or out of order after many moves.
func TestLowestLevelMatchesLinearScan(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 1))
	var q prioritiser.BucketQueue[*job]
	levels := make(map[*job]int)
	jobs := make([]*job, 20)
	for i := range jobs {
		jobs[i] = &job{name: fmt.Sprint(i)}
	}
	for range 5000 {
		j := jobs[rng.IntN(len(jobs))]
		if rng.IntN(3) == 0 {
			prioritiser.Remove(j)
			delete(levels, j)
		} else {
			levels[j] = rng.IntN(12)
			q.Put(j, levels[j])
		}
		skip := jobs[rng.IntN(len(jobs))]
		requireLowestLevel(t, &q, levels, skip)
	}
}

// Guards against an item that is in two BucketQueues.
func TestPutMovesItemBetweenQueues(t *testing.T) {
	t.Parallel()
	var a, b prioritiser.BucketQueue[*job]
	j := &job{name: "moved"}
	a.Put(j, 2)
	b.Put(j, 2)
	requireLowestLevel(t, &a, map[*job]int{}, nil)
	requireLowestLevel(t, &b, map[*job]int{j: 2}, nil)
}

func requireLowestLevel(t *testing.T, q *prioritiser.BucketQueue[*job], levels map[*job]int, skip *job) {
	t.Helper()
	wanted, lowest := []*job(nil), 1000
	for j, level := range levels {
		if j != skip {
			lowest = min(lowest, level)
		}
	}
	for j, level := range levels {
		if level == lowest {
			wanted = append(wanted, j)
		}
	}
	items, level := q.LowestLevel(skip)
	require.ElementsMatch(t, wanted, items)
	require.Equal(t, len(levels), q.Len())
	if len(wanted) > 0 {
		require.Equal(t, lowest, level)
	}
}
