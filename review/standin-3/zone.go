package main

import (
	"fmt"
	"time"
)

// acknowledgementLimit is ack-ms.
const acknowledgementLimit = 5 * time.Second

// playZone adds a zone to the settings files of a running system, lets backend servers announce themselves there, and
// evacuates it. Without the disruption the settings name the zone from the start.
func playZone(p *play) error {
	zones := []string{"kano-a", "kano-b", "kaduna-a", "kaduna-b"}
	const created = "katsina-a"
	d, err := newDeployment(p, zones, 1)
	if err != nil {
		return err
	}
	defer d.stop()
	for _, zone := range zones {
		d.add(zone)
	}
	if !p.isTroubled {
		d.zones = append(d.zones, created)
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if _, ok := d.order("PUT", "/redwingledge/config", newDesiredState(7, 2, "huvo11a", "wuno96b"), 30*time.Second); !ok {
		return fmt.Errorf("the first desired state was not acknowledged")
	}
	wait(5)
	if p.isTroubled {
		d.zones = append(d.zones, created)
		if err := d.changeSettings(); err != nil {
			return err
		}
	}
	// More than contact-ms.
	wait(8)
	var hosts []*host
	for i, zone := range []string{"kano-a", "kaduna-a", created, created} {
		hosts = append(hosts, d.newHost(i, zone, "huvo11a"))
	}
	for range 3 {
		for _, h := range hosts {
			if !h.announce("ready") {
				return fmt.Errorf("%s in %s was not acknowledged", h.id, h.zone)
			}
		}
		wait(1.2)
	}
	// An order for a zone that was there from the start shows that control answers.
	if _, ok := d.order("POST", "/redwingledge/evacuations/kano-a", nil, acknowledgementLimit); !ok {
		return fmt.Errorf("the evacuation of an earlier zone was not acknowledged")
	}
	if _, ok := d.order("DELETE", "/redwingledge/evacuations/kano-a", nil, acknowledgementLimit); !ok {
		return fmt.Errorf("the end of the evacuation of an earlier zone was not acknowledged")
	}
	after, ok := d.order("POST", "/redwingledge/evacuations/"+created, nil, acknowledgementLimit)
	if !ok {
		for _, h := range hosts {
			h.announce("ready")
		}
		return fmt.Errorf("%w: the evacuation of %s is not acknowledged", errBroken, created)
	}
	p.printf("the evacuation of %s is acknowledged after %s", created, after)
	return nil
}
