package main

import (
	"context"
	"errors"
	"time"
)

// lateDelete restarts one host under its id in a planned way. The disruption: the host is cut off
// from all machines when it sends its DELETE, so that this arrives after the next lifetime has
// announced itself.
func lateDelete(ctx context.Context, w *world, trouble bool) error {
	const cut = 7 * time.Second
	w.addSackOrders()
	if err := w.prepare(ctx, service{name: "sack-orders", kind: "unsafe"}); err != nil {
		return err
	}
	if err := w.startUsers(ctx, 12, w.amend()); err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	leader := w.leader()
	h := w.hostAt(leader)
	if h == nil {
		return errors.New("no host checks in at the leader")
	}
	w.logf("planned restart of host %s under its id; the leader is %s", h.id, leader)
	h.drain()
	if err := h.awaitDrained(ctx, drainLimit+500*time.Millisecond); err != nil {
		return err
	}
	if trouble {
		h.path.cut(cut)
		w.logf("host %s is cut off from all machines for %s", h.id, cut)
	}
	acked := h.withdraw(ctx, h.checksInAt())
	for i := 0; i < 3 && !acked; i++ {
		acked = h.withdraw(ctx, w.controlAddress(i))
	}
	h.end("planned shutdown")
	sleep(ctx, 500*time.Millisecond)
	if err := h.start(); err != nil {
		return err
	}
	sleep(ctx, 20*time.Second)
	return nil
}

// hostAt returns a host that checks in at a control machine, or nil.
func (w *world) hostAt(control string) *host {
	for _, h := range w.hosts {
		if h.checksInAt() == control {
			return h
		}
	}
	return nil
}

// checksInAt returns the control machine that acknowledged the last check-in.
func (h *host) checksInAt() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.beatsAt
}
