package driver

import (
	"fmt"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/catcher"
)

// runApplier owns the Applier.
func (d *Driver) runApplier() {
	defer d.wg.Done()
	for {
		item, ok := d.work.Pop()
		if !ok || d.isStopped() {
			return
		}
		switch o := item.(type) {
		case replicator.Apply:
			d.apply(o.Entries)
			d.noteCurrent()
		case replicator.Restore:
			if err := d.options.Applier.Restore(o.Snapshot.Data); err != nil {
				d.fail(fmt.Errorf("restore the snapshot at %d: %w", o.Snapshot.Index, err))
				return
			}
			d.setApplied(o.Snapshot.Index)
			d.noteCurrent()
		case replicator.TakeSnapshot:
			d.takeSnapshot(o.Index)
		case replicator.ReadReady:
			// The ring has all entries up to the index of the read before it.
			d.waiting.finish(o.ID, outcome{})
		}
	}
}

func (d *Driver) apply(entries []storer.Entry) {
	for _, e := range entries {
		var o outcome
		if e.Kind == storer.EntryCommand {
			o = d.applyContained(e)
		}
		d.setApplied(e.Index)
		d.waiting.applied(e.Index, e.Term, o)
	}
}

// applyContained applies a command. One that makes the Applier panic does so at every
// replica and after every restart, so that it is refused instead: all replicas leave the
// same state behind, as they run the same code on the same state.
func (d *Driver) applyContained(e storer.Entry) (o outcome) {
	err := catcher.Run(func() { o.result, o.err = d.options.Applier.Apply(e.Index, e.Data) })
	if err != nil {
		d.options.Logger.Error("command refused; the replica goes on", "index", e.Index, "term", e.Term, "error", withStack(err))
		o = outcome{err: err}
	}
	return o
}

func (d *Driver) setApplied(index uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applied = index
}

// takeSnapshot leaves the snapshot for the next step of the decider, which must
// not wait for this goroutine.
func (d *Driver) takeSnapshot(index uint64) {
	data, err := d.options.Applier.Snapshot()
	if err != nil {
		d.metrics.snapshotErrors.Add(1)
		d.options.Logger.Warn("snapshot failed", "index", index, "error", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.taken = &replicator.SnapshotTaken{Index: index, Data: data, Err: err}
}
