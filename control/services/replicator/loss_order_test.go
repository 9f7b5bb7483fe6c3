package replicator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

const never = time.Duration(math.MaxInt64)

// handoverTimeout is how long a replica that stops as planned waits for its replacement. The platform kills it 2 s later.
const handoverTimeout = 4 * time.Second

// slot is a place for a VM of a deployment. A VM that is gone for good leaves it to its successor.
type slot struct {
	// node is nil while there is no VM.
	node *node
	// lostUntil is the time until which the VM counts as lost.
	lostUntil time.Duration
	// isCutOff reports that nothing reaches the VM and nothing comes from it.
	isCutOff bool
	// isBusy reports that the end of an earlier event is still to come.
	isBusy bool
}

// lossOrder plays a drawn order of losses, of which no more overlap than are allowed. After each save it checks that a
// final loss would be survived.
type lossOrder struct {
	sim     *simulation
	rng     *rand.Rand
	allowed int
	// catchUp is how long a VM counts as lost after it is back.
	catchUp time.Duration
	slots   []*slot
	due     []dueEvent
	events  []string
	failure string
	// gap returns the time between the beginning and the end of an event.
	gap func() time.Duration
}

// lossKind is a kind of event.
type lossKind int

const (
	stopForGood lossKind = iota
	killForGood
	losePower
	loseDisk
	freeze
	cutOff
	replaceAhead
	lossKinds
)

// dueEvent is the end of an event that has begun.
type dueEvent struct {
	at  time.Duration
	run func()
}

func newLossOrder(t *testing.T, seed uint64, size, allowed int) *lossOrder {
	t.Helper()
	sim := newVotingSimulation(t, seed, size, 2*allowed+1)
	o := &lossOrder{sim: sim, rng: rand.New(rand.NewPCG(seed, 9)), allowed: allowed, catchUp: catchUp}
	if allowed > 1 {
		o.catchUp = 6 * time.Second
	}
	for _, n := range sim.nodes {
		o.slots = append(o.slots, &slot{node: n})
	}
	o.gap = o.drawGap
	sim.onSaved = o.check
	return o
}

func (o *lossOrder) isLost(s *slot) bool { return o.sim.now < s.lostUntil }

func (o *lossOrder) lost() []*slot {
	return slices.DeleteFunc(slices.Clone(o.slots), func(s *slot) bool { return !o.isLost(s) })
}

// check requires that the other replicas can elect a leader that has all committed entries if the lost VMs, and as many
// more as are allowed, lose their disks now.
func (o *lossOrder) check() {
	lost := o.lost()
	o.forEachLoss(lost, o.slots, func(wiped []*slot) {
		var remaining []*node
		for _, s := range o.slots {
			if s.node != nil && !slices.Contains(wiped, s) {
				remaining = append(remaining, s.node)
			}
		}
		if o.failure == "" && !canElect(remaining, o.sim.lastCommitted()) {
			o.failure = fmt.Sprintf("%s: no leader if %s lose their disks\n%s\n%s", o.sim.now, namesOf(wiped), strings.Join(o.events, "\n"), o.sim.describe())
		}
	})
}

// forEachLoss calls f with each choice of allowed slots that contains those of lost.
func (o *lossOrder) forEachLoss(lost, others []*slot, f func([]*slot)) {
	if len(lost) >= o.allowed {
		f(lost)
		return
	}
	for i, s := range others {
		if !slices.Contains(lost, s) {
			o.forEachLoss(append(slices.Clone(lost), s), others[i+1:], f)
		}
	}
}

func namesOf(slots []*slot) string {
	names := make([]string, 0, len(slots))
	for _, s := range slots {
		if s.node != nil {
			names = append(names, s.node.name)
		}
	}
	return strings.Join(names, " and ")
}

// lastCommitted returns the index of the last entry that a replica has applied.
func (sim *simulation) lastCommitted() uint64 {
	last := uint64(0)
	for index := range sim.committed {
		last = max(last, index)
	}
	return last
}

// canElect reports whether the disks of the replicas allow the election of a leader that has the entry at committed.
func canElect(replicas []*node, committed uint64) bool {
	return slices.ContainsFunc(replicas, func(candidate *node) bool {
		index, term := candidate.disk.end()
		memberships := candidate.disk.memberships()
		mayStand := false
		for i, at := range memberships {
			isReplaced := i+1 < len(memberships) && memberships[i+1].index <= committed
			mayStand = mayStand || !isReplaced && at.membership.IsVoter(candidate.disk.id)
		}
		return index >= committed && mayStand && memberships[len(memberships)-1].membership.HasMajority(majorityOf, func(id storer.Identity) bool {
			return slices.ContainsFunc(replicas, func(voter *node) bool {
				voterIndex, voterTerm := voter.disk.end()
				return voter.disk.id == id && !isBehind(index, term, voterIndex, voterTerm)
			})
		})
	})
}

