package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Sizes of the demonstration.
const (
	hostsPerService = 4
	flowsPerKind    = 12
	firstPort       = 20000
	// propagationTime is the time within which a change must take effect everywhere.
	propagationTime = 3 * time.Second
	// observationTime is how long flows keep running after a change before they are checked.
	observationTime = 2 * time.Second
)

// FlowKinds returns a kind of flow for each combination of protocol and IP version.
func FlowKinds() []FlowKind {
	caller4 := netip.MustParseAddr("203.0.113.7")
	caller6 := netip.MustParseAddr("2001:db8:c::7")
	return []FlowKind{
		{Name: "TCP over IPv4", IsTCP: true, Caller: caller4, Address: netip.MustParseAddrPort("192.0.2.1:443"), Service: "sack-orders"},
		{Name: "UDP over IPv4", Caller: caller4, Address: netip.MustParseAddrPort("192.0.2.2:5000"), Service: "allotments"},
		{Name: "TCP over IPv6", IsTCP: true, Caller: caller6, Address: netip.MustParseAddrPort("[2001:db8::3]:443"), Service: "manifest-desk"},
		{Name: "UDP over IPv6", Caller: caller6, Address: netip.MustParseAddrPort("[2001:db8::4]:5000"), Service: "status-feed"},
	}
}

// HostAddress returns the address of a backend server of a kind.
func HostAddress(kind, host int, address netip.AddrPort) netip.AddrPort {
	if address.Addr().Is4() {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(kind), byte(host + 1)}), 8000)
	}
	ip := netip.MustParseAddr("2001:db8:b::").As16()
	ip[13], ip[15] = byte(kind), byte(host+1)
	return netip.AddrPortFrom(netip.AddrFrom16(ip), 8000)
}

// HostName returns the name of a backend server.
func HostName(host int) string { return fmt.Sprintf("host-%d", host+1) }

// Prepare applies the declaration, starts the entries and announces the backend servers of all
// kinds of flow. It passes the plan and the output of rwctl to show.
func (s *System) Prepare(ctx context.Context, entries int, show func(string)) error {
	if err := s.Apply(ctx, show, s.Declaration(FlowKinds())); err != nil {
		return err
	}
	for i := range entries {
		if err := s.StartEntry(ctx, entryName(i), dataCentre(i)); err != nil {
			return err
		}
	}
	for k, kind := range FlowKinds() {
		for host := range hostsPerService {
			if err := s.AddBackend(ctx, kind.Service, HostName(host), dataCentre(host), HostAddress(k, host, kind.Address)); err != nil {
				return err
			}
		}
	}
	// The first announcements ramp up. Flows may start once they have taken effect.
	return sleep(ctx, propagationTime)
}

// FlowLoads are the loads of all kinds of flow.
type FlowLoads []*FlowLoad

// OpenAll opens flows of each kind.
func (s *System) OpenAll(ctx context.Context, first uint16) (FlowLoads, error) {
	var loads FlowLoads
	for i, kind := range FlowKinds() {
		load, err := s.OpenFlows(ctx, kind, first+uint16(i*flowsPerKind), flowsPerKind)
		if err != nil {
			return loads, err
		}
		loads = append(loads, load)
	}
	return loads, nil
}

// Finish ends all flows and returns the number of answered requests and the failures.
func (l FlowLoads) Finish() (requests int, failures error) {
	var errs []error
	for _, load := range l {
		answered, failed := load.Finish()
		requests += answered
		errs = append(errs, failed...)
	}
	return requests, errors.Join(errs...)
}

// Demonstrate opens flows of every kind, drains a backend server and restarts an entry. It
// returns an error unless the flows survive and new flows go to other backend servers.
func (s *System) Demonstrate(ctx context.Context, show func(string)) error {
	loads, err := s.OpenAll(ctx, firstPort)
	if err != nil {
		return err
	}
	target := FlowKinds()[0].Service
	show(fmt.Sprintf("%d flows are open; those of %s by backend server: %v\n", len(FlowKinds())*flowsPerKind, target, loads[0].Hosts()))
	before := s.BackendStats(target, HostName(0))
	if err := s.Change(ctx, show, "drain", target+"/"+HostName(0)); err != nil {
		return err
	}
	if err := sleep(ctx, propagationTime); err != nil {
		return err
	}
	later, err := s.OpenFlows(ctx, FlowKinds()[0], firstPort+1000, 4*flowsPerKind)
	if err != nil {
		return err
	}
	show(fmt.Sprintf("%d flows opened after the drain, by backend server: %v\n", 4*flowsPerKind, later.Hosts()))
	if opened := s.BackendStats(target, HostName(0)).Opened - before.Opened; opened > 0 {
		return fmt.Errorf("the drained backend server got %d new flows", opened)
	}
	if err := s.RestartEntry(ctx, s.EntryNames()[0]); err != nil {
		return err
	}
	if err := sleep(ctx, observationTime); err != nil {
		return err
	}
	requests, failures := append(loads, later).Finish()
	show(fmt.Sprintf("%d requests were answered on flows that were open during the drain and the restart of an entry\n", requests))
	if failures != nil {
		return fmt.Errorf("flows failed: %w", failures)
	}
	stats := s.fabric.Stats()
	show(fmt.Sprintf("packets sprayed over the entries: %d, delivered: %d, malformed: %d\n", stats.Sent, stats.Delivered, stats.Malformed))
	if stats.Malformed > 0 {
		return fmt.Errorf("%d packets from entries were malformed", stats.Malformed)
	}
	return s.CheckReadiness(ctx)
}

func dataCentre(i int) string {
	if i%2 == 0 {
		return "kano-a"
	}
	return "kano-b"
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
