package driver

import (
	"fmt"
	"slices"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// saveWaitDivisor divides the heartbeat interval to give how long a step waits for the disk. Most saves end within that
// time, and waiting keeps them with their step. After it, further steps are taken during the save, so that a slow disk
// delays no heartbeat.
const saveWaitDivisor = 2

// Store makes the output of steps durable. It is implemented by storer.Store.
type Store interface {
	// Save stores a batch atomically and returns once it is durable. Calls do not overlap. After an error the replica
	// stops, and no further call follows.
	Save(batch *storer.Batch) error
}

// stepOutputs are the outputs of steps in their order, and the number of the steps among them that save.
type stepOutputs struct {
	outputs []replicator.Output
	steps   int
}

// saves are the outputs that are not executed yet.
type saves struct {
	// current waits for the save in progress, and next has the outputs after those.
	current, next stepOutputs
	inProgress    bool
}

// takeInputs passes inputs to the Machine. The end of a slow save comes as one of them.
func (d *Driver) takeInputs(inputs []replicator.Input) {
	isSaved := func(in replicator.Input) bool { _, ok := in.(replicator.Saved); return ok }
	if slices.ContainsFunc(inputs, isSaved) {
		d.saves.inProgress = false
		d.executeSaved()
		inputs = slices.DeleteFunc(inputs, isSaved)
	}
	d.takeStep(inputs...)
}

// takeStep passes inputs to the Machine, executes what may precede saves, and queues the other outputs.
func (d *Driver) takeStep(inputs ...replicator.Input) {
	out := d.machine.Step(inputs...)
	next := &d.saves.next
	if !collectBatch(out).IsEmpty() {
		next.steps++
	}
	d.updateStatus()
	for _, o := range out {
		if replicator.MayPrecedeSaves(o) {
			d.handleOutput(o)
		} else {
			next.outputs = append(next.outputs, o)
		}
	}
}

// flush stores and executes the queued outputs, and takes the steps that follow from their being durable. It returns
// early if the disk is slow; the end of the save is then one of the next inputs.
func (d *Driver) flush() error {
	s := &d.saves
	for !s.inProgress && len(s.next.outputs) > 0 {
		s.current, s.next = s.next, stepOutputs{}
		if s.current.steps > 0 {
			isSaved, err := d.save(collectBatch(s.current.outputs), s.current.steps)
			if err != nil {
				return err
			}
			if s.inProgress = !isSaved; !isSaved {
				return nil
			}
		}
		d.executeSaved()
	}
	return nil
}

// executeSaved executes the outputs whose save has ended, and reports the save to the Machine.
func (d *Driver) executeSaved() {
	saved := d.saves.current
	d.saves.current = stepOutputs{}
	for _, o := range saved.outputs {
		d.handleOutput(o)
	}
	if saved.steps > 0 {
		d.takeStep(replicator.Saved{Now: d.options.Timer.Now(), Steps: saved.steps})
	}
}

// save starts to store a batch. It returns false if the disk is slow; the end of the save is then queued as an input.
func (d *Driver) save(batch *storer.Batch, steps int) (bool, error) {
	began, done := d.options.Timer.Now(), make(chan error, 1)
	d.wg.Go(func() {
		err := d.options.Store.Save(batch)
		d.metrics.syncTime.Observe(d.options.Timer.Now().Sub(began))
		done <- err
	})
	wait := d.options.Timer.Subscribe("save", d.options.Settings.Heartbeat/saveWaitDivisor)
	defer wait.Cancel()
	select {
	case err := <-done:
		return true, err
	case <-wait.C:
	}
	d.metrics.slowSaves.Add(1)
	d.wg.Go(func() {
		if err := <-done; err != nil {
			d.failSave(err)
			return
		}
		if took := d.options.Timer.Now().Sub(began); took >= d.options.Settings.ElectionTimeout/logWaitDivisor {
			d.options.Logger.Warn("disk took long to store the log", "duration", took)
		}
		d.inputs.Push(replicator.Saved{Steps: steps})
	})
	return false, nil
}

func (d *Driver) failSave(err error) { d.fail(fmt.Errorf("store the log: %w", err)) }

// collectBatch merges the durable output of a step into one batch. When it is saved,
// later entries replace the earlier ones from their index on. A received snapshot that
// resets the log deletes the entries collected so far.
func collectBatch(out []replicator.Output) *storer.Batch {
	var b storer.Batch
	for _, o := range out {
		switch o := o.(type) {
		case replicator.SaveVote:
			b.Vote = &o.Vote
		case replicator.SaveEntries:
			b.Entries = append(b.Entries, o.Entries...)
		case replicator.SaveSnapshot:
			b.Snapshot = o.Snapshot
			b.CompactBefore = max(b.CompactBefore, o.CompactBefore)
			if o.Reset {
				b.Reset, b.CompactBefore, b.Entries = true, 0, nil
			}
		}
	}
	return &b
}
