package exchanger

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	fetchPeriod = 250 * time.Millisecond
	// fetchTimeout is below fetchPeriod, so that at most one call to a replica is open.
	fetchTimeout = 200 * time.Millisecond
	// reconnectAfter is the number of successive fetches without an answer after which the connection
	// is closed, because it may stay silent forever. It is more than a short stall of a VM costs.
	reconnectAfter = 4
	// useTimeout is the time without an exchange after which a replica fetches nothing until the next one.
	// Entries make 2 exchanges a second, and none if overload control is off.
	useTimeout = 10 * time.Second
	// unknownServiceLogPeriod is the time between two log lines about a replica of an earlier version.
	unknownServiceLogPeriod = time.Minute
)

// fetchState is the state of the fetches from one replica.
type fetchState struct {
	isPending bool
	// failures is the number of fetches that failed since the last one that succeeded.
	failures int
	// unknownServiceLoggedAt is when a log line last said that the replica does not know the service.
	unknownServiceLoggedAt time.Time
}

// Run fetches the partial sums of the other replicas until ctx ends, while entries ask for the sums. Each
// replica is called on its own goroutine, so that one that is silent does not delay the others.
func (e *Exchanger) Run(ctx context.Context) {
	ticks := e.options.Clock.Subscribe("partial loads", fetchPeriod)
	defer ticks.Cancel()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if !e.isInUse() {
			continue
		}
		for _, replica := range e.startFetches(e.options.Directory.Replicas()) {
			pending.Go(func() { e.fetch(ctx, replica) })
		}
	}
}

// isInUse reports whether an entry has made an exchange a short time ago.
func (e *Exchanger) isInUse() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.exchangedAt.IsZero() && e.options.Clock.Now().Sub(e.exchangedAt) < useTimeout
}

// startFetches returns the other replicas without a pending fetch and marks them as pending. It closes
// the connections to replicas that are no longer members.
func (e *Exchanger) startFetches(replicas []netip.AddrPort) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	isMember := make(map[netip.AddrPort]bool, len(replicas))
	var due []netip.AddrPort
	for _, replica := range replicas {
		isMember[replica] = true
		if replica == e.options.Address {
			continue
		}
		f, ok := e.fetches[replica]
		if !ok {
			f = new(fetchState)
			e.fetches[replica] = f
		}
		if !f.isPending {
			f.isPending = true
			due = append(due, replica)
		}
	}
	for replica, f := range e.fetches {
		if !isMember[replica] && !f.isPending {
			delete(e.fetches, replica)
			e.options.Pool.Disconnect(replica)
		}
	}
	return due
}

func (e *Exchanger) fetch(ctx context.Context, replica netip.AddrPort) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	summary, err := transporter.Call[loadsharer.PartialRequest, loadsharer.Summary](call, e.options.Pool, replica, loadsharer.PartialMethod, &loadsharer.PartialRequest{})
	if err == nil {
		err = summary.Check()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fetches[replica]
	f.isPending = false
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		e.recordFailure(replica, f, err)
		return
	}
	e.options.Counters.Int("load_partials_fetched").Add(1)
	if f.failures > 0 {
		e.options.Logger.Info("partial loads of a replica are complete again", log.FieldReplica, replica, "failures", f.failures)
		f.failures = 0
	}
	e.aggregator.AcceptPartial(replica.String(), *summary, e.options.Clock.Now())
}

// recordFailure counts a failed fetch, and logs the first one after a success.
func (e *Exchanger) recordFailure(replica netip.AddrPort, f *fetchState, err error) {
	f.failures++
	e.options.Counters.Int("load_partials_failed").Add(1)
	switch now := e.options.Clock.Now(); {
	case status.Code(err) == codes.Unimplemented:
		if f.unknownServiceLoggedAt.IsZero() || now.Sub(f.unknownServiceLoggedAt) >= unknownServiceLogPeriod {
			f.unknownServiceLoggedAt = now
			e.options.Logger.Warn("a replica does not know the load exchange; it runs an earlier version", log.FieldReplica, replica)
		}
	case f.failures == 1:
		e.options.Logger.Warn("partial loads of a replica are missing", log.FieldReplica, replica, log.FieldError, err)
	}
	if status.Code(err) == codes.DeadlineExceeded && f.failures%reconnectAfter == 0 {
		e.options.Pool.Disconnect(replica)
	}
}
