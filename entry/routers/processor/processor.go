// Package processor runs the packet path of an entry: one goroutine that processes
// packets and view changes in order of arrival.
package processor

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/routers/transceiver"
	"github.com/redwingledge/redwingledge/entry/services/forwarder"
	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// queueSize is the maximum number of packets and inputs that wait for processing:
	// about 25 ms of packets at 300,000 a second.
	queueSize = 8192
	batchSize = 64
	// tickPeriod is the interval that placer.Tick requires.
	tickPeriod = 20 * time.Millisecond
	// observePeriod is the interval between reports of backend server responses and
	// failures.
	observePeriod = time.Second
	// retryPause is the delay before an input is pushed again to a full queue.
	retryPause = time.Millisecond
)

// Peers sends messages to other entries and accepts observations of backend servers.
type Peers interface {
	messenger.Outbox
	// Observe reports responses and failures of a backend server.
	Observe(id announcer.ID, responses, failures uint32) bool
}

// queueItem is a received packet, an input of the forwarder or a request for flow counts.
type queueItem struct {
	datagram *transceiver.Datagram
	input    forwarder.Input
	// counts receives the flow counts of the entry.
	counts chan<- []placer.FlowCount
}

// Processor runs the forwarder of an entry in one goroutine.
type Processor struct {
	forwarder *forwarder.Forwarder
	machine   *placer.Machine
	peers     Peers
	timer     timer.Service
	logger    *slog.Logger
	queue     *buffer.Ring[queueItem]
	leaveDone chan struct{}
	leaveOnce sync.Once
	running   sync.WaitGroup
	observeAt time.Time
	ready     atomic.Bool
	// outbox holds the outgoing messages of the current batch by peer name.
	outbox map[string][]messenger.Message

	queueFull, messagesDropped *expvar.Int
	placement                  placementCounters
}

// placementCounters publish the counters of the placement state machine.
type placementCounters struct {
	held, relayed, queried, droppedPlacements *expvar.Int
}

// New returns a Processor that does nothing until Start.
func New(f *forwarder.Forwarder, machine *placer.Machine, peers Peers, clock timer.Service, logger *slog.Logger, counters *reporter.Counters) *Processor {
	return &Processor{
		forwarder: f, machine: machine, peers: peers, timer: clock, logger: logger,
		queue: buffer.NewRing[queueItem](queueSize), leaveDone: make(chan struct{}),
		outbox:          make(map[string][]messenger.Message),
		queueFull:       counters.Int("packets_dropped_queue_full"),
		messagesDropped: counters.Int("placement_messages_dropped"),
		placement: placementCounters{
			held:              counters.Int("placement_held"),
			relayed:           counters.Int("placement_relayed"),
			queried:           counters.Int("placement_queried"),
			droppedPlacements: counters.Int("placement_hints_dropped"),
		},
	}
}

// Start starts the packet path and its ticks. The ticks stop when ctx ends.
func (p *Processor) Start(ctx context.Context) {
	ticks := p.timer.Subscribe("placement", tickPeriod)
	p.running.Go(p.run)
	p.running.Go(func() {
		defer ticks.Cancel()
		for {
			select {
			case <-ticks.C:
				p.tryEnqueueInput(placer.Tick{})
			case <-ctx.Done():
				return
			}
		}
	})
}

// HandleDatagram queues a packet. The packet is dropped and counted if the queue is full.
func (p *Processor) HandleDatagram(datagram *transceiver.Datagram) {
	if !p.queue.TryPush(queueItem{datagram: datagram}) {
		p.queueFull.Add(1)
		datagram.Release()
	}
}

// HandleMessage queues a placement message from another entry. The message is dropped and
// counted if the queue is full; the sender retransmits it.
func (p *Processor) HandleMessage(from string, message messenger.Message) {
	if !p.tryEnqueueInput(placer.MessageReceived{From: from, Message: message}) {
		p.messagesDropped.Add(1)
	}
}

