package balancer_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/balancer"
)

// overloadResult holds the figures of a run. A request is served if its response is complete before its
// deadline. The figures by priority are of the requests that began in the burst.
type overloadResult struct {
	offered, served [3]int
	latencies       []time.Duration
	// offeredWork is the work of the requests that began in the burst, doneWork of those served in it, and
	// promptWork of those served within the target latency.
	offeredWork, doneWork, promptWork time.Duration
	lastFailed                        time.Duration // when the last request began that was not served
	resets                            [16]int       // by reason
	// The resets for lack of slots are also counted if a backend server had a free one, with the number of
	// free ones, and if a data centre had fewer requests in progress than slots.
	resetsWithFreeSlot, freeAtResets, resetsWithFreeDataCentre int
	// lateResets counts resets of open flows, and of flows that an entry has forwarded to a backend server before the
	// reset was sent, before it arrived or after that. copyResets counts those of copies of opening packets.
	lateResets, copyResets         int
	longestReset                   time.Duration
	sheds, packets, lost, withheld int
	placedOut                      int // flows to a data centre that is taken out
}

func (r *overloadRun) recordOffered(c *modelCall) {
	if r.isBurst(c.createdAt) {
		r.offered[r.routes[c.route].priority]++
		r.offeredWork += c.work
	}
}

func (r *overloadRun) recordOutcome(c *modelCall, isServed bool) {
	c.isDone = true
	latency, t := r.now-c.createdAt, r.routes[c.route]
	if !isServed {
		r.lastFailed = max(r.lastFailed, c.createdAt)
		return
	}
	// What runs when the burst begins is not of the burst, and what runs at its end is.
	if r.isBurst(r.now - t.work) {
		r.doneWork += c.work
		if latency <= t.target {
			r.promptWork += c.work
		}
	}
	if r.isBurst(c.createdAt) {
		r.served[t.priority]++
		r.latencies = append(r.latencies, latency)
	}
}

func (r *overloadRun) recordReset(p balancer.Packet, f *modelFlow, reason balancer.Reason, sentAt time.Duration) {
	r.resets[reason]++
	r.longestReset = max(r.longestReset, r.now+callerLatency-sentAt)
	if !p.IsOpening || f.isForwarded {
		r.lateResets++
	}
	if p.IsOpening && p.Retransmissions > 0 {
		r.copyResets++
	}
	if reason != balancer.ReasonOverCapacity {
		return
	}
	free, rooms := 0, make(map[string]int)
	for _, s := range r.servers {
		if room := serverSlots - s.running - len(s.queue) - s.coming; !s.isOut {
			free += max(room, 0)
			rooms[s.DataCentre] += room
		}
	}
	if r.freeAtResets += free; free > 0 {
		r.resetsWithFreeSlot++
	}
	if max(rooms["a"], rooms["b"], rooms["c"]) > 0 {
		r.resetsWithFreeDataCentre++
	}
}

// goodput returns work that was done as a part of what the slots can do. A data centre that is taken out in
// mid-burst does not count from then on.
func (r *overloadRun) goodput(done time.Duration) float64 {
	room := time.Duration(len(r.servers)*serverSlots) * r.burst
	if r.takesOut {
		room -= room / 6
	}
	return float64(done) / float64(min(r.offeredWork, room))
}

func (r *overloadRun) share(priority uint8) float64 {
	return float64(r.served[priority]) / float64(r.offered[priority])
}

// recoveryTime returns how long after the burst requests still began that were not served.
func (r *overloadRun) recoveryTime() time.Duration { return max(r.lastFailed-r.calm-r.burst, 0) }

// imbalance returns the requests in the burst at the busiest backend server in relation to the mean.
func (r *overloadRun) imbalance() float64 {
	highest, sum := 0, 0
	for _, s := range r.servers {
		highest, sum = max(highest, s.served), sum+s.served
	}
	return float64(highest*len(r.servers)) / float64(sum)
}

func (r *overloadRun) row() string {
	slices.Sort(r.latencies)
	last := len(r.latencies) - 1
	return fmt.Sprintf("%.2f %.2f | %.2f %.2f | %4d %4d | %6d %6d | %6d %3d %4d | %5d | %.2f s | %4.1f%% | %6d | %.2f",
		r.goodput(r.doneWork), r.goodput(r.promptWork), r.share(1), r.share(2),
		r.latencies[last/2].Milliseconds(), r.latencies[last*99/100].Milliseconds(), r.resets[balancer.ReasonOverCapacity], r.resets[balancer.ReasonLinkFull],
		r.resetsWithFreeSlot, r.freeAtResets/max(r.resetsWithFreeSlot, 1), r.resetsWithFreeDataCentre,
		r.sheds, r.recoveryTime().Seconds(), 100*float64(r.lost)/float64(r.packets), r.withheld, r.imbalance())
}

const rowTitle = "in time, in target | rank 1, 2 | p50 p99 ms | resets over_capacity, link_full | of the first with a slot free, mean free, " +
	"a data centre free | sheds | recovery | packets lost | refusals withheld | busiest over mean"
