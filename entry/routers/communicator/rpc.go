package communicator

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/configurer"
	"github.com/redwingledge/redwingledge/entry/services/coordinator"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// sendQueued delivers queued envelopes until the service stops. Envelopes that cannot
// be delivered are reported to the state machine.
func (s *Service) sendQueued() {
	for {
		out, ok := s.outbox.Pop()
		if !ok {
			return
		}
		if _, err := call[messenger.Envelope, messenger.DeliverResponse](s, out.To, messenger.DeliverMethod, &out.Envelope, deliverTimeout); err != nil {
			s.options.Counters.Int(counterFailed).Add(1)
			s.inputs.TryPush(queuedInput{input: coordinator.DeliveryFailed{Envelope: out.Envelope}})
		} else {
			s.options.Counters.Int(counterSent).Add(1)
		}
	}
}

// call invokes a method. After a timeout it closes the connection, which may have gone
// silent, so that the next call opens a new one.
func call[Req, Resp any](s *Service, addr netip.AddrPort, method string, req *Req, timeout time.Duration) (*Resp, error) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	resp, err := transporter.Call[Req, Resp](ctx, s.pool, addr, method, req)
	if err != nil && status.Code(err) == codes.DeadlineExceeded {
		s.pool.Disconnect(addr)
	}
	return resp, err
}

// startPoll polls control for a newer configuration in a separate goroutine. The
// configurer has at most one poll in flight.
func (s *Service) startPoll(out coordinator.Poll) {
	s.goroutines.Go(func() {
		req := cataloger.FetchRequest{Known: out.Known, Wait: configurer.PollWait}
		answer, err := call[cataloger.FetchRequest, cataloger.FetchResponse](s, out.Address, cataloger.FetchMethod, &req, configurer.PollTimeout)
		polled := coordinator.Polled{Failed: err != nil}
		if err == nil {
			polled.Catalog = answer.Catalog
		}
		s.enqueueReliably(queuedInput{input: polled})
	})
}

// startFetch fetches the configuration from a peer in a separate goroutine. The
// configurer has at most two fetches in flight.
func (s *Service) startFetch(out coordinator.Fetch) {
	s.goroutines.Go(func() {
		req := messenger.FetchRequest{Known: out.Known}
		answer, err := call[messenger.FetchRequest, messenger.FetchResponse](s, out.Address, messenger.FetchMethod, &req, configurer.FetchTimeout)
		fetched := coordinator.Fetched{Address: out.Address, Failed: err != nil}
		if err == nil {
			var ok bool
			fetched.Catalog, ok = s.history.Resolve(answer)
			fetched.Failed = !ok
		}
		s.enqueueReliably(queuedInput{input: fetched})
	})
}

// enqueueReliably queues an input that must not be lost. If the queue is full, the input
// goes to the overflow list, which is processed at the next tick.
func (s *Service) enqueueReliably(input queuedInput) {
	if s.inputs.TryPush(input) {
		return
	}
	s.overflowMu.Lock()
	defer s.overflowMu.Unlock()
	s.overflow = append(s.overflow, input)
}

// takeOverflow removes and returns the inputs that did not fit into the queue.
func (s *Service) takeOverflow() []queuedInput {
	s.overflowMu.Lock()
	defer s.overflowMu.Unlock()
	inputs := s.overflow
	s.overflow = nil
	return inputs
}
