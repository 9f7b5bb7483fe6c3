package main

import (
	"fmt"
	"os"
	"time"
)

// playTolerance lets control grow from three machines, of which one may be lost, to five, of which two may be lost, and
// then lets two machines lose their disks right after a desired state was acknowledged. Without the disruption the five
// machines start with the settings that the others get later.
func playTolerance(p *play) error {
	zones := []string{"kano-a", "kano-b", "kaduna-a", "kaduna-b", "kaduna-c"}
	d, err := newDeployment(p, zones, 1)
	if err != nil {
		return err
	}
	defer d.stop()
	first := 3
	if !p.isTroubled {
		d.tolerance, first = 2, len(zones)
	}
	for _, zone := range zones[:first] {
		d.add(zone)
	}
	if err := d.startAll(); err != nil {
		return err
	}
	if _, ok := d.order("PUT", "/redwingledge/config", newDesiredState(7, 1, "huvo11a"), 30*time.Second); !ok {
		return fmt.Errorf("the first desired state was not acknowledged")
	}
	wait(5)
	if p.isTroubled {
		d.tolerance = 2
		if err := d.changeSettings(); err != nil {
			return err
		}
		for _, zone := range zones[first:] {
			if err := d.start(d.add(zone), false); err != nil {
				return err
			}
		}
	}
	// Three times catch-up-s.
	wait(12)
	for version := 9; version <= 15; version += 3 {
		if _, ok := d.order("PUT", "/redwingledge/config", newDesiredState(version, 1, "huvo11a"), 30*time.Second); !ok {
			return fmt.Errorf("version %d was not acknowledged", version)
		}
		wait(0.5)
	}
	const acknowledged = 15
	// The machines whose disks have lasted longest.
	lost := d.machines[:2]
	for _, m := range lost {
		m.kill()
	}
	for _, m := range lost {
		if err := os.RemoveAll(m.disk); err != nil {
			return err
		}
		d.printf("%s loses power and its disk", m.name)
	}
	wait(1)
	for _, m := range lost {
		if err := d.start(m, false); err != nil {
			return err
		}
	}
	return d.readBack(acknowledged, 30*time.Second)
}

// readBack reads the desired state at all machines in turn until one answers. It returns errBroken if none does within
// the limit, or one answers with another version.
func (d *deployment) readBack(version int, limit time.Duration) error {
	began, refusals := time.Now(), make(map[int]int)
	for i := 0; time.Since(began) < limit; i++ {
		node := d.control()[i%len(d.machines)]
		status, answer := send(node, "GET", "/redwingledge/config", nil)
		if status == 200 {
			read := versionOf(answer)
			d.printf("operator: reads version %d at %s, %.1f s after all machines are back", read, node, time.Since(began).Seconds())
			if read != version {
				return fmt.Errorf("%w: version %d was acknowledged and %d is read", errBroken, version, read)
			}
			return nil
		}
		if refusals[status]++; refusals[status] <= 2*len(d.machines) {
			d.printf("operator: GET at %s: %d %s", node, status, firstLine(answer))
		}
		wait(0.1)
	}
	return fmt.Errorf("%w: version %d was acknowledged and cannot be read %s after all machines are back (answers by status: %v)",
		errBroken, version, limit, refusals)
}
