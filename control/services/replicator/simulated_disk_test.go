package replicator

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
)

// disk is the durable state of a simulated replica.
type disk struct {
	id       storer.Identity
	vote     storer.Vote
	snapshot *storer.Snapshot
	entries  []storer.Entry
}

func (d *disk) clone() *disk {
	c := *d
	c.entries = slices.Clone(d.entries)
	return &c
}

// last returns the index of the last stored entry.
func (d *disk) last() uint64 {
	index, _ := d.end()
	return index
}

// end returns the index and the term of the last stored entry.
func (d *disk) end() (index, term uint64) {
	if d.snapshot != nil {
		index, term = d.snapshot.Index, d.snapshot.Term
	}
	if len(d.entries) > 0 {
		if last := d.entries[len(d.entries)-1]; last.Index > index {
			index, term = last.Index, last.Term
		}
	}
	return index, term
}

// memberships returns the stored memberships in the order of the log.
func (d *disk) memberships() []indexedMembership {
	var all []indexedMembership
	if d.snapshot != nil {
		all = append(all, indexedMembership{index: d.snapshot.MembershipIndex, membership: d.snapshot.Membership})
	}
	for _, e := range d.entries {
		// Machine refuses entries that it cannot decode.
		if membership, err := decodeMembership(e); err == nil && membership != nil && (len(all) == 0 || e.Index > all[len(all)-1].index) {
			all = append(all, indexedMembership{index: e.Index, membership: *membership})
		}
	}
	return all
}

func (d *disk) save(out []Output) {
	for _, o := range out {
		switch o := o.(type) {
		case SaveVote:
			d.vote = o.Vote
		case SaveEntries:
			first := o.Entries[0].Index
			d.entries = slices.DeleteFunc(d.entries, func(e storer.Entry) bool { return e.Index >= first })
			d.entries = append(d.entries, o.Entries...)
		case SaveSnapshot:
			d.snapshot = o.Snapshot
			d.entries = slices.DeleteFunc(d.entries, func(e storer.Entry) bool { return o.Reset || e.Index < o.CompactBefore })
		}
	}
}

// savedOutputs are outputs in their order, and the number of the steps among them that save.
type savedOutputs struct {
	outputs []Output
	steps   int
}

// useSlowDisks makes all disks take a random time of up to limit for each save.
func (sim *simulation) useSlowDisks(limit time.Duration) {
	sim.saveTime = func(*node) time.Duration { return 1 + time.Duration(sim.rng.Int64N(int64(limit))) }
}

// startSave begins to save the held outputs.
func (sim *simulation) startSave(n *node) {
	n.saving, n.held = n.held, savedOutputs{}
	if n.saving.steps > 0 && sim.saveTime != nil {
		if saveTime := sim.saveTime(n); saveTime > 0 {
			n.saveEndsAt = sim.now + saveTime
			return
		}
	}
	sim.finishSave(n)
}

// finishSave makes outputs durable and executes those that waited for it. A crash loses all of them, or only some of
// those after the durable ones.
func (sim *simulation) finishSave(n *node) {
	saved := n.saving
	n.saving, n.saveEndsAt = savedOutputs{}, 0
	if n.crash && saved.steps > 0 && sim.rng.IntN(2) == 0 {
		sim.kill(n)
		return
	}
	n.disk.save(saved.outputs)
	if saved.steps > 0 && sim.onSaved != nil {
		sim.onSaved()
	}
	isCrashing := n.crash && saved.steps > 0
	if isCrashing {
		saved.outputs = saved.outputs[:sim.rng.IntN(len(saved.outputs))]
	}
	for _, o := range saved.outputs {
		sim.execute(n, o)
	}
	switch {
	case isCrashing:
		sim.kill(n)
	case saved.steps > 0:
		sim.step(n, Saved{Now: sim.clock(n), Steps: saved.steps})
	}
}
