package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/demo/services/dialer"
)

// dialTimeout bounds the opening of one flow and each request on it.
const dialTimeout = 10 * time.Second

// requestPause is the time between two requests of a flow.
const requestPause = 20 * time.Millisecond

// Kind is a kind of flow: the protocol, the IP version and the service with its
// address.
type Kind struct {
	Name    string
	IsTCP   bool
	Caller  netip.Addr
	Address netip.AddrPort
	Service string
}

// Load keeps flows busy and collects what goes wrong.
type Load struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	flows    []*dialer.Flow
	requests int
	failures []error
}

// OpenFlows opens count flows of a kind, from the given first port on, and keeps
// them busy until Finish.
func (s *System) OpenFlows(ctx context.Context, kind Kind, firstPort uint16, count int) (*Load, error) {
	background, cancel := context.WithCancel(s.ctx)
	load := &Load{cancel: cancel}
	caller := s.Caller(kind.Caller)
	for i := range count {
		flow, err := openFlow(ctx, caller, kind, firstPort+uint16(i))
		if err != nil {
			cancel()
			load.running.Wait()
			return nil, fmt.Errorf("%s flow %d: %w", kind.Name, i, err)
		}
		load.flows = append(load.flows, flow)
		load.running.Go(func() { load.keepBusy(background, flow) })
	}
	return load, nil
}

// Hosts returns how many flows each backend server answers.
func (l *Load) Hosts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := make(map[string]int)
	for _, flow := range l.flows {
		hosts[flow.Host()]++
	}
	return hosts
}

// Finish ends the flows. It returns the number of requests that were answered
// and the failures.
func (l *Load) Finish() (requests int, failures []error) {
	l.cancel()
	l.running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests, l.failures
}

func openFlow(ctx context.Context, caller *dialer.Caller, kind Kind, port uint16) (*dialer.Flow, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	flow, err := caller.Dial(ctx, kind.IsTCP, netip.AddrPortFrom(kind.Caller, port), kind.Address, kind.Service)
	if err != nil {
		return nil, err
	}
	return flow, flow.Request(ctx)
}

func (l *Load) keepBusy(ctx context.Context, flow *dialer.Flow) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(requestPause):
		}
		request, cancel := context.WithTimeout(ctx, dialTimeout)
		err := flow.Request(request)
		cancel()
		if errors.Is(err, context.Canceled) && ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		if err != nil {
			l.failures = append(l.failures, err)
		} else {
			l.requests++
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}