// run advances the time and ends the events that are due. A command is proposed every 100 ms.
func (o *lossOrder) run(d time.Duration) {
	for end := o.sim.now + d; o.sim.now < end && o.failure == ""; {
		o.dropMessages()
		o.sim.run(tickPeriod)
		due := o.due
		o.due = nil
		for _, event := range due {
			if event.at <= o.sim.now {
				event.run()
			} else {
				o.due = append(o.due, event)
			}
		}
		if lead := o.sim.leader(); lead != nil && o.sim.now%(5*tickPeriod) == 0 {
			o.sim.step(lead, Propose{Now: o.sim.clock(lead), ID: 1 << 40, Command: []byte(`{}`)})
		}
	}
}

func (o *lossOrder) after(d time.Duration, run func()) {
	o.due = append(o.due, dueEvent{at: o.sim.now + d, run: run})
}

func (o *lossOrder) logf(format string, args ...any) {
	o.events = append(o.events, fmt.Sprintf("%8.2f s  %s (lost: %d)", o.sim.now.Seconds(), fmt.Sprintf(format, args...), len(o.lost())))
}

// drawGap draws a time from 20 ms to 9 s, short ones as often as long ones.
func (o *lossOrder) drawGap() time.Duration {
	return time.Duration(float64(20*time.Millisecond) * math.Pow(450, o.rng.Float64())).Round(tickPeriod)
}

// lose makes a slot lost until the event that returns after a drawn time has ended and the VM has caught up.
func (o *lossOrder) lose(s *slot, what string, back func()) {
	s.lostUntil, s.isBusy = never, true
	o.logf("%s %s", s.node.name, what)
	o.after(o.gap(), func() {
		back()
		s.lostUntil, s.isBusy = o.sim.now+o.catchUp, false
		o.logf("%s is back", s.node.name)
	})
}

// inject begins one drawn event, or none if no VM may be lost.
func (o *lossOrder) inject() {
	candidates := slices.DeleteFunc(slices.Clone(o.slots), func(s *slot) bool { return !o.mayLose(s) })
	if len(candidates) == 0 {
		return
	}
	s := candidates[o.rng.IntN(len(candidates))]
	if kind := lossKind(o.rng.IntN(int(lossKinds) + 1)); kind < lossKinds {
		o.begin(kind, s)
	} else {
		o.changeAllowed(3 - o.allowed)
	}
}

// mayLose reports whether an event may begin at a slot.
func (o *lossOrder) mayLose(s *slot) bool {
	return !s.isBusy && (len(o.lost()) < o.allowed || o.isLost(s))
}

// begin begins an event at a slot.
func (o *lossOrder) begin(kind lossKind, s *slot) {
	switch kind {
	case stopForGood:
		o.stop(s, "is asked to stop, to be replaced", func() { o.removeFor(s) })
	case killForGood:
		o.sim.kill(s.node)
		o.lose(s, "is gone for good", func() { o.replace(s) })
	case losePower:
		o.sim.kill(s.node)
		o.lose(s, "has no power", func() { o.startNode(s.node) })
	case loseDisk:
		o.sim.kill(s.node)
		s.node.disk = &disk{}
		o.lose(s, "loses its disk", func() {
			s.node.disk = nil
			o.startNode(s.node)
		})
	case freeze:
		s.node.paused = true
		o.lose(s, "is frozen", func() { o.sim.resume(s.node) })
	case cutOff:
		s.isCutOff = true
		o.lose(s, "is cut off", func() { s.isCutOff = false })
	case replaceAhead:
		if len(o.lost()) < o.allowed {
			o.replaceAhead(s)
		}
	}
}

// changeAllowed changes how many VMs may be lost. More may be lost only once all VMs have had time to catch up.
func (o *lossOrder) changeAllowed(allowed int) {
	voters := 2*allowed + 1
	if o.sim.settings.MaxVoters != 2*o.allowed+1 || len(o.slots) < voters || len(o.lost()) > 0 && allowed < o.allowed {
		return
	}
	o.sim.setVoterLimits(voters)
	o.logf("%d may be lost from now on", allowed)
	if allowed < o.allowed {
		o.allowed = allowed
		return
	}
	var raise func()
	raise = func() {
		isBusy := slices.ContainsFunc(o.slots, func(s *slot) bool { return s.isBusy })
		if isBusy || len(o.lost()) > 0 || len(o.slots) < voters {
			o.after(o.catchUp, raise)
			return
		}
		o.allowed = allowed
		o.logf("%d may be lost", allowed)
	}
	o.after(o.catchUp, raise)
}

// dropMessages drops the messages of the VMs that are cut off.
func (o *lossOrder) dropMessages() {
	clear(o.sim.cuts)
	for _, s := range o.slots {
		if !s.isCutOff {
			continue
		}
		for _, n := range o.sim.nodes {
			o.sim.cuts[[2]string{s.node.name, n.name}], o.sim.cuts[[2]string{n.name, s.node.name}] = true, true
		}
	}
}

