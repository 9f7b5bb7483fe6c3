package main

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// addedZone is the zone that the settings name only after they have changed.
const addedZone = "kaduna-b"

// reloadTime is how long the processes have after SIGHUP, more than contact-ms.
const reloadTime = 6 * time.Second

// playZone adds a zone to the settings of running processes, and evacuates it.
func playZone(p *play) error {
	p.cores[3].zone, p.cores[3].name = "kano-a", "core-kano-a-2"
	if p.trouble {
		p.withoutZone = addedZone
	}
	if err := p.startAll(); err != nil {
		return err
	}
	hosts, err := p.startHosts([][2]string{{"sack-orders", "kano-a"}}, nil)
	if err != nil {
		return err
	}
	r := startRouter(p.deployment, "kano-a")
	defer close(r.stop)
	to := routeAt(0, "safe", "sack-orders")
	if err := p.prepare(state(1, idleTimeout, 0, []string{"sack-orders"}, to), hosts, []*router{r}); err != nil {
		return err
	}
	if p.trouble {
		p.withoutZone = ""
		for _, m := range p.all() {
			if err := os.WriteFile(m.settings, []byte(p.settingsOf(m, false)), 0o600); err != nil {
				return err
			}
			if err := m.signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
		p.record.add("the settings of all machines name %s; SIGHUP sent", addedZone)
		time.Sleep(reloadTime)
	}
	added, err := startHost(p.ctx, p.deployment, p.api, 0x7f3a9200, 10, "sack-orders", addedZone, nil)
	if err != nil {
		return err
	}
	if err := p.await(10*time.Second, added.isRegistered); err != nil {
		return err
	}
	// The operator gives up after three refusals.
	refusals, began := 0, time.Now()
	for try := 0; refusals < 3 && time.Since(began) < 20*time.Second; try++ {
		m := p.cores[try%len(p.cores)]
		status, body := p.api.once(p.ctx, m, http.MethodPost, "/redwingledge/evacuations/"+addedZone, nil)
		p.record.add("operator: evacuation of %s to %s: %d %s", addedZone, m.name, status, strings.TrimSpace(string(body)))
		switch {
		case status >= 200 && status < 300:
			return nil
		case status >= 400 && status < 500:
			refusals++
		}
		time.Sleep(200 * time.Millisecond)
	}
	p.breakRule("Acks: the evacuation of %s, where host %s is registered, is refused %d times and never acknowledged", addedZone, added.name, refusals)
	return nil
}
