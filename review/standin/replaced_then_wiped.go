package main

import (
	"context"
	"time"
)

const catchUp = 4 * time.Second

// replacedThenWiped replaces the control machine that leads in a planned way: another one starts
// first and gets more than catch-up-s. The disruption: right after the next change has been
// acknowledged, the machine that acknowledged it loses its disk.
func replacedThenWiped(ctx context.Context, w *world, trouble bool) error {
	return w.loseAnotherDisk(ctx, trouble, func(leader *vm) error {
		if err := w.addControl(leader.zone); err != nil {
			return err
		}
		sleep(ctx, catchUp+2*time.Second)
		w.terminate(leader)
		leader.isRemoved = true
		return nil
	})
}

// killedThenWiped is the same without a plan: the machine that leads is killed for good, its
// successor starts at once and gets catch-up-s.
func killedThenWiped(ctx context.Context, w *world, trouble bool) error {
	return w.loseAnotherDisk(ctx, trouble, func(leader *vm) error {
		w.kill(leader)
		leader.isRemoved = true
		if err := w.addControl(leader.zone); err != nil {
			return err
		}
		sleep(ctx, catchUp+50*time.Millisecond)
		return nil
	})
}

// loseAnotherDisk replaces the control machine that leads, has the next version acknowledged, lets
// the machine that acknowledged it lose its disk, and reads the version back.
func (w *world) loseAnotherDisk(ctx context.Context, trouble bool, replace func(leader *vm) error) error {
	w.addSackOrders()
	services := []service{{name: "sack-orders", kind: "unsafe"}}
	if err := w.prepare(ctx, services...); err != nil {
		return err
	}
	if err := w.startUsers(ctx, 4, w.amend()); err != nil {
		return err
	}
	leader := w.controlAt(w.leader())
	if err := replace(leader); err != nil {
		return err
	}
	w.logf("machine %s is removed for good; its successor started more than %s ago", leader.name, catchUp)
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
	if err := ctx.Err(); err != nil {
		return err
	}
	w.breakf("CONFIG: version 4 was acknowledged; it does not come when it is read back for 40 s after all machines are back")
	return nil
}