// EnqueueInput queues an input, such as a view change. It waits while the queue is full,
// until ctx ends.
func (p *Processor) EnqueueInput(ctx context.Context, input forwarder.Input) {
	for ctx.Err() == nil && !p.queue.TryPush(queueItem{input: input}) {
		time.Sleep(retryPause)
	}
}

// IsReady reports whether the placement has a current view. The value is updated after
// each processed batch.
func (p *Processor) IsReady() bool { return p.ready.Load() }

// CountFlows returns the number of flows that this entry owns for each backend server. It
// returns false if the queue is full or ctx ends first.
func (p *Processor) CountFlows(ctx context.Context) ([]placer.FlowCount, bool) {
	counts := make(chan []placer.FlowCount, 1)
	if !p.queue.TryPush(queueItem{counts: counts}) {
		return nil, false
	}
	select {
	case c := <-counts:
		return c, true
	case <-ctx.Done():
		return nil, false
	}
}

// Leave hands over the flows that the entry knows to its successors. Packets are still
// processed meanwhile. It returns when the hand-over is complete or ctx ends.
func (p *Processor) Leave(ctx context.Context) {
	p.EnqueueInput(ctx, forwarder.PlacerInput{Input: placer.Leave{}})
	select {
	case <-p.leaveDone:
	case <-ctx.Done():
	}
}

// Stop processes the queued packets and inputs, then ends the goroutines. The ctx of
// Start must have ended.
func (p *Processor) Stop() {
	p.queue.Close()
	p.running.Wait()
}

func (p *Processor) tryEnqueueInput(input placer.Input) bool {
	return p.queue.TryPush(queueItem{input: forwarder.PlacerInput{Input: input}})
}

func (p *Processor) run() {
	batch := make([]queueItem, batchSize)
	for {
		n := p.queue.PopBatch(batch)
		if n == 0 {
			return
		}
		now := p.timer.Now()
		for i := range batch[:n] {
			p.handle(now, batch[i])
			batch[i] = queueItem{}
		}
		p.sendMessages()
		p.ready.Store(p.machine.IsReady())
		p.report(now)
	}
}

func (p *Processor) handle(now time.Time, next queueItem) {
	if next.datagram != nil {
		p.forwarder.HandleDatagram(now, next.datagram.Payload, next.datagram.Remote, time.Since(next.datagram.ArrivedAt))
		next.datagram.Release()
		return
	}
	if next.counts != nil {
		next.counts <- p.forwarder.CountFlows()
		return
	}
	for _, output := range p.forwarder.HandleInput(now, next.input) {
		switch out := output.(type) {
		case placer.SendMessage:
			p.outbox[out.To] = append(p.outbox[out.To], out.Message)
		case placer.StateChanged:
			p.logger.Info(string(out.Event), "service", out.Service, "buckets", out.Buckets)
		case placer.LeaveCompleted:
			p.leaveOnce.Do(func() { close(p.leaveDone) })
		}
	}
}

// sendMessages sends the messages of one batch with one call for each peer, because a
// call costs about 240 bytes beyond its messages.
func (p *Processor) sendMessages() {
	for to, messages := range p.outbox {
		if !p.peers.Send(to, messages...) {
			p.messagesDropped.Add(int64(len(messages)))
		}
		delete(p.outbox, to)
	}
}

// report publishes the placement counters and reports the responses and failures of
// backend servers once per observePeriod.
func (p *Processor) report(now time.Time) {
	if now.Before(p.observeAt) {
		return
	}
	p.observeAt = now.Add(observePeriod)
	counts := p.machine.GetCounters()
	p.placement.held.Set(int64(counts.Held))
	p.placement.relayed.Set(int64(counts.Relayed))
	p.placement.queried.Set(int64(counts.QueriedFlows))
	p.placement.droppedPlacements.Set(int64(counts.DroppedPlacements))
	for _, o := range p.forwarder.TakeObservations() {
		p.peers.Observe(o.ID, o.Responses, o.Failures)
	}
}
