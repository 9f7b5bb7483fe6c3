package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// otherWriter sends one check-in of another writer, whose field version is missing. It names the
// address of a host, under another id.
func otherWriter(ctx context.Context, w *world, trouble bool) error {
	w.addSackOrders()
	if err := w.prepare(ctx, service{name: "sack-orders", kind: "unsafe"}); err != nil {
		return err
	}
	if err := w.startUsers(ctx, 12, w.amend()); err != nil {
		return err
	}
	sleep(ctx, 6*time.Second)
	if trouble {
		h := w.hosts[8]
		body, err := json.Marshal(map[string]any{
			"service": h.service, "address": h.address.String(), "zone": h.zone, "max-concurrency": 2, "state": "ready",
			"cold-remaining-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		w.logf("another writer sends a check-in for i-5e11 with the address of %s, without the field version: %s", h.id, body)
		if err := w.call(http.MethodPut, "/redwingledge/instances/i-5e11", body); err != nil {
			w.logf("it is refused: %v", err)
		}
	}
	sleep(ctx, 10*time.Second)
	return nil
}
