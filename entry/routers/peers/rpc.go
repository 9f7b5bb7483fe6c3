package peers

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/services/configurer"
	"github.com/redwingledge/redwingledge/entry/services/steward"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// sendAll delivers queued envelopes until the service stops.
func (s *Service) sendAll() {
	for {
		out, ok := s.outbox.Pop()
		if !ok {
			return
		}
		if _, err := call[messenger.Envelope, messenger.DeliverAnswer](s, out.To, messenger.DeliverMethod, &out.Envelope, deliverTimeout); err != nil {
			s.options.Counters.Int(counterFailed).Add(1)
			s.jobs.TryPush(job{input: steward.Undelivered{Envelope: out.Envelope}})
		} else {
			s.options.Counters.Int(counterSent).Add(1)
		}
	}
}

// call invokes a method and drops the connection if it has gone silent, so that
// the next call makes a new one.
func call[Req, Resp any](s *Service, addr netip.AddrPort, method string, req *Req, timeout time.Duration) (*Resp, error) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	resp, err := transporter.Call[Req, Resp](ctx, s.pool, addr, method, req)
	if err != nil && status.Code(err) == codes.DeadlineExceeded {
		s.pool.Forget(addr)
	}
	return resp, err
}

// startPoll asks control in a goroutine of its own. The configurer has at most
// one poll at a time.
func (s *Service) startPoll(out steward.Poll) {
	s.work.Go(func() {
		req := cataloger.FetchRequest{Known: out.Known, Wait: configurer.PollWait}
		answer, err := call[cataloger.FetchRequest, cataloger.FetchAnswer](s, out.Address, cataloger.FetchMethod, &req, configurer.PollTimeout)
		polled := steward.Polled{Failed: err != nil}
		if err == nil {
			polled.Catalog = answer.Catalog
		}
		s.complete(job{input: polled})
	})
}

// startFetch asks a peer in a goroutine of its own. The configurer has at most
// two fetches at a time.
func (s *Service) startFetch(out steward.Fetch) {
	s.work.Go(func() {
		req := messenger.FetchRequest{Known: out.Known}
		answer, err := call[messenger.FetchRequest, messenger.FetchAnswer](s, out.Address, messenger.FetchMethod, &req, configurer.FetchTimeout)
		fetched := steward.Fetched{Address: out.Address, Failed: err != nil}
		if err == nil {
			var ok bool
			fetched.Catalog, ok = s.history.Resolve(answer)
			fetched.Failed = !ok
		}
		s.complete(job{input: fetched})
	})
}

// complete hands an input that must not be lost to the loop. It is kept for the
// next tick if the ring is full.
func (s *Service) complete(done job) {
	if s.jobs.TryPush(done) {
		return
	}
	s.lateMu.Lock()
	defer s.lateMu.Unlock()
	s.late = append(s.late, done)
}

// takeLate returns the inputs that did not fit into the ring.
func (s *Service) takeLate() []job {
	s.lateMu.Lock()
	defer s.lateMu.Unlock()
	late := s.late
	s.late = nil
	return late
}
