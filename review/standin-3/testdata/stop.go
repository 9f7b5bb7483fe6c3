package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// lateAnswer is how late hosts that have just started answer an opening packet: after the client's first copy.
	lateAnswer = 260 * time.Millisecond
	// slowTime is for how long they are slow, and coldTime what they announce.
	slowTime = 4 * time.Second
	coldTime = 4 * time.Second
	// newHosts is the number of hosts of the service, which have all just started, and openedFlows that of the flows
	// through the entry that is stopped: half of the 81 users of kano-a, one flow each.
	newHosts    = 4
	openedFlows = 40
)

// playStop stops an entry as planned, while flows through it are open to a service of which all hosts had just started, so
// that two of them have answered the opening packets of each flow. It is the script of the second review with another
// service for the hosts that are there before, and more flows.
func playStop(p *play) error {
	hosts, err := p.startHosts([][2]string{{"manifest-desk", "kano-a"}, {"manifest-desk", "kano-a"}}, nil)
	if err != nil {
		return err
	}
	r := startRouter(p.deployment, "kano-a")
	defer close(r.stop)
	to := routeAt(0, "unsafe", "sack-orders")
	if err := p.prepare(state(1, idleTimeout, 0, []string{"sack-orders", "manifest-desk"}, to), hosts, []*router{r}); err != nil {
		return err
	}
	c, err := newClient(p.deployment, r, 0)
	if err != nil {
		return err
	}
	for i := range newHosts {
		h, err := startHost(p.ctx, p.deployment, p.api, uint32(0x7f3a9200+i), 10+i, "sack-orders", "kano-a", func(h *host) {
			h.cold, h.slowOpening, h.slowUntil = coldTime, lateAnswer, time.Now().Add(slowTime)
		})
		if err != nil {
			return err
		}
		if err := p.await(5*time.Second, h.isRegistered); err != nil {
			return err
		}
	}
	stopped := p.entries[0]
	var mu sync.Mutex
	var opening sync.WaitGroup
	var flows []*flow
	for port := uint16(firstPort); port < firstPort+2*openedFlows; port++ {
		if r.pick(netipSource(c, port)) != stopped {
			continue
		}
		opening.Go(func() {
			f := c.open(port, to.address)
			if f.isUsable() && f.request(fmt.Sprintf("first-%d", port)) {
				mu.Lock()
				defer mu.Unlock()
				flows = append(flows, f)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	opening.Wait()
	p.record.add("%d flows are open and served; the clients pause", len(flows))
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		if err := stopped.signal(syscall.SIGTERM); err != nil {
			return err
		}
		p.record.add("SIGTERM to %s, a planned stop", stopped.name)
		if err := p.await(10*time.Second, func() bool { return len(r.inRotation()) == 1 }); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for i, f := range flows {
		f.request(fmt.Sprintf("second-%d", i))
		f.mu.Lock()
		isReset := f.isReset
		f.mu.Unlock()
		if isReset {
			p.breakRule("FLOW: the open flow of %s gets a reset that its host did not send, at the planned stop of %s", f.src, stopped.name)
		}
	}
	if p.trouble && p.entries[1].isRunning() && len(flows) == 0 {
		return errNotReady
	}
	return nil
}
