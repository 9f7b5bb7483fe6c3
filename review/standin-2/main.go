// Command standin-2 plays the scripts of the review: it starts the programs of the deploy file on loopback addresses,
// with stand-ins for clients, hosts, routers and the operator. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// limit is the longest duration of a script.
const limit = 110 * time.Second

// play is a deployment with its record, and the findings against the rule.
type play struct {
	*deployment

	ctx     context.Context
	api     *api
	trouble bool

	mu     sync.Mutex
	broken []string
}

func (p *play) breakRule(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	p.broken = append(p.broken, text)
	p.record.add("RULE BROKEN: %s", text)
}

// scenario is a script. cores and entries are the machines that it needs.
type scenario struct {
	cores   int
	entries []string
	// startsItself is set if the script starts the machines.
	startsItself bool
	run          func(p *play) error
}

var scenarios = map[string]scenario{
	"behind":     {cores: 4, entries: []string{"kano-a", "kano-b"}, run: playBehind},
	"evacuation": {cores: 4, entries: []string{"kano-a", "kano-b"}, run: playEvacuation},
	"config":     {cores: 4, entries: []string{"kano-a", "kano-b"}, run: playConfig},
	"memory":     {cores: 4, entries: []string{"kano-a", "kano-b"}, run: playMemory},
	"stop":       {cores: 4, entries: []string{"kano-a", "kano-a"}, run: playStop},
	"seed":       {cores: 4, startsItself: true, run: playSeed},
	"zone":       {cores: 4, entries: []string{"kano-a"}, startsItself: true, run: playZone},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitFailed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := newDeployment(r, s.cores, s.entries)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.end()
	p := &play{deployment: d, ctx: ctx, api: newAPI(d), trouble: os.Getenv("TROUBLE") != "0"}
	r.add("scenario %s, trouble: %t", name, p.trouble)
	if !s.startsItself {
		err = d.startAll()
	}
	if err == nil {
		err = s.run(p)
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.broken) > 0 {
		fmt.Printf("%s: the rule was broken %d times, first: %s\n", name, len(p.broken), p.broken[0])
		return exitBroken
	}
	r.add("the rule held")
	fmt.Printf("%s: the rule held\n", name)
	return exitHeld
}

var errNotReady = errors.New("the deployment is not ready in time")

// await waits until a condition holds.
func (p *play) await(within time.Duration, condition func() bool) error {
	for end := time.Now().Add(within); p.ctx.Err() == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errNotReady
}

// prepare sends the first desired state, and waits until the hosts are registered and the routers have all entries in
// rotation for 2 s.
func (p *play) prepare(body []byte, hosts []*host, routers []*router) error {
	if err := p.api.configure(p.ctx, body); err != nil {
		return err
	}
	err := p.await(20*time.Second, func() bool {
		for _, h := range hosts {
			if !h.isRegistered() {
				return false
			}
		}
		for _, r := range routers {
			if !r.isComplete() {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second)
	return err
}

func routeAt(i int, kind, service string) route {
	return route{name: fmt.Sprintf("r-%d", i), kind: kind, service: service, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 198, 18, 1}), uint16(8080+i))}
}

// idleTimeout is idle-timeout-ms of the examples.
const idleTimeout = 15 * time.Second
