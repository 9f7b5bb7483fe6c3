package main

import (
	"fmt"
	"os"
	"time"
)

// playReplaced runs five machines of which two may be lost. It replaces one for good while another has no power, waits until
// the successor no longer counts as lost, and lets two machines lose their disks right after a desired state was
// acknowledged. Without the disruption only the last happens.
func playReplaced(p *play) error {
	zones := []string{"egy-a", "egy-b", "egy-c", "egy-d", "egy-e"}
	d, err := newDeployment(p, zones, 2)
	if err != nil {
		return err
	}
	defer d.stop()
	d.bounds = grownBounds
	for _, zone := range zones {
		d.add(zone)
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if _, ok := d.order("PUT", "/redwingledge/config", newDesiredState(7, 1, "huvo11a"), 30*time.Second); !ok {
		return fmt.Errorf("the first desired state was not acknowledged")
	}
	// Twice contact-ms.
	wait(10)
	removed, dark, wiped := d.machines[0], d.machines[1], d.machines[2]
	if p.isTroubled {
		removed.kill()
		d.machines = d.machines[1:]
		p.printf("%s is gone for good (lost: 1)", removed.name)
		wait(0.3)
		dark.kill()
		p.printf("%s loses power (lost: 2)", dark.name)
		wait(0.7)
		if err := d.start(d.add(removed.zone), false); err != nil {
			return err
		}
		// catch-up-s and 0.1 s.
		wait(6.1)
		p.printf("the successor has run for catch-up-s, so that %s stops counting (lost: 1)", removed.name)
	}
	const acknowledged = 9
	if _, ok := d.order("PUT", "/redwingledge/config", newDesiredState(acknowledged, 1, "huvo11a"), 30*time.Second); !ok {
		return fmt.Errorf("version %d was not acknowledged", acknowledged)
	}
	// The final fault: as many machines as fault-tolerance allows lose their disks. The one without power is one of them.
	lost := []*machine{dark, wiped}
	for _, m := range lost {
		m.kill()
	}
	for _, m := range lost {
		if err := os.RemoveAll(m.disk); err != nil {
			return err
		}
		p.printf("%s loses power and its disk", m.name)
	}
	p.printf("lost: 2")
	wait(0.9)
	for _, m := range lost {
		if err := d.start(m, false); err != nil {
			return err
		}
	}
	// Twice recovery-s.
	return d.readBack(acknowledged, 30*time.Second)
}
