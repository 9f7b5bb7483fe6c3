package driver

import (
	"fmt"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/recoverer"
)

// runApplier is the goroutine that owns the Applier.
func (d *Driver) runApplier() {
	defer d.wg.Done()
	for {
		item, ok := d.applyQueue.Pop()
		if !ok || d.isStopped() {
			return
		}
		switch o := item.(type) {
		case replicator.Apply:
			d.apply(o.Entries)
			d.logCurrent()
		case replicator.Restore:
			if err := d.restore(o.Snapshot); err != nil {
				d.fail(fmt.Errorf("restore the snapshot at %d: %w", o.Snapshot.Index, err))
				return
			}
			d.setApplied(o.Snapshot.Index)
			d.logCurrent()
		case replicator.TakeSnapshot:
			d.takeSnapshot(o.Index)
		case replicator.ReadReady:
			// All entries up to the index of the read precede it in the queue.
			d.pending.finish(o.ID, outcome{})
		}
	}
}

func (d *Driver) restore(snapshot *storer.Snapshot) error {
	if snapshot.Index <= d.options.AppliedIndex {
		return nil
	}
	return d.options.Applier.Restore(snapshot.Data)
}

func (d *Driver) apply(entries []storer.Entry) {
	for _, e := range entries {
		var o outcome
		if e.Kind == storer.EntryCommand && e.Index > d.options.AppliedIndex {
			o = d.applyRecovering(e)
		}
		d.setApplied(e.Index)
		d.pending.finishApplied(e.Index, e.Term, o)
	}
}

// applyRecovering applies a command and recovers if the Applier panics. Such a command would
// panic on every replica and after every restart, so it is refused instead. The replicas stay
// consistent, as they run the same code on the same state.
func (d *Driver) applyRecovering(e storer.Entry) (o outcome) {
	err := recoverer.Run(func() { o.result, o.err = d.options.Applier.Apply(e.Index, e.Data) })
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

// snapshot returns a snapshot of the state at index. It returns an error while the Applier is ahead
// of the log that is applied again.
func (d *Driver) snapshot(index uint64) ([]byte, error) {
	if index < d.options.AppliedIndex {
		return nil, fmt.Errorf("the state is that at index %d", d.options.AppliedIndex)
	}
	return d.options.Applier.Snapshot()
}

// takeSnapshot stores a snapshot for the next step of the Machine. The goroutine of
// runSteps must not wait for this one.
func (d *Driver) takeSnapshot(index uint64) {
	data, err := d.snapshot(index)
	if err != nil {
		d.metrics.snapshotErrors.Add(1)
		d.options.Logger.Warn("snapshot failed", "index", index, "error", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshotTaken = &replicator.SnapshotTaken{Index: index, Data: data, Err: err}
}
