package driver

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// ErrCommandTooLarge reports a command that exceeds the size limit. It was not proposed.
type ErrCommandTooLarge struct {
	// Size and Limit are in bytes.
	Size, Limit int
}

// Error returns the message of the error.
func (e ErrCommandTooLarge) Error() string {
	return fmt.Sprintf("the command has %d bytes; at most %d are allowed", e.Size, e.Limit)
}

// IsErrCommandTooLarge reports whether err is an ErrCommandTooLarge.
func IsErrCommandTooLarge(err error) bool {
	var target ErrCommandTooLarge
	return errors.As(err, &target)
}

type outcome struct {
	result []byte
	err    error
}

// pendingCalls holds the calls that wait for an outcome. It is safe for concurrent use.
type pendingCalls struct {
	mu      *sync.Mutex
	byID    map[uint64]chan outcome
	byIndex map[uint64]accepted
}

// accepted identifies a proposal that the leader has appended to its log.
type accepted struct {
	id   uint64
	term uint64
}

func newPendingCalls() pendingCalls {
	return pendingCalls{mu: new(sync.Mutex), byID: make(map[uint64]chan outcome), byIndex: make(map[uint64]accepted)}
}

func (w pendingCalls) add(id uint64) <-chan outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := make(chan outcome, 1)
	w.byID[id] = c
	return c
}

func (w pendingCalls) remove(id uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, id)
}

func (w pendingCalls) accept(o replicator.Accepted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byIndex[o.Index] = accepted{id: o.ID, term: o.Term}
}

func (w pendingCalls) finish(id uint64, o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c, ok := w.byID[id]; ok {
		c <- o
		delete(w.byID, id)
	}
}

// finishApplied completes the proposal at index if it was appended in the given term.
func (w pendingCalls) finishApplied(index, term uint64, o outcome) {
	w.mu.Lock()
	a, ok := w.byIndex[index]
	delete(w.byIndex, index)
	w.mu.Unlock()
	if ok && a.term == term {
		w.finish(a.id, o)
	}
}

// Propose commits a command and returns its result; see replicator.Proposer. It also
// returns ErrCommandTooLarge.
func (d *Driver) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, ErrCommandTooLarge{Size: len(command), Limit: maxCommandBytes}
	}
	o := d.submit(ctx, func(id uint64) replicator.Input { return replicator.Propose{ID: id, Command: command} })
	return o.result, o.err
}

// RemoveReplica removes a replica; see replicator.Remover.
func (d *Driver) RemoveReplica(ctx context.Context, name string) error {
	return d.submit(ctx, func(id uint64) replicator.Input { return replicator.Remove{ID: id, Name: name} }).err
}

// AdmitReplicas sets the names of the replicas that may join although they are not in
// the settings. If exclusive is true, no other name may join, except to replace a member.
func (d *Driver) AdmitReplicas(names []string, exclusive bool) {
	d.mu.Lock()
	d.admitted = names
	d.mu.Unlock()
	// A full queue drops the input; the caller repeats the call.
	_ = d.inputs.TryPush(replicator.SetJoinPolicy{Names: names, Exclusive: exclusive})
}

// SetPeers replaces the peers of the settings.
func (d *Driver) SetPeers(peers []replicator.Peer) {
	if !d.inputs.TryPush(replicator.SetPeers{Peers: peers}) {
		d.options.Logger.Warn("list of peers not updated: the replica is busy or stopped", "peers", len(peers))
	}
}

// SetVoterLimits replaces the limits of the number of voters of the settings.
func (d *Driver) SetVoterLimits(minVoters, maxVoters int) {
	if !d.inputs.TryPush(replicator.SetVoterLimits{MinVoters: minVoters, MaxVoters: maxVoters}) {
		d.options.Logger.Warn("limits of the number of voters not updated: the replica is busy or stopped", "min", minVoters, "max", maxVoters)
	}
}

// ReadBarrier waits until everything committed before the call is applied; see replicator.Proposer.
func (d *Driver) ReadBarrier(ctx context.Context) error {
	err := d.submit(ctx, func(id uint64) replicator.Input { return replicator.Read{ID: id} }).err
	var unknown replicator.ErrOutcomeUnknown
	if errors.As(err, &unknown) {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("wait for a majority: %w", err)
		}
		return replicator.ErrNoQuorum(unknown)
	}
	return err
}

// submit passes an input to the Machine and waits for its outcome.
func (d *Driver) submit(ctx context.Context, newInput func(id uint64) replicator.Input) outcome {
	if err := ctx.Err(); err != nil {
		return outcome{err: err}
	}
	id := d.nextID.Add(1)
	c := d.pending.add(id)
	if !d.inputs.TryPush(newInput(id)) {
		d.pending.remove(id)
		if d.isStopped() {
			return outcome{err: d.errStopped()}
		}
		return outcome{err: replicator.ErrOverloaded{Waiting: inputCapacity}}
	}
	select {
	case o := <-c:
		return o
	case <-ctx.Done():
		d.pending.remove(id)
		return outcome{err: replicator.ErrOutcomeUnknown{Reason: ctx.Err().Error()}}
	case <-d.ctx.Done():
		d.pending.remove(id)
		return outcome{err: replicator.ErrOutcomeUnknown{Reason: "this replica stops"}}
	}
}

func (d *Driver) isStopped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped || d.failed != nil
}
