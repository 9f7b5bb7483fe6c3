package replicator

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lossTarget chooses the VM of an event. It returns nil if there is none.
type lossTarget int

const (
	leaderTarget lossTarget = iota
	voterTarget
	standbyTarget
	// lostTarget is a VM that already counts as lost and runs.
	lostTarget
	lossTargets
)

func (o *lossOrder) find(target lossTarget) *slot {
	lead := o.sim.leader()
	for _, s := range o.slots {
		if lead == nil || s.node == nil || !o.mayLose(s) {
			continue
		}
		isVoter := lead.machine.membership().IsVoter(s.node.disk.id)
		isFound := map[lossTarget]bool{
			leaderTarget: s.node == lead, voterTarget: s.node != lead && isVoter && !o.isLost(s),
			standbyTarget: !isVoter && !o.isLost(s), lostTarget: o.isLost(s),
		}
		if isFound[target] {
			return s
		}
	}
	return nil
}

// lossStep is one event of an enumerated order.
type lossStep struct {
	kind   lossKind
	target lossTarget
}

// playLossSteps plays events with the same gap between their beginnings, each of which ends after length. It returns
// whether all of them could begin.
func playLossSteps(t *testing.T, size, allowed int, steps []lossStep, gap, length time.Duration) bool {
	t.Helper()
	o := newLossOrder(t, uint64(size), size, allowed)
	o.gap = func() time.Duration { return length }
	for _, step := range steps {
		s := o.find(step.target)
		if s == nil {
			return false
		}
		o.begin(step.kind, s)
		o.run(gap)
	}
	o.run(length + o.catchUp)
	require.Empty(t, o.failure, "%v, gap %s, length %s", steps, gap, length)
	return true
}

// Guards against control that ends for good in one of the short orders of lost and replaced replicas: all pairs of events
// at the leader, a voter, a replica that stands by and one that is lost already, with the same gaps.
//
// REPLICATOR_ORDERS=all plays them with more replicas, gaps and lengths, and three events in a row.
func TestShortLossOrders(t *testing.T) {
	t.Parallel()
	sizes, times, triples := []int{3, 5}, []time.Duration{200 * time.Millisecond}, false
	if os.Getenv("REPLICATOR_ORDERS") == "all" {
		sizes, times, triples = []int{3, 4, 5, 6}, []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, 1300 * time.Millisecond, 4500 * time.Millisecond}, true
	}
	var played atomic.Int64
	t.Cleanup(func() { t.Logf("%d orders", played.Load()) })
	for _, size := range sizes {
		allowed := 1 + (size-3)/2
		for kind := range lossKinds {
			for target := range lossTargets {
				// No VM is lost at the beginning, and none stands by if all vote.
				if target == lostTarget || target == standbyTarget && size == 2*allowed+1 {
					continue
				}
				t.Run(fmt.Sprintf("%d replicas, %d, %d", size, kind, target), func(t *testing.T) {
					t.Parallel()
					forEachStep(func(second lossStep) {
						if allowed == 1 && second.target != lostTarget {
							return // the first VM is lost
						}
						steps := []lossStep{{kind, target}, second}
						for _, gap := range times {
							for _, length := range times {
								if !playLossSteps(t, size, allowed, steps, gap, length) {
									continue
								}
								played.Add(1)
								if !triples || gap != length {
									continue
								}
								forEachStep(func(third lossStep) {
									if playLossSteps(t, size, allowed, append(steps, third), gap, length) {
										played.Add(1)
									}
								})
							}
						}
					})
				})
			}
		}
	}
}

func forEachStep(f func(lossStep)) {
	for kind := range lossKinds {
		for target := range lossTargets {
			f(lossStep{kind, target})
		}
	}
}
