// Package decider runs the packet path of an entry: one goroutine that decides
// on packets and changes of the view in the order in which they arrive.
package decider

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/routers/receiver"
	"github.com/redwingledge/redwingledge/entry/services/forwarder"
	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// ringSize bounds the packets that wait for a decision: about 25 ms of
	// packets at 300,000 a second.
	ringSize  = 8192
	batchSize = 64
	// tickPeriod is what placer.Tick asks for.
	tickPeriod = 20 * time.Millisecond
	// observePeriod is the time between reports of what backend servers answered.
	observePeriod = time.Second
	// retryPause is the wait before an input is pushed again to a full ring.
	retryPause = time.Millisecond
)

// Peers are the other entries and the leases of backend servers.
type Peers interface {
	messenger.Outbox
	// Observe reports responses and failures of a backend server.
	Observe(id announcer.ID, responses, failures uint32) bool
}

// work is a packet or an input.
type work struct {
	datagram *receiver.Datagram
	input    forwarder.Input
	// counts gets the flows of the entry.
	counts chan<- []placer.FlowCount
}

// Decider owns the forwarder of an entry.
type Decider struct {
	forwarder *forwarder.Forwarder
	machine   *placer.Machine
	peers     Peers
	timer     timer.Service
	logger    *slog.Logger
	ring      *buffer.Ring[work]
	left      chan struct{}
	leftOnce  sync.Once
	running   sync.WaitGroup
	observeAt time.Time
	ready     atomic.Bool
	// outbox holds the messages of the current batch by peer.
	outbox map[string][]messenger.Message

	queueFull, messagesDropped *expvar.Int
	placement                  placementCounters
}

// placementCounters publish what the placement counts.
type placementCounters struct {
	held, relayed, queried, droppedHints *expvar.Int
}

// New returns a Decider that does nothing until Start.
func New(f *forwarder.Forwarder, machine *placer.Machine, peers Peers, clock timer.Service, logger *slog.Logger, counters *reporter.Counters) *Decider {
	return &Decider{
		forwarder: f, machine: machine, peers: peers, timer: clock, logger: logger,
		ring: buffer.NewRing[work](ringSize), left: make(chan struct{}),
		outbox:          make(map[string][]messenger.Message),
		queueFull:       counters.Int("packets_dropped_queue_full"),
		messagesDropped: counters.Int("placement_messages_dropped"),
		placement: placementCounters{
			held:         counters.Int("placement_held"),
			relayed:      counters.Int("placement_relayed"),
			queried:      counters.Int("placement_queried"),
			droppedHints: counters.Int("placement_hints_dropped"),
		},
	}
}

// Start runs the goroutine of the decider. Ticks stop when ctx ends.
func (d *Decider) Start(ctx context.Context) {
	ticks := d.timer.Subscribe("placement", tickPeriod)
	d.running.Go(d.run)
	d.running.Go(func() {
		defer ticks.Cancel()
		for {
			select {
			case <-ticks.C:
				d.tryInput(placer.Tick{})
			case <-ctx.Done():
				return
			}
		}
	})
}

// HandleDatagram queues a packet. It drops and counts it if the queue is full.
func (d *Decider) HandleDatagram(datagram *receiver.Datagram) {
	if !d.ring.TryPush(work{datagram: datagram}) {
		d.queueFull.Add(1)
		datagram.Release()
	}
}

// HandleMessage queues a placement message of another entry. A message that
// finds the queue full is dropped and counted; its sender repeats it.
func (d *Decider) HandleMessage(from string, message messenger.Message) {
	if !d.tryInput(placer.MessageReceived{From: from, Message: message}) {
		d.messagesDropped.Add(1)
	}
}

// Change queues a change of the view and waits while the queue is full.
func (d *Decider) Change(ctx context.Context, input forwarder.Input) {
	for ctx.Err() == nil && !d.ring.TryPush(work{input: input}) {
		time.Sleep(retryPause)
	}
}

// IsReady reports whether the placement has a current view and the decider has
// handled an input since.
func (d *Decider) IsReady() bool { return d.ready.Load() }

// CountFlows returns the flows that this entry owns on each backend server. It
// returns false if the queue is full or ctx ends first.
func (d *Decider) CountFlows(ctx context.Context) ([]placer.FlowCount, bool) {
	counts := make(chan []placer.FlowCount, 1)
	if !d.ring.TryPush(work{counts: counts}) {
		return nil, false
	}
	select {
	case c := <-counts:
		return c, true
	case <-ctx.Done():
		return nil, false
	}
}

// Leave hands over what the entry knows about flows. Packets are still handled.
// It returns once that is done or ctx ends.
func (d *Decider) Leave(ctx context.Context) {
	d.Change(ctx, forwarder.PlacerInput{Input: placer.Leave{}})
	select {
	case <-d.left:
	case <-ctx.Done():
	}
}

// Stop handles what is queued and ends the goroutine. The ctx of Start must have
// ended.
func (d *Decider) Stop() {
	d.ring.Close()
	d.running.Wait()
}

func (d *Decider) tryInput(input placer.Input) bool {
	return d.ring.TryPush(work{input: forwarder.PlacerInput{Input: input}})
}

func (d *Decider) run() {
	batch := make([]work, batchSize)
	for {
		n := d.ring.PopBatch(batch)
		if n == 0 {
			return
		}
		now := d.timer.Now()
		for i := range batch[:n] {
			d.do(now, batch[i])
			batch[i] = work{}
		}
		d.sendMessages()
		d.ready.Store(d.machine.IsReady())
		d.report(now)
	}
}

func (d *Decider) do(now time.Time, next work) {
	if next.datagram != nil {
		d.forwarder.HandleDatagram(now, next.datagram.Payload, next.datagram.Remote)
		next.datagram.Release()
		return
	}
	if next.counts != nil {
		next.counts <- d.forwarder.CountFlows()
		return
	}
	for _, output := range d.forwarder.HandleInput(now, next.input) {
		switch out := output.(type) {
		case placer.SendMessage:
			d.outbox[out.To] = append(d.outbox[out.To], out.Message)
		case placer.StateChanged:
			d.logger.Info(string(out.Event), "service", out.Service, "buckets", out.Buckets)
		case placer.LeaveCompleted:
			d.leftOnce.Do(func() { close(d.left) })
		}
	}
}

// sendMessages sends the messages of one batch of work, one call for each peer,
// because a call costs about 240 bytes beyond its messages.
func (d *Decider) sendMessages() {
	for to, messages := range d.outbox {
		if !d.peers.Send(to, messages...) {
			d.messagesDropped.Add(int64(len(messages)))
		}
		delete(d.outbox, to)
	}
}

// report passes on what the backend servers answered since the last report.
func (d *Decider) report(now time.Time) {
	if now.Before(d.observeAt) {
		return
	}
	d.observeAt = now.Add(observePeriod)
	counts := d.machine.GetCounters()
	d.placement.held.Set(int64(counts.Held))
	d.placement.relayed.Set(int64(counts.Relayed))
	d.placement.queried.Set(int64(counts.Queried))
	d.placement.droppedHints.Set(int64(counts.DroppedHints))
	for _, o := range d.forwarder.TakeObservations() {
		d.peers.Observe(o.ID, o.Responses, o.Failures)
	}
}
