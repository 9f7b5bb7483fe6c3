package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// patience is how long a backend server that leaves goes on without an acknowledgement: ack-ms and a second.
	patience = 6 * time.Second
)

// host is a backend server as far as control sees it.
type host struct {
	*deployment

	id, zone, service, address string
	born                       int64
	sequence                   int
}

func (d *deployment) newHost(i int, zone, service string) *host {
	return &host{
		deployment: d, id: fmt.Sprintf("i-7f3a9%03x", i), zone: zone, service: service, address: fmt.Sprintf("%s.%d:8080", d.prefix, 100+i),
		born: time.Now().UnixMilli(),
	}
}

// announce sends a check-in to one node after another, once to each. It reports whether one has acknowledged it.
func (h *host) announce(state string) bool {
	h.sequence++
	body, err := json.Marshal(map[string]any{
		"service": h.service, "address": h.address, "zone": h.zone, "version": "v1", "max-concurrency": 2, "state": state,
		"cold-remaining-ms": 0, "seq": h.sequence, "born": h.born,
	})
	if err != nil {
		panic(err) // the map can be encoded
	}
	nodes := h.control()
	for _, i := range rand.Perm(len(nodes)) {
		status, answer := send(nodes[i], "PUT", "/redwingledge/instances/"+h.id, body)
		h.printf("%s (%s, %s): %s, seq %d at %s: %d %s", h.id, h.service, h.zone, state, h.sequence, nodes[i], status, firstLine(answer))
		if status >= 200 && status < 300 {
			return true
		}
		wait(0.05)
	}
	return false
}

// leave announces that the host drains until that is acknowledged. It reports whether it was, or the host ended without.
func (h *host) leave() bool {
	began := time.Now()
	for time.Since(began) < patience {
		if h.announce("draining") {
			h.printf("%s: its leaving is acknowledged after %.2f s", h.id, time.Since(began).Seconds())
			// drain-ms
			wait(3)
			status, _ := send(h.control()[0], "DELETE", "/redwingledge/instances/"+h.id, nil)
			h.printf("%s: DELETE: %d; it ends", h.id, status)
			return true
		}
		time.Sleep(heartbeat)
	}
	h.printf("%s: ends without an acknowledgement", h.id)
	return false
}

// playService retires a service: a desired state without it and its route is acknowledged, and then its two backend
// servers leave. Without the disruption the desired state still names the service, without a route.
func playService(p *play) error {
	zones := []string{"kano-a", "kano-b", "kaduna-a", "kaduna-b"}
	d, err := newDeployment(p, zones, 1)
	if err != nil {
		return err
	}
	defer d.stop()
	for _, zone := range zones {
		d.add(zone)
	}
	if err := d.startAll(); err != nil {
		return err
	}
	const kept, retired = "huvo11a", "wuno96b"
	if _, ok := d.order("PUT", "/redwingledge/config", newDesiredState(7, 2, kept, retired), 30*time.Second); !ok {
		return fmt.Errorf("the first desired state was not acknowledged")
	}
	var staying, leaving []*host
	for i := range 16 {
		staying = append(staying, d.newHost(i, zones[i%len(zones)], kept))
	}
	for i := range 2 {
		leaving = append(leaving, d.newHost(16+i, zones[i], retired))
	}
	for range 4 {
		for _, h := range append(append([]*host(nil), staying...), leaving...) {
			if !h.announce("ready") {
				return fmt.Errorf("%s was not acknowledged", h.id)
			}
		}
		time.Sleep(heartbeat)
	}
	next := newDesiredState(9, 1, kept, retired)
	if p.isTroubled {
		next = newDesiredState(9, 1, kept)
	}
	if _, ok := d.order("PUT", "/redwingledge/config", next, 30*time.Second); !ok {
		return fmt.Errorf("the second desired state was not acknowledged")
	}
	// More than config-apply-ms. The hosts go on announcing themselves.
	for range 4 {
		for _, h := range append(append([]*host(nil), staying...), leaving...) {
			if !h.announce("ready") {
				p.printf("%s: no node acknowledges that it is ready", h.id)
			}
		}
		time.Sleep(heartbeat)
	}
	results := make([]bool, len(leaving))
	var running sync.WaitGroup
	for i, h := range leaving {
		running.Go(func() { results[i] = h.leave() })
	}
	running.Wait()
	missing := 0
	for _, isAcknowledged := range results {
		if !isAcknowledged {
			missing++
		}
	}
	// A fifth of the hosts that leave.
	if missing*5 > len(leaving) {
		return fmt.Errorf("%w: %d of %d hosts that leave have no acknowledgement after ack-ms and end without one", errBroken, missing, len(leaving))
	}
	return nil
}
