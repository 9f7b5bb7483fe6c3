package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// hostsPerZone is the number of hosts of sack-orders in each zone, as in the small deployment.
var hostsPerZone = []int{4, 4, 3, 3}

// amend is the class order-amend: unsafe, on long flows.
func (w *world) amend() class {
	return class{method: http.MethodPost, route: w.route(0), deadline: time.Second, perFlow: 15}
}

// addHosts adds hosts of a service to a zone.
func (w *world) addHosts(service, zone string, count int) []*host {
	added := make([]*host, 0, count)
	for range count {
		i := len(w.hosts) + 1
		number := uint64(0x7f3a9100 + i)
		h := &host{
			w: w, id: fmt.Sprintf("i-%x", number), number: number, service: service, zone: zone,
			address: netip.AddrPortFrom(w.address(3, i), w.ports.host), path: newPath(), firstControl: i % len(zones),
		}
		w.hosts = append(w.hosts, h)
		added = append(added, h)
	}
	return added
}

func (w *world) addSackOrders() {
	for i, zone := range zones {
		w.addHosts("sack-orders", zone, hostsPerZone[i])
	}
}

// prepare declares the services, starts all hosts and waits until all machines are in touch.
func (w *world) prepare(ctx context.Context, services ...service) error {
	if err := w.declare(3, services); err != nil {
		return err
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	go w.probeEntries(ctx)
	sleep(ctx, contact+time.Second)
	for _, v := range w.entries {
		if v.missed.Load() > 0 {
			return errors.New(v.name + " is not ready")
		}
	}
	return ctx.Err()
}

// startUsers starts users in each zone.
func (w *world) startUsers(ctx context.Context, perZone int, k class) error {
	for i := range zones {
		c, err := w.newClients(i)
		if err != nil {
			return err
		}
		for range perZone {
			go c.user(ctx, k)
		}
	}
	return nil
}
