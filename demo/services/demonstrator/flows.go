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

// requestInterval is the time between two requests of a flow.
const requestInterval = 20 * time.Millisecond

// FlowKind is a kind of flow: the protocol, the IP version and the service with its
// address.
type FlowKind struct {
	Name    string
	IsTCP   bool
	Caller  netip.Addr
	Address netip.AddrPort
	Service string
}

// FlowLoad sends requests on flows and records the failures.
type FlowLoad struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	flows    []*dialer.Flow
	requests int
	failures []error
}

// OpenFlows opens count flows of a kind, from the given first port on, and sends requests on
// them until Finish is called.
func (s *System) OpenFlows(ctx context.Context, kind FlowKind, firstPort uint16, count int) (*FlowLoad, error) {
	background, cancel := context.WithCancel(s.ctx)
	load := &FlowLoad{cancel: cancel}
	caller := s.Caller(kind.Caller)
	for i := range count {
		flow, err := openFlow(ctx, caller, kind, firstPort+uint16(i))
		if err != nil {
			cancel()
			load.running.Wait()
			return nil, fmt.Errorf("%s flow %d: %w", kind.Name, i, err)
		}
		load.flows = append(load.flows, flow)
		load.running.Go(func() { load.sendRequests(background, flow) })
	}
	return load, nil
}

// Hosts returns how many flows each backend server answers.
func (l *FlowLoad) Hosts() map[string]int {
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
func (l *FlowLoad) Finish() (requests int, failures []error) {
	l.cancel()
	l.running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests, l.failures
}

func openFlow(ctx context.Context, caller *dialer.Caller, kind FlowKind, port uint16) (*dialer.Flow, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	flow, err := caller.Dial(ctx, kind.IsTCP, netip.AddrPortFrom(kind.Caller, port), kind.Address, kind.Service)
	if err != nil {
		return nil, err
	}
	return flow, flow.Request(ctx)
}

func (l *FlowLoad) sendRequests(ctx context.Context, flow *dialer.Flow) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(requestInterval):
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
