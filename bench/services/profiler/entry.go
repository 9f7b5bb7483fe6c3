package profiler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/bench/modules/tabulator"
	"github.com/redwingledge/redwingledge/bench/services/simulator"
	"github.com/redwingledge/redwingledge/entry/models/tracker"
	"github.com/redwingledge/redwingledge/entry/services/allocator"
	"github.com/redwingledge/redwingledge/entry/services/placer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
)

// measureTables measures the time to build the placement table of one service, and its size.
func measureTables(sizes []int) string {
	table := tabulator.Table{Title: "Table of one service", Columns: []string{"backend servers", "ms per table", "bytes per table"}}
	for _, size := range sizes {
		backends := make([]allocator.Backend, size)
		for i := range backends {
			backends[i] = allocator.Backend{Index: uint32(i + 1), Hash: hasher.String(fmt.Sprintf("host-%d", i)), Weight: 16}
		}
		timePerTable := timePerCall(func() { allocator.Build(backends) })
		table.Add(size, timePerTable.Seconds()*1000, 4*allocator.Buckets)
	}
	return table.String()
}

// measureFlows measures the size of the flow cache, and the time of the decision about a packet of
// a cached flow.
func measureFlows(sizes []int) string {
	table := tabulator.Table{
		Title:   "Flow cache and packets of cached flows",
		Columns: []string{"flows", "MB", "bytes per flow", "ns per packet"},
	}
	for _, size := range sizes {
		bytes := tracker.NewCache(size, time.Now(), tracker.DefaultTimeouts).Bytes()
		table.Add(size, float64(bytes)/1e6, float64(bytes)/float64(size), float64(timePackets(size).Nanoseconds()))
	}
	return table.String()
}

func timePackets(flows int) time.Duration {
	d := specifier.Deployments()[0]
	now := time.Unix(1_700_000_000, 0)
	config := placer.DefaultConfig("entry-0", d.DataCentres[0])
	config.MaxFlows = flows
	m := placer.NewMachine(config, now)
	name := d.Services[0].Name
	m.Step(now, placer.CatalogChanged{Catalog: cataloger.Catalog{
		DataCentres: []cataloger.DataCentre{{Name: d.DataCentres[0]}},
		Services:    []cataloger.Service{{Name: name, Kind: cataloger.KindFlow, SprayScope: cataloger.SprayRegion}},
	}})
	var records []announcer.Record
	for i := range d.Services[0].Hosts {
		records = append(records, d.Record(name, i))
	}
	m.Step(now, placer.RecordsChanged{Changed: records})
	m.Step(now, placer.MembersChanged{Members: []placer.Member{{Name: "entry-0", DataCentre: d.DataCentres[0]}}})
	m.Step(now, placer.ViewSynchronized{})
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		m.Step(now, placer.Tick{})
	}
	index, _ := m.ServiceIndex(name)
	// The measured packets use the same seed again, and so the same flows.
	rng := rand.New(rand.NewPCG(1, 1))
	for range flows {
		m.Decide(now, placer.Packet{Flow: rng.Uint64(), Service: index, Flags: placer.FlagSYN})
	}
	const packets = 2_000_000
	rng = rand.New(rand.NewPCG(1, 1))
	start := time.Now()
	for i := range packets {
		if i%flows == 0 {
			rng = rand.New(rand.NewPCG(1, 1))
		}
		m.Decide(now, placer.Packet{Flow: rng.Uint64(), Service: index})
	}
	return time.Since(start) / packets
}

// measureDigests adds up the placement messages that one drained backend server of 14 makes entries
// send.
func measureDigests(entries, flows []int, seed uint64) string {
	table := tabulator.Table{
		Title:   "Placement messages of one drained backend server of 14, until settled",
		Columns: []string{"entries", "flows", "messages per entry", "KB per entry", "settled after (s)", "KB/s per entry meanwhile"},
	}
	add := func(c simulator.Cost) {
		after := fmt.Sprintf("%.0f", c.Settled.Seconds())
		if !c.IsSettled {
			after = "not within " + after
		}
		table.Add(c.Entries, c.Flows, c.Messages, c.Bytes/1000, after, c.Bytes/1000/c.Settled.Seconds())
	}
	d := specifier.Deployments()[0]
	for _, n := range entries {
		add(simulator.MeasureDrain(d, n, flows[0], seed))
	}
	for _, n := range flows[1:] {
		add(simulator.MeasureDrain(d, specifier.Entries, n, seed))
	}
	return table.String()
}
