package replicator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

const tickPeriod = 20 * time.Millisecond

// mutation breaks one decision of the Machine, to show that the checks detect it.
type mutation struct {
	forgetVotes           bool
	singleReplicaMajority bool
	skipVerification      bool
	readWithoutQuorum     bool
	sendBeforeSaved       bool
}

// simulation runs replicas, their network and clients deterministically from one seed.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	seq      uint64
	queue    deliveries
	nodes    []*node
	settings Settings
	mutation mutation
	// saveTime returns how long the disk of a replica takes to save. nil means no time.
	saveTime func(*node) time.Duration
	// onSaved is called after each save, or nil.
	onSaved func()
	// cuts has the pairs of sender and receiver between which nothing is delivered.
	cuts map[[2]string]bool
	// slowLink is nil, or the link to one replica that transmits one message after the other.
	slowLink         *slowLink
	loss, duplicate  float64
	minDelay, jitter time.Duration
	clients          []*client
	history          history
	// committed has the entry that a replica applied at each index, to compare all replicas.
	committed  map[uint64]storer.Entry
	leaders    map[uint64]string
	violations []string
	// convergedAt is when the cluster had last converged; diskFaultAt is when a disk was last
	// lost or restored from an image.
	convergedAt, diskFaultAt time.Duration
}

func newSimulation(seed uint64, size int, change mutation) *simulation {
	return newConfiguredSimulation(seed, size, change, func(*Settings) {})
}

// newConfiguredSimulation starts replicas with the settings that configure has changed.
func newConfiguredSimulation(seed uint64, size int, change mutation, configure func(*Settings)) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), mutation: change, cuts: make(map[[2]string]bool),
		minDelay: time.Millisecond, jitter: 8 * time.Millisecond,
		committed: make(map[uint64]storer.Entry), leaders: make(map[uint64]string),
		settings: DefaultSettings(),
	}
	sim.settings.SnapshotEntries, sim.settings.KeepEntries, sim.settings.MaxAppendBytes = 40, 10, 200
	sim.settings.Bootstrap = true
	for i := range size {
		n := &node{
			name: fmt.Sprintf("r%d", i+1), clockRate: 0.98 + 0.04*sim.rng.Float64(),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
		}
		sim.nodes = append(sim.nodes, n)
		sim.settings.Peers = append(sim.settings.Peers, Peer{Name: n.name, Address: n.address})
	}
	configure(&sim.settings)
	for _, n := range sim.nodes {
		sim.start(n)
	}
	return sim
}

func (sim *simulation) clock(n *node) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(sim.now) * n.clockRate))
}

func (sim *simulation) running() []*node {
	return slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n.machine == nil || n.paused })
}

func (sim *simulation) violationf(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now)+fmt.Sprintf(format, args...))
}

// run advances the time by d.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += tickPeriod
		for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
			next := heap.Pop(&sim.queue).(delivery)
			if i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.address == next.to }); i >= 0 {
				sim.deliver(sim.nodes[i], next.env)
			}
		}
		for _, n := range sim.running() {
			if n.saveEndsAt != 0 && n.saveEndsAt <= sim.now {
				sim.finishSave(n)
			}
			if n.machine != nil {
				sim.step(n, Tick{Now: sim.clock(n)})
			}
		}
		for _, c := range sim.clients {
			c.tick(sim)
		}
		if sim.hasConverged() {
			sim.convergedAt = sim.now
		}
	}
}

func (sim *simulation) deliver(n *node, env Envelope) {
	switch {
	case n.machine == nil:
	case n.paused:
		n.inbox = append(n.inbox, env)
	default:
		sim.step(n, Receive{Now: sim.clock(n), Envelope: env})
	}
}

func (sim *simulation) resume(n *node) {
	n.paused = false
	for _, env := range n.inbox {
		if n.machine != nil {
			sim.deliver(n, env)
		}
	}
	n.inbox = nil
}

// leader returns the leader of the highest term, or nil.
func (sim *simulation) leader() *node {
	var best *node
	for _, n := range sim.running() {
		if n.machine.role == RoleLeader && (best == nil || n.machine.term > best.machine.term) {
			best = n
		}
	}
	return best
}

// hasConverged reports whether all replicas are verified members that have stored the committed log, and as
// many of them as the settings allow are voters, so that the cluster survives the loss of a
// disk.
func (sim *simulation) hasConverged() bool {
	lead := sim.leader()
	if lead == nil || len(sim.running()) < len(sim.nodes) || lead.machine.membershipIndex() > lead.machine.commitIndex || lead.machine.membership().IsJoint() {
		return false
	}
	membership, voters, wanted := lead.machine.membership(), 0, len(sim.nodes)
	if sim.settings.MaxVoters > 0 {
		wanted = min(wanted, sim.settings.MaxVoters)
	}
	for _, n := range sim.nodes {
		m := n.machine
		if membership.IsVoter(m.id) {
			voters++
		}
		if _, ok := membership.Get(m.id); !ok || !m.verification.done || m.saving.stored.index < lead.machine.commitIndex || m.commitIndex < lead.machine.termStart() {
			return false
		}
	}
	return voters == wanted && membership.Voters() == wanted && len(membership.Members) == len(sim.nodes)
}

func (m *Machine) termStart() uint64 { return m.leaderState.termStartIndex }

// heal ends all faults of the network and of processes.
func (sim *simulation) heal() {
	clear(sim.cuts)
	sim.loss, sim.duplicate, sim.jitter = 0, 0, 8*time.Millisecond
	for _, n := range sim.nodes {
		n.crash = false
		if n.machine == nil {
			sim.start(n)
		} else if n.paused {
			sim.resume(n)
		}
	}
}

// waitForConvergence ends all faults and runs the simulation until the cluster has converged. It
// returns false if limit passes first.
func (sim *simulation) waitForConvergence(limit time.Duration) bool {
	sim.heal()
	for end := sim.now + limit; sim.now < end; {
		sim.run(5 * tickPeriod)
		sim.heal()
		if sim.hasConverged() {
			return true
		}
	}
	return false
}

// describe returns the state of all replicas for failure messages.
func (sim *simulation) describe() string {
	s := ""
	for _, n := range sim.nodes {
		if n.machine == nil {
			s += n.name + " down\n"
			continue
		}
		m := n.machine
		s += fmt.Sprintf("%s %s role=%s term=%d last=%d/%d commit=%d verified=%v minLog=%d/%d membershipIndex=%d voters=%d members=%v\n", n.name, m.id, m.role, m.term, m.log.last(), m.log.lastTerm(), m.commitIndex, m.verification.done, m.verification.minLogIndex, m.verification.minLogTerm, m.membershipIndex(), m.membership().Voters(), m.membership().Members)
	}
	return s
}
