package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the entry stands still; it is the default of node_freeze.
	freezeTime = 5 * time.Second
	// contactBound is contact-ms.
	contactBound = 4 * time.Second
	// settleTime is how long after the freeze and the last change the first flows are opened, well after contactBound
	// and configBound, and rounds and roundGap how often and how far apart they are opened again.
	settleTime = 12 * time.Second
	rounds     = 4
	roundGap   = 10 * time.Second
	// checkedRoutes is the number of routes on which flows are opened.
	checkedRoutes = 8
	// finalService is the service of all routes in the last version.
	finalService = "manifest-desk"
)

// playBehind freezes an entry while the desired state changes, and opens flows through it long afterwards. Each version
// moves all routes to the other of two services, and the last one all of them to one.
func playBehind(p *play) error {
	var last atomic.Int64
	var lastAt atomic.Int64
	onSYN := func(h *host, syn packet) {
		since := time.Duration(time.Now().UnixNano() - lastAt.Load())
		if lastAt.Load() == 0 || since < contactBound+configBound {
			return
		}
		if h.service != finalService {
			p.breakRule("CONFIG: host %s of the old service %s takes a new flow to %s, which names %s since version %d, acknowledged %.1f s ago",
				h.name, h.service, syn.dst, finalService, last.Load(), since.Seconds())
		}
	}
	hosts, err := p.startHosts([][2]string{{services[0], "kano-a"}, {services[1], "kano-a"}}, func(h *host) { h.onSYN = onSYN })
	if err != nil {
		return err
	}
	r := startRouter(p.deployment, "kano-a")
	defer close(r.stop)
	routes := baseRoutes + growths*addedRoutes
	if err := p.prepare(bigState(1, routes), hosts, []*router{r}); err != nil {
		return err
	}
	c, err := newClient(p.deployment, r, 0)
	if err != nil {
		return err
	}
	frozen := p.entries[0]
	if p.trouble {
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		p.record.add("SIGSTOP to %s", frozen.name)
	}
	var version atomic.Int64
	version.Store(1)
	var running sync.WaitGroup
	began := time.Now()
	for range operators {
		running.Go(func() {
			for time.Since(began) < freezeTime-changeGap && p.ctx.Err() == nil {
				sent := time.Now()
				_ = p.api.configure(p.ctx, bigState(int(version.Add(1)), routes))
				time.Sleep(max(0, changeGap-time.Since(sent)))
			}
		})
	}
	running.Wait()
	if p.trouble {
		if err := frozen.signal(syscall.SIGCONT); err != nil {
			return err
		}
		p.record.add("SIGCONT to %s after %.1f s", frozen.name, time.Since(began).Seconds())
	}
	last.Store(version.Add(1))
	var all []route
	for i := range routes {
		all = append(all, routeAt(i, "safe", finalService))
	}
	if err := p.api.configure(p.ctx, state(int(last.Load()), idleTimeout, 0, services, all...)); err != nil {
		return err
	}
	lastAt.Store(time.Now().UnixNano())
	p.record.add("version %d is acknowledged, the last one; %d changes in all", last.Load(), last.Load()-1)
	time.Sleep(settleTime)
	for round := range rounds {
		for i := range checkedRoutes {
			f := c.open(uint16(newPort+round*checkedRoutes+i), routeAt(i, "", "").address)
			if f.isUsable() {
				f.request(fmt.Sprintf("round-%d-route-%d", round, i))
			}
		}
		if round < rounds-1 {
			time.Sleep(roundGap)
		}
	}
	return nil
}
