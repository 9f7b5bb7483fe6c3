package main

import (
	"context"
	"time"
)

// replacedThenWiped replaces the control machine that leads in a planned way: another one starts
// first and gets more than catch-up-s. The disruption: right after the next change has been
// acknowledged, the machine that acknowledged it loses its disk.
func replacedThenWiped(ctx context.Context, w *world, trouble bool) error {
	const catchUp = 4 * time.Second
	w.addSackOrders()
	services := []service{{name: "sack-orders", kind: "unsafe"}}
	if err := w.prepare(ctx, services...); err != nil {
		return err
	}
	if err := w.startUsers(ctx, 4, w.amend()); err != nil {
		return err
	}
	if _, err := w.addControl("kano-a"); err != nil {
		return err
	}
	sleep(ctx, catchUp+2*time.Second)
	removed := w.controlAt(w.leader())
	w.terminate(removed)
	removed.isRemoved = true
	w.logf("machine %s is removed for good; its successor started more than %s ago", removed.name, catchUp)
	if err := w.declare(4, services); err != nil {
		return err
	}
	if trouble {
		if err := w.loseDisk(ctx, w.controlAt(w.leader())); err != nil {
			return err
		}
	}
	backAt := time.Now()
	// Longer than catch-up-s, ack-ms and recovery-s together.
	for time.Since(backAt) < 40*time.Second && ctx.Err() == nil {
		sleep(ctx, 500*time.Millisecond)
		if version := w.readBack(); version > 0 {
			w.logf("the desired state is read back: version %d, %.1f s after the machine was back", version, time.Since(backAt).Seconds())
			if version < 4 {
				w.breakf("CONFIG: version 4 was acknowledged, version %d is read back", version)
			}
			return nil
		}
	}
	w.breakf("CONFIG: version 4 was acknowledged; it does not come when it is read back for 40 s after all machines are back")
	return ctx.Err()
}
