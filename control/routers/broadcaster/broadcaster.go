// Package broadcaster serves the changes of the director's state to entries as
// long polls.
package broadcaster

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	service "github.com/redwingledge/redwingledge/control/services/director"
	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// maxWait bounds a long poll, so that entries notice soon when a replica has lost
// the majority.
const maxWait = 2 * time.Second

const (
	// enlistTimeout bounds the call to the leader: a commit between data centres takes
	// tens of milliseconds.
	enlistTimeout = time.Second
	// enlistCapacity bounds the entries that wait to be enlisted. One that finds no
	// room is enlisted at a later poll.
	enlistCapacity = 128
)

// Broadcaster answers the long polls of entries. Run must be called once.
type Broadcaster struct {
	service  *service.Service
	counters *reporter.Counters
	pool     *transporter.Pool
	// newcomers are entries that polled and are not enlisted.
	newcomers *buffer.Ring[string]
}

// New returns a Broadcaster. It reaches the leader through the pool.
func New(s *service.Service, pool *transporter.Pool, counters *reporter.Counters) *Broadcaster {
	return &Broadcaster{service: s, pool: pool, counters: counters, newcomers: buffer.NewRing[string](enlistCapacity)}
}

// Run lets the leader enlist new entries until ctx ends. Polls do not wait for it.
func (b *Broadcaster) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, b.newcomers.Close)
	defer stop()
	for {
		entry, ok := b.newcomers.Pop()
		if !ok {
			return
		}
		b.forwardEnlistment(ctx, entry)
	}
}

// Service returns the gRPC service for entries.
func (b *Broadcaster) Service() *transporter.Service {
	s := transporter.NewService(director.ServiceName)
	transporter.Handle(s, "Watch", b.watch)
	transporter.Handle(s, "Enlist", b.enlist)
	return s
}

// enlist adds an entry, on the replica that leads.
func (b *Broadcaster) enlist(ctx context.Context, req *director.EnlistRequest) (*director.EnlistResponse, error) {
	if err := b.service.Enlist(ctx, req.Entry); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &director.EnlistResponse{}, nil
}

// forwardEnlistment lets the leader add an entry that polls here. A failure is
// counted; the next poll of the entry repeats it.
func (b *Broadcaster) forwardEnlistment(ctx context.Context, entry string) {
	leader, ok := b.service.Leader()
	if !ok || b.service.Machine().IsEnlisted(entry) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, enlistTimeout)
	defer cancel()
	if _, err := transporter.Call[director.EnlistRequest, director.EnlistResponse](ctx, b.pool, leader, director.EnlistMethod, &director.EnlistRequest{Entry: entry}); err != nil {
		b.counters.Int("enlistment_failures").Add(1)
	}
}

// welcome queues an entry that is not enlisted, unless this replica may only not know
// of it yet.
func (b *Broadcaster) welcome(entry string) {
	if entry == "" || !b.service.IsCurrent() || b.service.Machine().IsEnlisted(entry) {
		return
	}
	if !b.newcomers.TryPush(entry) {
		b.counters.Int("enlistments_postponed").Add(1)
	}
}

// watch returns the changes after the entry's index as soon as there are any. It
// fails while this replica hears no leader with a majority or has not caught up, so
// that entries turn to another replica.
func (b *Broadcaster) watch(ctx context.Context, req *director.WatchRequest) (*director.WatchResponse, error) {
	b.welcome(req.Entry)
	deadline, cancel := context.WithTimeout(ctx, min(max(req.Wait, 0), maxWait))
	defer cancel()
	for {
		if !b.service.IsCurrent() {
			b.counters.Int("watches_refused_not_current").Add(1)
			return nil, status.Error(codes.FailedPrecondition, "this replica hears no leader with a majority, or has not caught up with it")
		}
		machine := b.service.Machine()
		if req.Probe {
			return b.answer(nil, machine.Index(), false), nil
		}
		changed := machine.Changed()
		changes, reached, complete := machine.Since(req.Index)
		if len(changes) > 0 || deadline.Err() != nil {
			return b.answer(changes, reached, complete), nil
		}
		select {
		case <-changed:
		case <-deadline.Done():
		}
	}
}

func (b *Broadcaster) answer(changes []director.Change, reached uint64, complete bool) *director.WatchResponse {
	resp := &director.WatchResponse{Index: reached, Complete: complete, Replicas: b.service.Replicas()}
	for _, change := range changes {
		resp.Changes = append(resp.Changes, director.Wrap(change))
	}
	b.counters.Int("watches_answered").Add(1)
	return resp
}
