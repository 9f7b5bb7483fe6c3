package profiler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/bench/modules/sequencer"
	"github.com/redwingledge/redwingledge/bench/modules/tabulator"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
)

const (
	// gossipDelay is the least one-way delay of a message. A random part below 2 ms is added.
	gossipDelay = 4 * time.Millisecond
	// fetchTime stands for the time to fetch a configuration from a peer: a round trip with the
	// greatest one-way delay of 6 ms.
	fetchTime = 3 * gossipDelay
	// designNodes is the size from which there are 2 regions with 6 data centres.
	designNodes = 530
)

// cluster connects the membership state machines of entries by a simulated network.
type cluster struct {
	*sequencer.Sequencer
	rng        *rand.Rand
	members    []*member
	byAddress  map[netip.AddrPort]*member
	isCounting bool
	messages   int
	bytes      int
	cpuTime    time.Duration
}

type member struct {
	machine     *gossiper.Machine
	region      string
	liveMembers int
	version     uint64
	isFetching  bool
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{Sequencer: sequencer.New(), rng: rand.New(rand.NewPCG(seed, 5)), byAddress: make(map[netip.AddrPort]*member)}
	regions, dataCentres := 1, 4
	if size >= designNodes {
		regions, dataCentres = 2, 6
	}
	byRegion := make([][]netip.AddrPort, regions)
	for i := range size {
		byRegion[i%regions] = append(byRegion[i%regions], entryAddress(i))
	}
	for i := range size {
		settings := gossiper.Settings{
			Name: fmt.Sprintf("entry-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Region: fmt.Sprintf("region-%d", i%regions),
			Address: entryAddress(i), PacketAddress: entryAddress(i), Incarnation: uint64(c.Now().UnixMilli()), Seeds: byRegion[i%regions][:3],
		}
		m := &member{machine: gossiper.New(settings, rand.New(rand.NewPCG(c.rng.Uint64(), 2)), c.Now()), region: settings.Region}
		c.members = append(c.members, m)
		c.byAddress[settings.Address] = m
		if regions > 1 {
			c.step(m, gossiper.OtherRegionsChanged{Addresses: byRegion[1-i%regions]})
		}
		c.After(time.Duration(c.rng.Int64N(int64(gossiper.TickPeriod))), func() { c.tick(m) })
	}
	return c
}

func entryAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func (c *cluster) tick(m *member) {
	c.step(m, gossiper.Tick{})
	c.After(gossiper.TickPeriod, func() { c.tick(m) })
}

func (c *cluster) step(m *member, input gossiper.Input) {
	start := time.Now()
	outputs := m.machine.Step(c.Now(), input)
	if c.isCounting {
		c.cpuTime += time.Since(start)
	}
	for _, output := range outputs {
		switch out := output.(type) {
		case gossiper.Send:
			c.send(out)
		case gossiper.MembersChanged:
			m.liveMembers = len(out.Members)
		case gossiper.NewerVersionReported:
			c.fetch(m, out.Version)
		}
	}
}

func (c *cluster) fetch(m *member, version uint64) {
	if m.isFetching || version <= m.version {
		return
	}
	m.isFetching = true
	c.After(fetchTime, func() {
		m.isFetching = false
		c.setVersion(m, version)
	})
}

func (c *cluster) setVersion(m *member, version uint64) {
	m.version = max(m.version, version)
	c.step(m, gossiper.VersionChanged{Version: version})
}

func (c *cluster) send(out gossiper.Send) {
	if c.isCounting {
		data, err := cbor.Marshal(out.Envelope)
		if err != nil {
			panic(fmt.Sprintf("encode an envelope: %v", err)) // The state machines send only messages that encode.
		}
		c.messages++
		c.bytes += len(data) + gossiper.MessageOverhead
	}
	to := c.byAddress[out.To]
	if to == nil {
		return
	}
	envelope := out.Envelope
	delay := gossipDelay + time.Duration(c.rng.Int64N(int64(2*time.Millisecond)))
	c.After(delay, func() { c.step(to, gossiper.Received{Envelope: envelope}) })
}

// runUntil advances the virtual time in steps of 50 ms until done holds for all members, and
// returns the virtual time that it took, or limit.
func (c *cluster) runUntil(limit time.Duration, done func(m *member) bool) time.Duration {
	start := c.Now()
	for c.Now().Sub(start) < limit {
		isDone := true
		for _, m := range c.members {
			isDone = isDone && done(m)
		}
		if isDone {
			break
		}
		c.Run(50 * time.Millisecond)
	}
	return c.Now().Sub(start)
}

// measureMembership measures the traffic and processor time of idle entries, and the time that a
// configuration version needs to reach all of them.
func measureMembership(sizes []int, seed uint64) string {
	table := tabulator.Table{
		Title: "Membership and configuration versions",
		Columns: []string{
			"entries", "all see all after (s)", "idle B/s per entry", "idle messages/s per entry", "CPU per entry (µs per s)",
			"version everywhere, median of 5 (s)", "worst (s)", "more bytes per entry and change",
		},
	}
	for _, size := range sizes {
		c := newCluster(size, seed)
		regionSizes := make(map[string]int)
		for _, m := range c.members {
			regionSizes[m.region]++
		}
		convergence := c.runUntil(5*time.Minute, func(m *member) bool { return m.liveMembers == regionSizes[m.region] })
		c.Run(time.Minute)
		const seconds = 20
		idleBytes, idleMessages, idleMicros := c.measureTraffic(seconds * time.Second)
		var times []time.Duration
		extraBytes := 0.0
		for version := range uint64(5) {
			from := c.members[c.rng.IntN(size)]
			c.setVersion(from, version+1)
			c.isCounting, c.bytes = true, 0
			start := c.Now()
			times = append(times, c.runUntil(time.Minute, func(m *member) bool { return m.version == version+1 }))
			c.Run(10 * time.Second)
			extraBytes += (float64(c.bytes) - idleBytes*c.Now().Sub(start).Seconds()*float64(size)) / float64(size) / 5
			c.isCounting = false
		}
		slices.Sort(times)
		table.Add(size, convergence.Seconds(), idleBytes, idleMessages, idleMicros, times[len(times)/2].Seconds(), times[len(times)-1].Seconds(), extraBytes)
	}
	return table.String()
}

// measureTraffic runs for the time d and returns the means per entry and second of the bytes and
// messages sent and of the microseconds of processor time.
func (c *cluster) measureTraffic(d time.Duration) (bytes, messages, micros float64) {
	c.isCounting, c.bytes, c.messages, c.cpuTime = true, 0, 0, 0
	c.Run(d)
	c.isCounting = false
	entrySeconds := d.Seconds() * float64(len(c.members))
	return float64(c.bytes) / entrySeconds, float64(c.messages) / entrySeconds, float64(c.cpuTime.Microseconds()) / entrySeconds
}
