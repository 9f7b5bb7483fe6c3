package main

import (
	"context"
	"syscall"
	"time"
)

const (
	// lastStart is when the third seed starts, after the others. All machines start within 0.3 s of each other, in any
	// order.
	lastStart = 250 * time.Millisecond
	// successorAfter is how much later an empty machine takes its place, at another address.
	successorAfter = 2 * time.Second
	// acknowledgeBound and catchUpBound are ack-ms and catch-up-s.
	acknowledgeBound = 5 * time.Second
	catchUpBound     = 4 * time.Second
	// orderTime is how long the operator goes on sending the first desired state.
	orderTime = 60 * time.Second
)

// playSeed loses one machine of the core for good at the first start, and sends the first desired state.
func playSeed(p *play) error {
	lost := p.cores[2]
	for _, m := range p.cores {
		if m != lost {
			if err := p.start(m, true); err != nil {
				return err
			}
		}
	}
	time.Sleep(lastStart)
	if err := p.start(lost, true); err != nil {
		return err
	}
	if p.trouble {
		if err := lost.signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-lost.exited
		time.Sleep(successorAfter)
		next := &machine{name: "core-" + lost.zone + "-2", role: "control", zone: lost.zone, ip: p.address(1, len(p.cores))}
		p.cores = append(p.cores, next)
		if err := p.start(next, false); err != nil {
			return err
		}
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, orderTime)
	defer cancel()
	body := state(1, idleTimeout, 0, []string{"sack-orders"}, routeAt(0, "safe", "sack-orders"))
	err := p.api.configure(ctx, body)
	took := time.Since(began)
	p.record.add("the first desired state: %v after %.1f s", err, took.Seconds())
	if took > contactBound+catchUpBound+acknowledgeBound {
		running := 0
		for _, m := range p.cores {
			if m.isRunning() {
				running++
			}
		}
		p.breakRule("Acks: the first desired state has no acknowledgement after %.1f s, while %d of %d machines of the core run", took.Seconds(), running, len(p.cores)-1)
	}
	return nil
}
