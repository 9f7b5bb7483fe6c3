package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// baseRoutes is the number of routes of fjspb-ledge: 3 with traffic and 8 without.
	baseRoutes = 11
	// addedRoutes is the largest count of big_config there, and growths how often the desired state grows by them.
	addedRoutes = 420
	growths     = 3
	// changeGap is the smallest gap of config_storm there.
	changeGap = 60 * time.Millisecond
	// operators send changes at the same time.
	operators = 2
	// memoryLimit is memory-mb of the machines of the core.
	memoryLimit = 280
	// fatalEnds is how often processes may not end on half of the core.
	fatalEnds = 3
	// stormTime bounds the changes.
	stormTime = 100 * time.Second
)

// residentMegabytes returns the memory that a process uses, or 0 if it has ended.
func residentMegabytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}

// services are those of fjspb-ledge.
var services = []string{"sack-orders", "manifest-desk"}

// serviceAt returns the service of a route in a version of bigState.
func serviceAt(version, route int) string { return services[(version+route)%len(services)] }

// bigState returns a desired state with n routes. Each version moves all of them to the other service.
func bigState(version, n int) []byte {
	var routes []route
	for i := range n {
		routes = append(routes, routeAt(i, "safe", serviceAt(version, i)))
	}
	return state(version, idleTimeout, 0, services, routes...)
}

// memoryWatch does what the platform does: it kills a process that uses more than its limit, and starts it again.
type memoryWatch struct {
	p       *play
	version *atomic.Int64
	mu      sync.Mutex
	ends    map[string]int
}

func (w *memoryWatch) run(stop <-chan struct{}) {
	for {
		for _, m := range w.p.cores {
			used := residentMegabytes(m.process.Process.Pid)
			if used <= memoryLimit {
				continue
			}
			w.mu.Lock()
			w.ends[m.name]++
			w.p.record.add("%s uses %d MB after %d changes; the platform kills it, end %d", m.name, used, w.version.Load(), w.ends[m.name])
			w.mu.Unlock()
			_ = m.signal(syscall.SIGKILL)
			<-m.exited
			time.Sleep(200 * time.Millisecond)
			if err := w.p.start(m, false); err != nil {
				w.p.record.add("%s cannot be started: %v", m.name, err)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// worst returns the number of machines on which processes have ended fatalEnds times.
func (w *memoryWatch) worst() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, ends := range w.ends {
		if ends >= fatalEnds {
			count++
		}
	}
	return count
}

// playMemory sends changes one after the other, with the most routes that big_config brings.
func playMemory(p *play) error {
	routes := baseRoutes
	if p.trouble {
		routes += growths * addedRoutes
	}
	var version atomic.Int64
	w := &memoryWatch{p: p, version: &version, ends: make(map[string]int)}
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		w.run(stop)
	}()
	p.record.add("a desired state has %d routes and %d bytes", routes, len(bigState(1, routes)))
	var running sync.WaitGroup
	var acknowledged atomic.Int64
	began := time.Now()
	for range operators {
		running.Go(func() {
			for time.Since(began) < stormTime && p.ctx.Err() == nil && 2*w.worst() < len(p.cores) {
				sent := time.Now()
				v := int(version.Add(1))
				if p.api.configure(p.ctx, bigState(v, routes)) == nil {
					acknowledged.Add(1)
				}
				if v%100 == 0 {
					p.recordMemory(v)
				}
				time.Sleep(max(0, changeGap-time.Since(sent)))
			}
		})
	}
	running.Wait()
	close(stop)
	<-watched
	p.recordMemory(int(version.Load()))
	if 2*w.worst() >= len(p.cores) {
		p.breakRule("Fault: on %d of %d machines of the core, processes end three times for their memory, within %d changes", w.worst(), len(p.cores), version.Load())
	}
	p.record.add("%d changes were acknowledged in %.1f s", acknowledged.Load(), time.Since(began).Seconds())
	return nil
}

func (p *play) recordMemory(version int) {
	var used []string
	for _, m := range p.cores {
		used = append(used, fmt.Sprintf("%s %d MB", m.name, residentMegabytes(m.process.Process.Pid)))
	}
	p.record.add("version %d: %s", version, strings.Join(used, ", "))
}
