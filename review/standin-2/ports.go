package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// blockPorts is the number of ports of a client that uses them in turn, one flow each, as behind an address
	// translation. With one flow each flowInterval, a port is used again after 8 s, long after its flow has closed.
	blockPorts   = 64
	flowInterval = 125 * time.Millisecond
	firstPort    = 40001
	// newPort is the first of the ports of the client that uses each of them once.
	newPort = 50001

	// evacuationBound and configBound are evacuation-ms and config-apply-ms.
	evacuationBound = 5 * time.Second
	configBound     = 3 * time.Second
	// observed is how long flows go on after the bound.
	observed = 12 * time.Second
)

// order is an order of the operator after which some hosts must not get new flows, and when it was acknowledged.
type order struct {
	p     *play
	rule  string
	bound time.Duration
	// isExcluded reports whether a host must not get new flows.
	isExcluded func(h *host) bool

	mu           sync.Mutex
	acknowledged time.Time
}

func (o *order) acknowledge() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = time.Now()
}

// check is called with each opening packet that a host takes. The client sends it less than 2 s before, so that it was
// sent after the bound, too, if it arrives 2 s after it.
func (o *order) check(h *host, syn packet) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.acknowledged.IsZero() || !o.isExcluded(h) {
		return
	}
	if since := time.Since(o.acknowledged); since > o.bound+2*time.Second {
		o.p.breakRule("%s: host %s of %s in %s takes a new flow of %s, %.3f s after the acknowledgement", o.rule, h.name, h.service, h.zone, syn.src, since.Seconds())
	}
}

// flowEach opens a flow from each port in turn, has one request answered on it and closes it, until stop is closed.
func flowEach(c *client, to netip.AddrPort, first, ports uint16, stop <-chan struct{}) {
	for i := 0; ; i++ {
		began := time.Now()
		f := c.open(first+uint16(i)%ports, to)
		if f.isUsable() {
			f.request(fmt.Sprintf("%s-%d", f.src, i))
			f.closeFlow()
		} else {
			c.d.record.add("client %s: the flow does not open", f.src)
		}
		select {
		case <-stop:
			return
		case <-time.After(max(0, flowInterval-time.Since(began))):
		}
	}
}

// playOrder plays two clients with a flow for each request: one uses a block of ports in turn, the other each port
// once. After a full turn, the operator sends its order.
func (p *play) playOrder(o *order, hosts []*host, first []byte, to netip.AddrPort, send func() error) error {
	r := startRouter(p.deployment, "kano-a")
	defer close(r.stop)
	if err := p.prepare(first, hosts, []*router{r}); err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i, client := range []struct{ first, ports uint16 }{{firstPort, blockPorts}, {newPort, 10_000}} {
		c, err := newClient(p.deployment, r, i)
		if err != nil {
			return err
		}
		running.Go(func() { flowEach(c, to, client.first, client.ports, stop) })
	}
	time.Sleep(blockPorts*flowInterval + time.Second)
	if p.trouble {
		if err := send(); err != nil {
			return err
		}
		o.acknowledge()
		p.record.add("the order is acknowledged; from %s on, hosts that it excludes must get no new flow", o.bound)
	}
	time.Sleep(o.bound + observed)
	close(stop)
	running.Wait()
	return nil
}

// startHosts starts a host for each service and zone.
func (p *play) startHosts(places [][2]string, change func(*host)) ([]*host, error) {
	var hosts []*host
	for i, place := range places {
		h, err := startHost(p.ctx, p.deployment, p.api, uint32(0x7f3a9100+i), i, place[0], place[1], change)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// playEvacuation evacuates the zone of the clients.
func playEvacuation(p *play) error {
	o := &order{p: p, rule: "EVAC", bound: evacuationBound, isExcluded: func(h *host) bool { return h.zone == "kano-a" }}
	hosts, err := p.startHosts([][2]string{{"sack-orders", "kano-a"}, {"sack-orders", "kano-b"}}, func(h *host) { h.onSYN = o.check })
	if err != nil {
		return err
	}
	to := routeAt(0, "safe", "sack-orders")
	return p.playOrder(o, hosts, state(1, idleTimeout, 0, []string{"sack-orders"}, to), to.address, func() error {
		return p.api.order(p.ctx, http.MethodPost, "/redwingledge/evacuations/kano-a", nil)
	})
}

// playConfig moves the route of the clients to another service.
func playConfig(p *play) error {
	o := &order{p: p, rule: "CONFIG", bound: configBound, isExcluded: func(h *host) bool { return h.service == "sack-orders" }}
	hosts, err := p.startHosts([][2]string{{"sack-orders", "kano-a"}, {"manifest-desk", "kano-a"}}, func(h *host) { h.onSYN = o.check })
	if err != nil {
		return err
	}
	to := routeAt(0, "safe", "sack-orders")
	return p.playOrder(o, hosts, state(1, idleTimeout, 0, services, to), to.address, func() error {
		return p.api.configure(p.ctx, state(2, idleTimeout, 0, services, routeAt(0, "safe", "manifest-desk")))
	})
}
