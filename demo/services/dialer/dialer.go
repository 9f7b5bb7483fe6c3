// Package dialer simulates callers: it opens flows, sends requests on them, and checks that
// each flow is answered by one backend server of its own service.
package dialer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/demo/modules/framer"
	"github.com/redwingledge/redwingledge/demo/services/responder"
)

// Network carries the packets of a caller.
type Network interface {
	Send(segment framer.Segment) error
}

const (
	// retransmitAfter is the time without an answer after which a packet is sent again.
	retransmitAfter = 200 * time.Millisecond
	// answerQueue is the number of received packets that a flow queues; more are dropped.
	answerQueue = 64
)

// Caller is a simulated caller with one IP address. Its flows are distinguished by their local
// port.
type Caller struct {
	network Network
	mu      sync.Mutex
	flows   map[netip.AddrPort]*Flow
}

// NewCaller returns a caller that sends through network.
func NewCaller(network Network) *Caller {
	return &Caller{network: network, flows: make(map[netip.AddrPort]*Flow)}
}

// Receive passes a packet to its flow. It drops packets of unknown flows.
func (c *Caller) Receive(segment framer.Segment) {
	c.mu.Lock()
	flow := c.flows[segment.Destination]
	c.mu.Unlock()
	if flow == nil {
		return
	}
	select {
	case flow.answers <- segment:
	default:
	}
}

// Flow is one flow of a caller. Its methods must not be called concurrently.
type Flow struct {
	caller        *Caller
	service       string
	local, remote netip.AddrPort
	isTCP         bool
	answers       chan framer.Segment
	sequence      uint32
	acknowledged  uint32
	requests      int
	host          string
}

// ErrFlowBroken reports a flow that was reset, moved to another backend server,
// or was answered by another service.
type ErrFlowBroken struct {
	Local, Remote netip.AddrPort
	Reason        string
}

// Error returns the message of the error.
func (e ErrFlowBroken) Error() string {
	return fmt.Sprintf("flow from %s to %s is broken: %s", e.Local, e.Remote, e.Reason)
}

// Dial opens a flow. For TCP it sends SYN until the answer arrives or ctx ends.
func (c *Caller) Dial(ctx context.Context, isTCP bool, local, remote netip.AddrPort, service string) (*Flow, error) {
	flow := &Flow{caller: c, service: service, local: local, remote: remote, isTCP: isTCP, answers: make(chan framer.Segment, answerQueue), sequence: 1}
	c.mu.Lock()
	c.flows[local] = flow
	c.mu.Unlock()
	if !isTCP {
		return flow, nil
	}
	segment := flow.segment()
	segment.SYN = true
	if err := flow.exchange(ctx, segment, func(answer framer.Segment) bool { return answer.SYN && answer.ACK }); err != nil {
		return nil, fmt.Errorf("open the flow: %w", err)
	}
	flow.sequence++
	return flow, nil
}

// Host returns the backend server that answers the flow, or "" before the first
// answer.
func (f *Flow) Host() string {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	return f.host
}

// Request sends a payload and waits for its answer. It returns ErrFlowBroken if
// the flow was reset or answered by another backend server or service.
func (f *Flow) Request(ctx context.Context) error {
	f.requests++
	request := fmt.Sprintf("%s#%d", f.local, f.requests)
	segment := f.segment()
	segment.Payload = []byte(request)
	var answer responder.Answer
	err := f.exchange(ctx, segment, func(received framer.Segment) bool {
		return json.Unmarshal(received.Payload, &answer) == nil && answer.Request == request
	})
	if err != nil {
		return err
	}
	f.sequence += uint32(len(request))
	if answer.Service != f.service {
		return f.broken("answered by service " + answer.Service)
	}
	if f.host != "" && answer.Host != f.host {
		return f.broken("moved from " + f.host + " to " + answer.Host)
	}
	f.caller.mu.Lock()
	f.host = answer.Host
	f.caller.mu.Unlock()
	return nil
}

// Close ends the flow with a FIN or, for UDP, without a packet.
func (f *Flow) Close(ctx context.Context) error {
	defer func() {
		f.caller.mu.Lock()
		delete(f.caller.flows, f.local)
		f.caller.mu.Unlock()
	}()
	if !f.isTCP {
		return nil
	}
	segment := f.segment()
	segment.FIN = true
	return f.exchange(ctx, segment, func(answer framer.Segment) bool { return answer.FIN })
}

func (f *Flow) segment() framer.Segment {
	return framer.Segment{IsTCP: f.isTCP, Source: f.local, Destination: f.remote, ACK: f.isTCP && f.sequence > 1, Sequence: f.sequence, Acknowledgement: f.acknowledged}
}

// exchange sends a segment and retransmits it until an answer is accepted or ctx ends.
func (f *Flow) exchange(ctx context.Context, segment framer.Segment, accept func(framer.Segment) bool) error {
	retransmit := time.NewTicker(retransmitAfter)
	defer retransmit.Stop()
	if err := f.caller.network.Send(segment); err != nil {
		return err
	}
	for {
		select {
		case answer := <-f.answers:
			if answer.Source != f.remote {
				return f.broken("answered from " + answer.Source.String())
			}
			if answer.RST {
				return f.broken("reset")
			}
			if accept(answer) {
				f.acknowledged = answer.Sequence + uint32(len(answer.Payload))
				return nil
			}
		case <-retransmit.C:
			if err := f.caller.network.Send(segment); err != nil {
				return err
			}
		case <-ctx.Done():
			return fmt.Errorf("flow from %s to %s: no answer: %w", f.local, f.remote, ctx.Err())
		}
	}
}

func (f *Flow) broken(reason string) error {
	return ErrFlowBroken{Local: f.local, Remote: f.remote, Reason: reason}
}
