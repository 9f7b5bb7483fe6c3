package driver

import (
	"context"
	"net/netip"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	serviceName   = "redwingledge.control.Replica"
	deliverMethod = "/" + serviceName + "/Deliver"
)

// sendTimeoutDivisor divides the election timeout to give the timeout of a call. A call
// to a VM without power hangs, and must end early enough that the VM does not miss the
// next election once it is back.
const sendTimeoutDivisor = 3

// connectTimeoutDivisor divides the election timeout to give the timeout of a connection
// attempt. A VM that has just started is then reached soon although earlier packets to it
// were lost: the kernel retransmits the first one only after a second.
const connectTimeoutDivisor = 6

// DeliverRequest is the request of Deliver.
type DeliverRequest struct {
	_         struct{} `cbor:",toarray"`
	Envelopes []replicator.Envelope
}

// DeliverResponse is the response of Deliver.
type DeliverResponse struct {
	_ struct{} `cbor:",toarray"`
}

// Service returns the gRPC service redwingledge.control.Replica.
func (d *Driver) Service() *transporter.Service { return NewService(d.Deliver) }

// NewService returns the gRPC service redwingledge.control.Replica with deliver as the
// handler of messages.
func NewService(deliver func(context.Context, *DeliverRequest) (*DeliverResponse, error)) *transporter.Service {
	s := transporter.NewService(serviceName)
	transporter.Handle(s, "Deliver", deliver)
	return s
}

// Deliver receives messages from other replicas. Errors carry a gRPC status.
func (d *Driver) Deliver(ctx context.Context, delivery *DeliverRequest) (*DeliverResponse, error) {
	if d.options.TLS != nil && !d.isReplica(transporter.PeerCommonName(ctx)) {
		d.metrics.callersRefused.Add(1)
		return nil, status.Error(codes.PermissionDenied, errCallerNotReplica.Error())
	}
	for _, env := range delivery.Envelopes {
		if !d.inputs.TryPush(replicator.Receive{Envelope: env}) {
			d.metrics.receivesDropped.Add(1)
			return nil, status.Error(codes.ResourceExhausted, "the replica is busy or stopped")
		}
	}
	d.metrics.messagesReceived.Add(int64(len(delivery.Envelopes)))
	return &DeliverResponse{}, nil
}

// isReplica reports whether name is that of a replica in the settings, the membership
// or the configuration.
func (d *Driver) isReplica(name string) bool {
	if slices.ContainsFunc(d.options.Settings.Peers, func(p replicator.Peer) bool { return p.Name == name }) {
		return true
	}
	for _, member := range d.Status().Membership.Members {
		if member.Name == name {
			return true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.admitted, name)
}

// send queues a message. A full queue drops it: the network may lose messages as well, and the
// replicas tolerate that.
func (d *Driver) send(o replicator.Send) {
	address := o.To.Address
	if !address.IsValid() {
		return
	}
	ring, ok := d.senders[address]
	if !ok {
		ring = buffer.NewRing[replicator.Envelope](sendCapacity)
		d.senders[address] = ring
		d.wg.Add(1)
		go d.runSender(address, ring)
	}
	if !ring.TryPush(o.Envelope) {
		d.metrics.sendsDropped.Add(1)
	}
}

// runSender delivers the queued messages to one address.
func (d *Driver) runSender(address netip.AddrPort, ring *buffer.Ring[replicator.Envelope]) {
	defer d.wg.Done()
	batch := make([]replicator.Envelope, sendBatch)
	for {
		queued := batch[:ring.PopBatch(batch)]
		if len(queued) == 0 {
			return
		}
		for len(queued) > 0 {
			if d.ctx.Err() != nil {
				return
			}
			n := countForCall(queued, d.options.Settings.MaxAppendBytes)
			d.callDeliver(address, queued[:n])
			queued = queued[n:]
		}
	}
}

// countForCall returns how many of the first messages go into one call: as many as take at most maxBytes, and at least
// one. Each small message, such as a heartbeat, would otherwise wait for calls with those before it, and where calls take
// long they would come ever later. Large messages go alone, as a slow link must transmit a call before it times out.
func countForCall(messages []replicator.Envelope, maxBytes int) int {
	size := 0
	for i, message := range messages {
		if size += message.Size(); size > maxBytes {
			return max(i, 1)
		}
	}
	return len(messages)
}

// callDeliver sends messages in one call. If it fails they are lost.
func (d *Driver) callDeliver(address netip.AddrPort, messages []replicator.Envelope) {
	ctx, cancel := context.WithTimeout(d.ctx, d.options.Settings.ElectionTimeout/sendTimeoutDivisor)
	defer cancel()
	request := &DeliverRequest{Envelopes: slices.Clone(messages)}
	if _, err := transporter.Call[DeliverRequest, DeliverResponse](ctx, d.pool, address, deliverMethod, request); err != nil {
		d.metrics.sendErrors.Add(1)
		// An established connection may stay dead while new ones work, and gRPC
		// waits up to two minutes before it reconnects by itself.
		d.pool.Disconnect(address)
		return
	}
	d.metrics.messagesSent.Add(int64(len(messages)))
}

func (d *Driver) closeSenders() {
	for _, ring := range d.senders {
		ring.Close()
	}
}