// stop asks a replica to stop as planned. Like the driver it resigns until its process ends, and waits for the handover.
func (o *lossOrder) stop(s *slot, what string, ended func()) {
	const shutdownTime = 400 * time.Millisecond
	s.lostUntil, s.isBusy = never, true
	o.logf("%s %s", s.node.name, what)
	deadline, endsAt := o.sim.now+handoverTimeout, never
	var resign func()
	resign = func() {
		o.sim.step(s.node, Resign{Now: o.sim.clock(s.node)})
		if endsAt == never && (!s.node.machine.Status().IsHandoverDue || o.sim.now >= deadline) {
			endsAt = o.sim.now + shutdownTime
		}
		if o.sim.now < endsAt {
			o.after(0, resign)
			return
		}
		o.sim.kill(s.node)
		ended()
	}
	o.after(0, resign)
}

// removeFor removes a stopped VM and starts its successor after a drawn time.
func (o *lossOrder) removeFor(s *slot) {
	o.lose(s, "has ended", func() { o.replace(s) })
}

// replaceAhead starts a successor and stops the VM as planned once that one has caught up.
func (o *lossOrder) replaceAhead(s *slot) {
	s.isBusy = true
	successor := &slot{isBusy: true, lostUntil: o.sim.now + o.catchUp}
	o.slots = append(o.slots, successor)
	o.choosePeers()
	successor.node = o.sim.startReplacement()
	o.logf("%s starts, to replace %s", successor.node.name, s.node.name)
	o.after(o.catchUp+o.gap(), func() {
		successor.isBusy = false
		o.stop(s, "is asked to stop", func() {
			o.sim.remove(s.node)
			o.slots = slices.DeleteFunc(o.slots, func(other *slot) bool { return other == s })
		})
		s.lostUntil = 0
	})
}

// replace starts the successor of a VM that is gone for good.
func (o *lossOrder) replace(s *slot) {
	o.sim.remove(s.node)
	s.node = nil
	o.choosePeers()
	s.node = o.sim.startReplacement()
}

func (o *lossOrder) startNode(n *node) {
	o.choosePeers()
	o.sim.start(n)
}

// choosePeers draws the replicas that the settings list from now on. One of them is not lost.
func (o *lossOrder) choosePeers() {
	var peers []Peer
	for _, i := range o.rng.Perm(len(o.slots)) {
		if s := o.slots[i]; s.node != nil {
			peer := Peer{Name: s.node.name, Address: s.node.address}
			if o.isLost(s) {
				peers = append(peers, peer)
			} else {
				peers = slices.Insert(peers, 0, peer)
			}
		}
	}
	o.sim.settings.Peers = peers[:min(3, len(peers))]
}

// finish loses the lost VMs and as many more as are allowed, with their disks, and in half of the seeds the power of all
// others. It requires that a leader has all committed entries afterwards and commits more.
func (o *lossOrder) finish(t *testing.T) {
	t.Helper()
	committed := o.sim.lastCommitted()
	for len(o.lost()) < o.allowed {
		o.slots[o.rng.IntN(len(o.slots))].lostUntil = never
	}
	o.due = nil
	isDark := o.rng.IntN(2) == 0
	for _, s := range o.slots {
		s.isCutOff = false
		if s.node != nil && s.node.machine != nil && (isDark || o.isLost(s)) {
			o.sim.kill(s.node)
		}
	}
	o.logf("the final loss, all others without power: %t", isDark)
	o.sim.onSaved = func() {}
	o.run(time.Second)
	for _, s := range o.slots {
		switch {
		case s.node == nil || !slices.Contains(o.sim.nodes, s.node):
			o.replace(s)
		case o.isLost(s):
			s.node.disk = nil
			o.startNode(s.node)
		case s.node.machine == nil:
			o.startNode(s.node)
		}
		if s.node.paused {
			o.sim.resume(s.node)
		}
	}
	o.run(12 * time.Second)
	lead := o.sim.leader()
	require.NotNil(t, lead, "%s\n%s", strings.Join(o.events, "\n"), o.sim.describe())
	require.GreaterOrEqual(t, lead.machine.commitIndex, committed)
	committed = o.sim.lastCommitted()
	o.run(2 * time.Second)
	require.Greater(t, o.sim.lastCommitted(), committed, "%s\n%s", strings.Join(o.events, "\n"), o.sim.describe())
}

// Guards against control that ends for good, or loses what it has acknowledged, in any order of planned stops,
// replacements, losses of power, freezes and lost disks of which no more overlap than the settings allow.
//
// Rerun one seed: REPLICATOR_SEED=17 go test ./services/replicator -run TestLossOrders.
func TestLossOrders(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds(t, 60) {
		allowed := 1 + int(seed%2)
		size := 2*allowed + 1 + int(seed/2%3)
		t.Run(fmt.Sprintf("seed %d, %d replicas, %d may be lost", seed, size, allowed), func(t *testing.T) {
			t.Parallel()
			o := newLossOrder(t, seed, size, allowed)
			if seed%5 == 4 {
				o.sim.useSlowDisks(100 * time.Millisecond)
			}
			for range 12 {
				o.inject()
				o.run(o.drawGap())
			}
			require.Empty(t, o.failure)
			o.finish(t)
			t.Log("\n" + strings.Join(o.events, "\n"))
			require.Empty(t, o.sim.violations)
		})
	}
}

func majorityOf(n int) int { return n/2 + 1 }
