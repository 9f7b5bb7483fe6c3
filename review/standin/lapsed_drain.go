package main

import (
	"context"
	"time"
)

// lapsedDrain takes away both hosts of a service. The disruption: both are cut off from all
// machines while they drain.
func lapsedDrain(ctx context.Context, w *world, trouble bool) error {
	const cut = 5500 * time.Millisecond
	w.addSackOrders()
	desk := append(w.addHosts("manifest-desk", "kano-a", 1), w.addHosts("manifest-desk", "kaduna-a", 1)...)
	if err := w.prepare(ctx, service{name: "manifest-desk", kind: "unsafe"}, service{name: "sack-orders", kind: "unsafe"}); err != nil {
		return err
	}
	perRequest := w.amend()
	perRequest.perFlow = 1
	if err := w.startUsers(ctx, 8, perRequest); err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	for _, h := range desk {
		h.drain()
	}
	for _, h := range desk {
		if err := h.awaitDrained(ctx, 0); err != nil {
			return err
		}
	}
	if trouble {
		for _, h := range desk {
			h.path.cut(cut)
			w.logf("host %s is cut off from all machines for %s", h.id, cut)
		}
	}
	// The hosts go on serving for drain-ms and 3 s longer.
	sleep(ctx, drainLimit+3*time.Second)
	for i, h := range desk {
		acked := false
		for j := 0; j < 4 && !acked; j++ {
			acked = h.withdraw(ctx, w.controlAddress(i+j))
		}
		h.end("planned shutdown")
	}
	sleep(ctx, 3*time.Second)
	return nil
}
