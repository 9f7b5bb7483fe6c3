package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Bounds that the pages name for the small deployment that the scripts imitate.
const (
	heartbeat     = 1200 * time.Millisecond
	contact       = 4 * time.Second
	drainLimit    = 3 * time.Second
	answerLimit   = time.Second
	probeInterval = 500 * time.Millisecond
	metricsPort   = 9100
)

var zones = []string{"kano-a", "kano-b", "kaduna-a", "kaduna-b"}

// world holds all parts of a case and records what they do. Each VM, host and client has a
// loopback address of its own.
type world struct {
	folder, program string
	temp            string
	network         byte
	ports           ports
	began           time.Time
	rng             *lockedRand
	reserved        net.Listener

	mu      sync.Mutex
	record  *os.File
	breaks  []string
	held    map[flowKey]*holding
	sent    map[flowKey]time.Time
	hosts   []*host
	entries []*vm
	cores   []*vm
	counts  map[string]int
}

// holding is the state of an open flow as its host knows it.
type holding struct {
	host     *host
	openedAt time.Time
	usedAt   time.Time
}

type ports struct{ packets, ready, control, internal, host uint16 }

type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

func (l *lockedRand) norm() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.NormFloat64()
}

func (l *lockedRand) exp() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.ExpFloat64()
}

func newWorld(folder, program string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: folder, program: program, temp: temp, record: record, began: time.Now(),
		rng: &lockedRand{r: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))}, held: make(map[flowKey]*holding), sent: make(map[flowKey]time.Time), counts: make(map[string]int),
	}
	// A network of this run's own, 127.N.x.x, whose ports are free.
	for range 50 {
		w.network = byte(20 + w.rng.intN(200))
		base := uint16(7200 + 20*w.rng.intN(90))
		w.ports = ports{packets: base, ready: base + 1, control: base + 2, internal: base + 3, host: base + 19}
		if w.reserve() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports found")
}

// reserve takes the network for this run, by a listener that is kept until the run ends, and
// reports whether it was free. A free network alone is not enough: another run may start at the
// same moment.
func (w *world) reserve() bool {
	l, err := net.Listen("tcp", netip.AddrPortFrom(w.address(6, 1), metricsPort).String())
	if err != nil {
		return false
	}
	if w.isFree() {
		w.reserved = l
		return true
	}
	_ = l.Close()
	return false
}

func (w *world) isFree() bool {
	for _, at := range []netip.AddrPort{netip.AddrPortFrom(w.address(2, 1), w.ports.control), netip.AddrPortFrom(w.address(2, 1), metricsPort), netip.AddrPortFrom(w.address(1, 1), metricsPort)} {
		l, err := net.Listen("tcp", at.String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.address(1, 1), w.ports.packets)))
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// address returns a loopback address: kind 1 entries, 2 control, 3 hosts, 4 clients,
// 5 routes, 6 the reservation of the network.
func (w *world) address(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(kind), byte(i)})
}

func (w *world) route(i int) netip.AddrPort {
	return netip.AddrPortFrom(w.address(5, 1), uint16(8000+i))
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// count adds to a counter of the summary.
func (w *world) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// breakf records a broken rule.
func (w *world) breakf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	w.breaks = append(w.breaks, text)
	w.logLocked("BROKEN %s", text)
}

func (w *world) hold(key flowKey, h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held[key] = &holding{host: h, openedAt: time.Now(), usedAt: time.Now()}
}

// recordSent records when a client sends the first copy of an opening packet.
func (w *world) recordSent(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[key] = time.Now()
}

func (w *world) sentAt(key flowKey) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[key]
}

func (w *world) use(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := w.held[key]; f != nil {
		f.usedAt = time.Now()
	}
}

func (w *world) release(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.held, key)
}

// judgeReset applies the rule FLOW (a) to a reset of the system's own. The flow must be open at
// a host that lives and was not disturbed, nor were the machines, in the last contact-ms.
func (w *world) judgeReset(key flowKey) {
	w.mu.Lock()
	f := w.held[key]
	w.mu.Unlock()
	if f == nil {
		return
	}
	h, now := f.host, time.Now()
	if !h.isAlive() || now.Sub(h.disturbedAt()) < contact || now.Sub(f.openedAt) > time.Minute || now.Sub(f.usedAt) > 15*time.Second {
		w.logf("reset of an open flow of %s, excused: host disturbed %.1f s ago", h.id, now.Sub(h.disturbedAt()).Seconds())
		return
	}
	w.breakf("FLOW (a): client %s gets a reset that host %s did not send; the host lives, holds the flow, and was last disturbed %.1f s ago",
		key.client, h.id, now.Sub(h.disturbedAt()).Seconds())
}

// finish writes the summary and returns the exit code.
func (w *world) finish() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range sortedKeys(w.counts) {
		w.logLocked("count %s: %d", name, w.counts[name])
	}
	w.logLocked("broken rules: %d", len(w.breaks))
	_ = w.record.Close()
	fmt.Printf("broken rules: %d; see record.txt\n", len(w.breaks))
	if len(w.breaks) > 0 {
		return 1
	}
	return 0
}
