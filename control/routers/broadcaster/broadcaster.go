// Package broadcaster serves the changes of the director's state to entries as
// long polls, and lets replicas hand to the leader what backend servers told them.
package broadcaster

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	service "github.com/redwingledge/redwingledge/control/services/director"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// maxWait bounds a long poll, so that entries notice soon when a replica has lost
// the majority.
const maxWait = 2 * time.Second

// Broadcaster answers the long polls of entries.
type Broadcaster struct {
	service  *service.Service
	counters *reporter.Counters
	// encoding is held while an answer is encoded, so that entries that wait for the
	// same one do not all encode it.
	encoding sync.Mutex
	encoded  encodings
	// applied measures how long changes take to entries.
	applied *propagation
}

// New returns a Broadcaster.
func New(s *service.Service, clock timer.Service, counters *reporter.Counters) *Broadcaster {
	return &Broadcaster{service: s, counters: counters, applied: newPropagation(clock, counters.Histogram("propagation_time"))}
}

// Service returns the gRPC service for entries and other replicas.
func (b *Broadcaster) Service() *transporter.Service {
	s := transporter.NewService(director.ServiceName)
	transporter.Handle(s, "Watch", b.watch)
	transporter.Handle(s, "Register", b.register)
	return s
}

// register takes over what another replica hands to the leader.
func (b *Broadcaster) register(ctx context.Context, req *service.Registration) (*service.RegistrationResult, error) {
	if name := transporter.PeerCommonName(ctx); name != "" && !b.service.IsReplica(name) {
		return nil, status.Error(codes.PermissionDenied, "the certificate of the caller is not that of a replica")
	}
	result, err := b.service.Register(ctx, req)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return result, nil
}

// Caller hands registrations to the leader over gRPC.
type Caller struct {
	*transporter.Pool
}

var _ service.LeaderCaller = Caller{}

// Register hands a registration to the replica that leads. Errors carry a gRPC status.
// A connection that fails is closed, as it may be silent for good.
func (c Caller) Register(ctx context.Context, leader netip.AddrPort, registration *service.Registration) (*service.RegistrationResult, error) {
	result, err := transporter.Call[service.Registration, service.RegistrationResult](ctx, c.Pool, leader, director.RegisterMethod, registration)
	if err != nil {
		c.Forget(leader)
	}
	return result, err
}

// watch returns the changes after the entry's index as soon as there are any. It
// fails while this replica hears no leader with a majority or has not caught up, so
// that entries turn to another replica.
func (b *Broadcaster) watch(ctx context.Context, req *director.WatchRequest) (*director.WatchResponse, error) {
	if !req.Probe {
		b.applied.confirm(req.Entry, req.Index)
	}
	deadline, cancel := context.WithTimeout(ctx, min(max(req.Wait, 0), maxWait))
	defer cancel()
	for isFirst := true; ; isFirst = false {
		if !b.service.IsCurrent() {
			b.counters.Int("watches_refused_not_current").Add(1)
			return nil, status.Error(codes.FailedPrecondition, "this replica hears no leader with a majority, or has not caught up with it")
		}
		if isFirst && req.Entry != "" && !b.service.Enlist(req.Entry) {
			b.counters.Int("enlistments_postponed").Add(1)
		}
		machine := b.service.Machine()
		if req.Probe {
			return b.answer(encoding{reached: machine.Index()}), nil
		}
		changed := machine.Changed()
		if machine.HasSince(req.Index) || deadline.Err() != nil {
			e, err := b.encode(machine, req.Index)
			if err != nil {
				return nil, status.Error(codes.Internal, err.Error())
			}
			b.applied.expect(req.Entry, e)
			return b.answer(e), nil
		}
		select {
		case <-changed:
		case <-deadline.Done():
		}
	}
}

func (b *Broadcaster) answer(e encoding) *director.WatchResponse {
	b.counters.Int("watches_answered").Add(1)
	return &director.WatchResponse{Index: e.reached, Complete: e.isComplete, Changes: e.batch, Replicas: b.service.Replicas()}
}
