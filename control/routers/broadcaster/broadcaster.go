// Package broadcaster serves changes of the director's state to entries through
// long polls, and lets replicas forward registrations of backend servers to the leader.
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

// maxWait bounds a long poll, so that entries detect soon that a replica has lost
// its quorum.
const maxWait = 2 * time.Second

// Broadcaster answers the long polls of entries.
type Broadcaster struct {
	service  *service.Service
	counters *reporter.Counters
	// encodeMu is held while an answer is encoded, so that concurrent polls from the
	// same index encode it only once.
	encodeMu sync.Mutex
	answers  answerCache
	// propagation measures how long changes take until they are in force at entries.
	propagation *propagation
}

// New returns a Broadcaster.
func New(s *service.Service, clock timer.Service, counters *reporter.Counters) *Broadcaster {
	return &Broadcaster{service: s, counters: counters, propagation: newPropagation(clock, counters.Histogram("propagation_time"))}
}

// Service returns the gRPC service for entries and other replicas.
func (b *Broadcaster) Service() *transporter.Service {
	s := transporter.NewService(director.ServiceName)
	transporter.Handle(s, "Watch", b.watch)
	transporter.Handle(s, "Register", b.register)
	return s
}

// register accepts a registration that another replica forwards to the leader.
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

// LeaderClient forwards registrations to the leader over gRPC.
type LeaderClient struct {
	*transporter.Pool
}

var _ service.LeaderClient = LeaderClient{}

// Register forwards a registration to the leader. Errors carry a gRPC status. After an
// error the connection is closed, because it may never answer again.
func (c LeaderClient) Register(ctx context.Context, leader netip.AddrPort, registration *service.Registration) (*service.RegistrationResult, error) {
	result, err := transporter.Call[service.Registration, service.RegistrationResult](ctx, c.Pool, leader, director.RegisterMethod, registration)
	if err != nil {
		c.Disconnect(leader)
	}
	return result, err
}

// watch returns the changes after the entry's index as soon as there are any. It
// fails while this replica has no leader with a quorum or has not caught up, so that
// entries switch to another replica.
func (b *Broadcaster) watch(ctx context.Context, req *director.WatchRequest) (*director.WatchResponse, error) {
	if !req.Probe {
		b.propagation.recordPoll(req.Entry, req.Index)
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
			return b.answer(encodedAnswer{toIndex: machine.Index()}), nil
		}
		changed := machine.Changed()
		if machine.HasChangesSince(req.Index) || deadline.Err() != nil {
			e, err := b.encode(machine, req.Index)
			if err != nil {
				return nil, status.Error(codes.Internal, err.Error())
			}
			b.propagation.recordAnswer(req.Entry, e)
			return b.answer(e), nil
		}
		select {
		case <-changed:
		case <-deadline.Done():
		}
	}
}

func (b *Broadcaster) answer(e encodedAnswer) *director.WatchResponse {
	b.counters.Int("watches_answered").Add(1)
	return &director.WatchResponse{Index: e.toIndex, Complete: e.isComplete, Changes: e.batch, Replicas: b.service.Replicas()}
}
