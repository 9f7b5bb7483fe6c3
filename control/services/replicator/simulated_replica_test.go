package replicator

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// node is a simulated replica with its disk, Applier state and clock.
type node struct {
	name    string
	address netip.AddrPort
	disk    *disk
	// image is an earlier copy of the disk that a fault may restore.
	image     *disk
	machine   *Machine
	paused    bool
	inbox     []Envelope
	clockRate float64
	values    map[string]string
	applied   uint64
	// byID and byIndex have the calls without an outcome yet, by proposal ID and by log index.
	byID    map[uint64]*call
	byIndex map[uint64]*call
	reads   []*call
	// crash makes the replica crash the next time that it saves.
	crash bool
	// saving has the outputs that wait for the save in progress, which ends at saveEndsAt, and held those after them.
	saving, held savedOutputs
	saveEndsAt   time.Duration
	// snapshotTaken is an input of the next step, or nil.
	snapshotTaken *SnapshotTaken
}

// start starts a replica with its disk, or with a new one if it has none.
func (sim *simulation) start(n *node) {
	isNew := n.disk == nil
	if isNew {
		n.disk = &disk{}
		for i := range n.disk.id {
			n.disk.id[i] = byte(sim.rng.Uint32())
		}
	}
	s := sim.settings
	s.Name, s.Address = n.name, n.address
	state := &storer.State{Identity: n.disk.id, IsNew: isNew, Vote: n.disk.vote, Snapshot: n.disk.snapshot, Entries: slices.Clone(n.disk.entries)}
	m, err := New(s, state, sim.clock(n), rand.New(rand.NewPCG(sim.rng.Uint64(), 2)))
	if err != nil {
		panic(err)
	}
	if sim.mutation.singleReplicaMajority {
		m.majority = func(int) int { return 1 }
	}
	n.machine, n.paused, n.crash, n.inbox = m, false, false, nil
	n.saving, n.held, n.saveEndsAt, n.snapshotTaken = savedOutputs{}, savedOutputs{}, 0, nil
	n.values, n.applied = make(map[string]string), 0
	n.byID, n.byIndex, n.reads = make(map[uint64]*call), make(map[uint64]*call), nil
}

// kill stops a replica at once. The outcome of its calls stays unknown. A save in progress may have reached the disk.
func (sim *simulation) kill(n *node) {
	if n.saveEndsAt != 0 && sim.rng.IntN(2) == 0 {
		n.disk.save(n.saving.outputs)
	}
	for _, c := range n.byID {
		c.finish(sim, "", false)
	}
	n.machine, n.inbox = nil, nil
}

// step passes inputs to a replica. Outputs that may precede saves are executed at once.
func (sim *simulation) step(n *node, inputs ...Input) {
	if sim.mutation.skipVerification {
		n.machine.verification.done = true
	}
	if sim.mutation.forgetVotes && n.machine.role != RoleCandidate {
		n.machine.vote = storer.Identity{}
	}
	if taken := n.snapshotTaken; taken != nil {
		taken.Now, n.snapshotTaken = sim.clock(n), nil
		inputs = append(inputs, *taken)
	}
	sim.handle(n, n.machine.Step(inputs...))
	if m := n.machine; m != nil && m.role == RoleLeader {
		if other, ok := sim.leaders[m.term]; ok && other != n.name {
			sim.violationf("%s and %s are both leaders of term %d", other, n.name, m.term)
		}
		sim.leaders[m.term] = n.name
	}
}

func (sim *simulation) handle(n *node, out []Output) {
	if slices.ContainsFunc(out, IsSave) {
		n.held.steps++
	}
	for _, o := range out {
		send, isSend := o.(Send)
		switch {
		case isSend && sim.mutation.sendBeforeSaved:
			sim.transmit(n, send)
		case MayPrecedeSaves(o):
			sim.execute(n, o)
		default:
			n.held.outputs = append(n.held.outputs, o)
		}
	}
	if n.saveEndsAt == 0 {
		sim.startSave(n)
	}
}

func (sim *simulation) execute(n *node, o Output) {
	switch o := o.(type) {
	case Send:
		sim.transmit(n, o)
	case Restore:
		if o.Snapshot != n.disk.snapshot {
			sim.violationf("%s restored a snapshot at %d, which is not stored", n.name, o.Snapshot.Index)
		}
		n.values = make(map[string]string)
		if err := json.Unmarshal(o.Snapshot.Data, &n.values); err != nil {
			panic(err)
		}
		n.applied = o.Snapshot.Index
	case Apply:
		for _, e := range o.Entries {
			sim.apply(n, e)
		}
	case TakeSnapshot:
		data, _ := json.Marshal(n.values)
		n.snapshotTaken = &SnapshotTaken{Index: o.Index, Data: data}
	case Accepted:
		if c := n.byID[o.ID]; c != nil {
			c.term, n.byIndex[o.Index] = o.Term, c
		}
	case Refused:
		n.byID[o.ID].refuse(sim, o.Err)
	case OutcomeUnknown:
		n.byID[o.ID].finish(sim, "", false)
	case ReadReady:
		if c := n.byID[o.ID]; c != nil {
			c.index, n.reads = o.Index, append(n.reads, c)
		}
	}
	n.reads = slices.DeleteFunc(n.reads, func(c *call) bool {
		if n.applied < c.index {
			return false
		}
		c.finish(sim, n.values[c.in.Key], true)
		return true
	})
}

func (sim *simulation) apply(n *node, e storer.Entry) {
	if e.Index != n.applied+1 {
		sim.violationf("%s applied entry %d after entry %d", n.name, e.Index, n.applied)
	}
	n.applied = e.Index
	if e.Index > n.disk.last() {
		sim.violationf("%s applied entry %d, which is not stored", n.name, e.Index)
	}
	if known, ok := sim.committed[e.Index]; ok && (known.Term != e.Term || !slices.Equal(known.Data, e.Data)) {
		sim.violationf("%s applied a different entry at index %d: terms %d and %d", n.name, e.Index, known.Term, e.Term)
	}
	sim.committed[e.Index] = e
	result := ""
	if e.Kind == storer.EntryCommand {
		var in operation
		if err := json.Unmarshal(e.Data, &in); err != nil {
			panic(err)
		}
		result = n.values[in.Key]
		n.values[in.Key] = in.Value
	}
	if c := n.byIndex[e.Index]; c != nil && c.term == e.Term {
		c.finish(sim, result, true)
	}
}
