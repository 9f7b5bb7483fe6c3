// Package driver runs a replicator.Machine: it hands it messages, time and
// proposals, stores what must be durable, sends messages, and applies committed
// commands. There is one goroutine for each duty, joined by bounded rings.
package driver

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/catcher"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	inputCapacity = 4096
	applyCapacity = 1024
	sendCapacity  = 256
	// stepBatch bounds the inputs that share one sync.
	stepBatch = 256
	// sendBatch bounds the messages of one call; each has at most
	// maxCommandBytes, and gRPC receives at most 4 MiB.
	sendBatch = 3
	// maxCommandBytes bounds a command.
	maxCommandBytes = 1 << 20
	// ticksPerHeartbeat sets the period of the ticks.
	ticksPerHeartbeat = 5
)

// Options are what a Driver needs.
type Options struct {
	Settings replicator.Settings
	Store    *storer.Store
	State    *storer.State
	Applier  replicator.Applier
	Timer    timer.Service
	// TLS is nil to connect without TLS. With it, only certificates whose common
	// name is that of a replica may deliver messages.
	TLS      *tls.Config
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Driver runs one replica. It implements replicator.Proposer and
// replicator.Remover.
type Driver struct {
	options Options
	machine *replicator.Machine
	pool    *transporter.Pool
	period  time.Duration

	inputs *buffer.Ring[replicator.Input]
	work   *buffer.Ring[any]
	nextID atomic.Uint64
	wg     sync.WaitGroup
	ticks  *timer.Subscription
	// ctx ends when the replica stops or fails.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	status replicator.Status
	// notedAt is when status was taken.
	notedAt time.Time
	counts  replicator.Counts
	applied uint64
	// wasCurrent is what was last logged.
	wasCurrent bool
	failed     error
	stopped    bool
	waiting    waiters
	taken      *replicator.SnapshotTaken
	// admitted are names of replicas beside those of the settings.
	admitted []string

	// senders belongs to the decider goroutine.
	senders map[netip.AddrPort]*buffer.Ring[replicator.Envelope]
	metrics metrics
}

var (
	_ replicator.Proposer = (*Driver)(nil)
	_ replicator.Remover  = (*Driver)(nil)
)

// New returns a Driver that does not run yet. The Applier must be empty; the
// stored snapshot is restored when the Driver starts.
func New(options Options) (*Driver, error) {
	machine, err := replicator.New(options.Settings, options.State, options.Timer.Now(), newRandom())
	if err != nil {
		return nil, fmt.Errorf("load the stored log: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		ctx: ctx, cancel: cancel,
		options: options, machine: machine, pool: transporter.NewPool(options.TLS, transporter.ConnectWithin(options.Settings.ElectionTimeout/connectPart),
			transporter.CountTraffic(transporter.NewTraffic(options.Counters))),
		period:  options.Settings.Heartbeat / ticksPerHeartbeat,
		inputs:  buffer.NewRing[replicator.Input](inputCapacity),
		work:    buffer.NewRing[any](applyCapacity),
		waiting: newWaiters(),
		senders: make(map[netip.AddrPort]*buffer.Ring[replicator.Envelope]),
		metrics: newMetrics(options.Counters),
	}
	d.status, d.notedAt = machine.Status(), options.Timer.Now()
	d.publish(options.Counters)
	return d, nil
}

// newRandom seeds from the operating system, as sessions and identities must
// differ between starts.
func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:]) // never fails, by its documentation
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Start begins to take part in the cluster.
func (d *Driver) Start() {
	d.ticks = d.options.Timer.Subscribe("replica", d.period)
	d.wg.Add(3)
	go d.runTicker()
	go d.runDecider()
	go d.runApplier()
}

// HandOver lets another replica lead before a planned stop. It returns once this
// replica does not lead, or when ctx ends, as it must without a majority.
func (d *Driver) HandOver(ctx context.Context) {
	ticks := d.options.Timer.Subscribe("hand over", d.period)
	defer ticks.Cancel()
	for d.Status().Role == replicator.RoleLeader && len(d.Status().Membership.Members) > 1 && !d.isStopped() {
		_ = d.inputs.TryPush(replicator.Resign{}) // repeated at the next tick
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// Stop ends all goroutines. Open proposals get ErrOutcomeUnknown. The store can
// be closed afterwards.
func (d *Driver) Stop() {
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return
	}
	d.stopped = true
	d.mu.Unlock()
	d.end()
	d.ticks.Cancel()
	d.wg.Wait()
	d.pool.Close()
}

// end lets all goroutines return and gives open calls an unknown outcome.
func (d *Driver) end() {
	d.cancel()
	d.inputs.Close()
	d.work.Close()
}

func (d *Driver) runTicker() {
	defer d.wg.Done()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.ticks.C:
			// A full ring already wakes the decider.
			_ = d.inputs.TryPush(replicator.Tick{})
		}
	}
}

