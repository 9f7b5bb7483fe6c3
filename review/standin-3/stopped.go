package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"syscall"
	"time"
)

// playStopped replaces one of three machines as planned, the successor first, and lets another one lose its disk just after the
// replaced one got SIGTERM. Without the disruption the machine is replaced, and no disk is lost.
func playStopped(p *play) error {
	zones := []string{"kano-a", "kano-b", "kaduna-a"}
	d, err := newDeployment(p, zones, 1)
	if err != nil {
		return err
	}
	defer d.stop()
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
	wait(8)
	leader := d.findLeader()
	var followers []*machine
	for _, m := range d.machines {
		if m.ip != leader {
			followers = append(followers, m)
		}
	}
	if len(followers) != 2 {
		return fmt.Errorf("no leader is known")
	}
	replaced, other := followers[0], followers[1]
	successor := d.add(replaced.zone)
	if err := d.start(successor, false); err != nil {
		return err
	}
	// catch-up-s and a second: the replaced machine does not count once it is removed.
	wait(5)
	const acknowledged = 9
	if _, ok := d.order("PUT", "/redwingledge/config", newDesiredState(acknowledged, 1, "huvo11a"), 30*time.Second); !ok {
		return fmt.Errorf("version %d was not acknowledged", acknowledged)
	}
	if err := replaced.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	p.printf("%s is removed as planned: SIGTERM", replaced.name)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = replaced.command.Wait()
		p.printf("%s has ended", replaced.name)
	}()
	if p.isTroubled {
		wait(0.2)
		other.kill()
		if err := os.RemoveAll(other.disk); err != nil {
			return err
		}
		p.printf("%s loses power and its disk (lost: 1)", other.name)
	}
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		// grace-s
		_ = replaced.command.Process.Kill()
		<-ended
	}
	replaced.command = nil
	var running []*machine
	for _, m := range d.machines {
		if m != replaced {
			running = append(running, m)
		}
	}
	d.machines = running
	wait(2.5)
	if p.isTroubled {
		if err := d.start(other, false); err != nil {
			return err
		}
	}
	// Twice recovery-s and more.
	return d.readBack(acknowledged, 25*time.Second)
}

// findLeader returns the address to which the machines redirect an order, or "" if none does. The order is a desired state
// that is in force already.
func (d *deployment) findLeader() string {
	for _, node := range d.control() {
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "PUT", "http://"+node+"/redwingledge/config", bytes.NewReader(newDesiredState(7, 1, "huvo11a")))
		if err != nil {
			return ""
		}
		client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		location, err := url.Parse(resp.Header.Get("Location"))
		if resp.StatusCode == http.StatusTemporaryRedirect && err == nil {
			return location.Hostname()
		}
	}
	return ""
}
