// Package driver runs a replicator.Machine: it passes messages, ticks and proposals to
// the Machine, stores its durable output, sends its messages, and applies committed
// commands. Each task has its own goroutine; bounded queues connect them.
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
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	inputCapacity = 4096
	applyCapacity = 1024
	sendCapacity  = 256
	// stepBatch bounds the inputs of one step, which share one disk sync.
	stepBatch = 256
	// sendBatch bounds the messages that are taken from a queue at a time.
	sendBatch = 64
	// maxCommandBytes is the size limit of a command.
	maxCommandBytes = 1 << 20
	// ticksPerHeartbeat is the number of ticks in a heartbeat interval.
	ticksPerHeartbeat = 5
)

// Options configures a Driver.
type Options struct {
	Settings replicator.Settings
	Store    Store
	State    *storer.State
	Applier  replicator.Applier
	// AppliedIndex is the index up to which the Applier has applied the log before; 0 if it is
	// empty. Those entries and older snapshots are not applied again, so its state never goes back.
	AppliedIndex uint64
	Timer        timer.Service
	// TLS is nil to connect without TLS. Otherwise messages are only accepted from
	// callers whose certificate has the common name of a replica.
	TLS      *tls.Config
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Driver runs one replica. It implements replicator.Proposer and
// replicator.Remover.
type Driver struct {
	options    Options
	machine    *replicator.Machine
	pool       *transporter.Pool
	tickPeriod time.Duration

	inputs     *buffer.Ring[replicator.Input]
	applyQueue *buffer.Ring[any]
	nextID     atomic.Uint64
	isStopping atomic.Bool
	wg         sync.WaitGroup
	ticks      *timer.Subscription
	// ctx ends when the replica stops or fails.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	status replicator.Status
	// statusAt is when status was taken.
	statusAt time.Time
	counts   replicator.Counts
	applied  uint64
	// loggedCurrent is whether the replica was current at the last log message about it.
	loggedCurrent bool
	failed        error
	stopped       bool
	pending       pendingCalls
	snapshotTaken *replicator.SnapshotTaken
	// admitted holds the names of replicas that may join besides those of the settings.
	admitted []string

	// saves, senders and commitWait are only used by the goroutine of runSteps.
	saves      saves
	senders    map[netip.AddrPort]*buffer.Ring[replicator.Envelope]
	commitWait commitWait
	metrics    metrics
}

var (
	_ replicator.Proposer = (*Driver)(nil)
	_ replicator.Remover  = (*Driver)(nil)
)

// New returns a Driver that is not started yet. The stored snapshot is restored into the Applier
// when the Driver starts.
func New(options Options) (*Driver, error) {
	machine, err := replicator.New(options.Settings, options.State, options.Timer.Now(), newRandom())
	if err != nil {
		return nil, fmt.Errorf("load the stored log: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Driver{
		ctx: ctx, cancel: cancel,
		options: options, machine: machine, pool: transporter.NewPool(options.TLS, transporter.WithConnectTimeout(options.Settings.ElectionTimeout/connectTimeoutDivisor),
			transporter.WithTraffic(transporter.NewTraffic(options.Counters))),
		tickPeriod: options.Settings.Heartbeat / ticksPerHeartbeat,
		inputs:     buffer.NewRing[replicator.Input](inputCapacity),
		applyQueue: buffer.NewRing[any](applyCapacity),
		pending:    newPendingCalls(),
		senders:    make(map[netip.AddrPort]*buffer.Ring[replicator.Envelope]),
		metrics:    newMetrics(options.Counters),
	}
	d.status, d.statusAt = machine.Status(), options.Timer.Now()
	d.publish(options.Counters)
	return d, nil
}

// newRandom returns a generator seeded by the operating system, as sessions and
// identities must differ between starts.
func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:]) // never fails, by its documentation
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
}

// Start starts the goroutines of the replica, which then takes part in the cluster.
func (d *Driver) Start() {
	d.ticks = d.options.Timer.Subscribe("replica", d.tickPeriod)
	d.wg.Add(3)
	go d.runTicker()
	go d.runSteps()
	go d.runApplier()
}

// PrepareStop transfers leadership, and in an open membership the vote, to another replica, and takes over neither
// until Stop. It returns once that is done, or when ctx ends, which happens without a majority.
func (d *Driver) PrepareStop(ctx context.Context) {
	d.isStopping.Store(true)
	d.TransferLeadership(ctx)
}

// TransferLeadership transfers leadership, and in an open membership the vote, to another replica. It
// returns once that is done, or when ctx ends, which happens without a majority.
func (d *Driver) TransferLeadership(ctx context.Context) {
	ticks := d.options.Timer.Subscribe("hand over", d.tickPeriod)
	defer ticks.Cancel()
	for d.Status().IsHandoverDue && !d.isStopped() {
		_ = d.inputs.TryPush(replicator.Resign{}) // retried at the next tick
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// Stop stops all goroutines and waits for them. Open proposals return
// ErrOutcomeUnknown. The store can be closed afterwards.
func (d *Driver) Stop() {
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return
	}
	d.stopped = true
	d.mu.Unlock()
	d.shutDown()
	d.ticks.Cancel()
	d.wg.Wait()
	d.pool.Close()
}

// shutDown makes all goroutines return, and open calls fail with an unknown outcome.
func (d *Driver) shutDown() {
	d.cancel()
	d.inputs.Close()
	d.applyQueue.Close()
}

func (d *Driver) runTicker() {
	defer d.wg.Done()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.ticks.C:
			// If the queue is full, the tick can be dropped: the inputs in it wake
			// runSteps as well.
			_ = d.inputs.TryPush(replicator.Tick{})
			if d.isStopping.Load() {
				_ = d.inputs.TryPush(replicator.Resign{}) // repeated at the next tick
			}
		}
	}
}

func (d *Driver) failure() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

// fail stops the replica permanently. It sends and acknowledges nothing afterwards.
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
	d.options.Logger.Error("replica stopped", "error", err)
	d.shutDown()
}

// errStopped returns the error of calls after Stop or a failure.
func (d *Driver) errStopped() error {
	reason := "this replica stops"
	if err := d.failure(); err != nil {
		reason = fmt.Sprintf("this replica has stopped: %v", err)
	}
	return replicator.ErrNoQuorum{Reason: reason}
}

var errCallerNotReplica = errors.New("the certificate of the caller is not that of a replica")