// runDecider owns the Machine and the Store.
func (d *Driver) runDecider() {
	defer d.wg.Done()
	defer d.closeSenders()
	batch := make([]replicator.Input, stepBatch)
	for {
		n := d.inputs.PopBatch(batch)
		if n == 0 || d.getFailed() != nil {
			return
		}
		var out []replicator.Output
		if err := catcher.Run(func() { out = d.machine.Step(d.stamp(batch[:n])...) }); err != nil {
			d.fail(fmt.Errorf("handle a message: %w", withStack(err)))
			return
		}
		if err := d.save(out); err != nil {
			d.fail(fmt.Errorf("store the log: %w", err))
			return
		}
		d.note()
		for _, o := range out {
			d.carryOut(o)
		}
	}
}

// withStack adds the place of a panic to its error, for the log.
func withStack(err error) error {
	var panicked catcher.ErrPanicked
	if errors.As(err, &panicked) {
		return fmt.Errorf("%w\n%s", err, panicked.Stack)
	}
	return err
}

// save makes durable what a step stores, and measures how long that takes.
func (d *Driver) save(out []replicator.Output) error {
	batch := collect(out)
	if batch.IsEmpty() {
		return nil
	}
	began := d.options.Timer.Now()
	if err := d.options.Store.Save(batch); err != nil {
		return err
	}
	d.metrics.syncTime.Observe(d.options.Timer.Now().Sub(began))
	return nil
}

// stamp gives the inputs the time at which they are handled, so that a message
// that waited while the process was frozen counts as late.
func (d *Driver) stamp(batch []replicator.Input) []replicator.Input {
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
	if d.taken != nil {
		d.taken.Now = now
		inputs = append(inputs, *d.taken)
		d.taken = nil
	}
	return inputs
}

// collect merges what a step stores into one batch. Entries that later ones
// replace, or that a received snapshot deletes, are dropped.
func collect(out []replicator.Output) *storer.Batch {
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

func (d *Driver) carryOut(o replicator.Output) {
	switch o := o.(type) {
	case replicator.Send:
		d.send(o)
	case replicator.Accepted:
		d.waiting.accept(o)
	case replicator.Refused:
		d.waiting.finish(o.ID, outcome{err: o.Err})
	case replicator.Lost:
		d.waiting.finish(o.ID, outcome{err: replicator.ErrOutcomeUnknown{Reason: "this replica no longer leads"}})
	case replicator.Apply, replicator.Restore, replicator.TakeSnapshot, replicator.ReadReady:
		d.work.Push(o)
	}
}

func (d *Driver) getFailed() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

// fail stops the replica for good: it sends and acknowledges nothing more.
func (d *Driver) fail(err error) {
	d.mu.Lock()
	first := d.failed == nil
	if first {
		d.failed = err
	}
	d.mu.Unlock()
	if !first {
		return
	}
	d.options.Logger.Error("replica stopped; restart it after the cause is gone", "error", err)
	d.end()
}

// note publishes the state of the Machine and logs its changes.
func (d *Driver) note() {
	status, counts := d.machine.Status(), d.machine.Counts()
	d.mu.Lock()
	before := d.status
	d.status, d.counts, d.notedAt = status, counts, d.options.Timer.Now()
	d.mu.Unlock()
	if before.Role != status.Role && (before.Role == replicator.RoleLeader || status.Role == replicator.RoleLeader) || before.Leader != status.Leader {
		d.options.Logger.Info("replica role", "role", status.Role, "term", status.Term, "leader", status.Leader)
	}
	if before.Verified != status.Verified {
		d.options.Logger.Info("replica verification", "verified", status.Verified)
	}
	if before.Membership.Voters() != status.Membership.Voters() || len(before.Membership.Members) != len(status.Membership.Members) {
		d.options.Logger.Info("replica membership", "members", len(status.Membership.Members), "voters", status.Membership.Voters())
	}
	d.noteCurrent()
}

// noteCurrent logs when this replica becomes or ceases to be current.
func (d *Driver) noteCurrent() {
	status := d.Status()
	isCurrent := status.IsCurrent()
	d.mu.Lock()
	changed := isCurrent != d.wasCurrent
	d.wasCurrent = isCurrent
	d.mu.Unlock()
	if changed {
		d.options.Logger.Info("replica is current", "current", isCurrent, "applied", status.Applied, "caught_up", status.CaughtUp, "term", status.Term)
	}
}

// Status describes this replica. After a pause of the process, what it knew of a leader
// and its majority has run out before the replica takes its next step.
func (d *Driver) Status() replicator.Status {
	now := d.options.Timer.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.status
	s.Applied, s.Failed = d.applied, d.failed
	if d.failed != nil || now.Sub(d.notedAt) > d.options.Settings.ElectionTimeout {
		s.HasQuorum = false
	}
	return s
}

// errStopped is given to callers after Stop or a failure.
func (d *Driver) errStopped() error {
	reason := "this replica stops"
	if err := d.getFailed(); err != nil {
		reason = fmt.Sprintf("this replica has stopped: %v", err)
	}
	return replicator.ErrNoQuorum{Reason: reason}
}

var errWrongCaller = errors.New("the certificate of the caller is not that of a replica")
