package main

import (
	"context"
	"net/http"
	"time"
)

// takenBack evacuates a zone and takes it back. The disruption: the hosts of the zone become cold
// shortly before.
func takenBack(ctx context.Context, w *world, trouble bool) error {
	const zone, rate, length, users = "kano-a", 2, 2 * time.Second, 60
	w.addSackOrders()
	if err := w.prepare(ctx, service{name: "sack-orders", kind: "unsafe", coldRate: rate}); err != nil {
		return err
	}
	perRequest := w.amend()
	perRequest.perFlow = 1
	if err := w.startUsers(ctx, users, perRequest); err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	if err := w.call(http.MethodPost, "/redwingledge/evacuations/"+zone, nil); err != nil {
		return err
	}
	sleep(ctx, 8*time.Second)
	for _, h := range w.hosts {
		if trouble && h.zone == zone {
			h.becomeCold(rate, length)
		}
	}
	if err := w.call(http.MethodDelete, "/redwingledge/evacuations/"+zone, nil); err != nil {
		return err
	}
	sleep(ctx, 6*time.Second)
	return nil
}
