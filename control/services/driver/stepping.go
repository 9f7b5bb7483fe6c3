package driver

import (
	"errors"
	"fmt"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/recoverer"
)

// runSteps is the goroutine that owns the Machine.
func (d *Driver) runSteps() {
	defer d.wg.Done()
	defer d.closeSenders()
	batch := make([]replicator.Input, stepBatch)
	for {
		n := d.inputs.PopBatch(batch)
		if n == 0 || d.failure() != nil {
			return
		}
		var saveErr error
		if err := recoverer.Run(func() {
			d.takeInputs(d.timestampInputs(batch[:n]))
			saveErr = d.flush()
		}); err != nil {
			d.fail(fmt.Errorf("handle a message: %w", withStack(err)))
			return
		}
		if saveErr != nil {
			d.failSave(saveErr)
			return
		}
	}
}

// withStack adds the stack trace of a panic to its error, for the log.
func withStack(err error) error {
	var panicked recoverer.ErrPanic
	if errors.As(err, &panicked) {
		return fmt.Errorf("%w\n%s", err, panicked.Stack)
	}
	return err
}

// timestampInputs sets the time of the inputs to that at which they are handled, so that
// a message that was queued while the process was paused counts as late. If the Applier
// has taken a snapshot since the last step, it is added as a further input.
func (d *Driver) timestampInputs(batch []replicator.Input) []replicator.Input {
	now := d.options.Timer.Now()
	inputs := make([]replicator.Input, 0, len(batch)+1)
	for _, input := range batch {
		switch in := input.(type) {
		case replicator.Tick:
			in.Now = now
			input = in
		case replicator.Receive:
			in.Now = now
			input = in
		case replicator.Propose:
			in.Now = now
			input = in
		case replicator.Read:
			in.Now = now
			input = in
		case replicator.Remove:
			in.Now = now
			input = in
		case replicator.Resign:
			in.Now = now
			input = in
		}
		inputs = append(inputs, input)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snapshotTaken != nil {
		d.snapshotTaken.Now = now
		inputs = append(inputs, *d.snapshotTaken)
		d.snapshotTaken = nil
	}
	return inputs
}

func (d *Driver) handleOutput(o replicator.Output) {
	switch o := o.(type) {
	case replicator.Send:
		d.send(o)
	case replicator.Accepted:
		d.pending.accept(o)
	case replicator.Refused:
		d.pending.finish(o.ID, outcome{err: o.Err})
	case replicator.OutcomeUnknown:
		d.pending.finish(o.ID, outcome{err: replicator.ErrOutcomeUnknown{Reason: "this replica no longer leads"}})
	case replicator.Apply, replicator.Restore, replicator.TakeSnapshot, replicator.ReadReady:
		d.applyQueue.Push(o)
	}
}
