// Package profiler measures how the load of each role grows with the size of the system. It runs
// the state machines of the roles alone, without a network. Processor and storage times are wall
// time of one thread on the machine that runs it; all other times are virtual time, reproducible by
// seed.
package profiler

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Sizes are the sizes of the system to measure.
type Sizes struct {
	// Nodes are numbers of entries or gateways.
	Nodes []int
	// DigestEntries are numbers of entries, and DigestFlows numbers of flows, with which a backend
	// server is drained. The first number of flows is measured with each number of entries, and the
	// others with specifier.Entries entries.
	DigestEntries, DigestFlows []int
	// Hosts are numbers of backend servers of one service.
	Hosts []int
	// Flows are numbers of flows at one entry.
	Flows []int
	// Keys are numbers of claimed keys held by one gateway.
	Keys []int
	// Services are numbers of services in the configuration.
	Services []int
	// Changes are numbers of configuration changes to store. The first is measured with each number
	// of services, and the others with the first number of services.
	Changes []int
}

// DefaultSizes returns the sizes that docs/CAPACITY.md uses.
func DefaultSizes() Sizes {
	return Sizes{
		Nodes: []int{8, 32, 128, 530}, DigestEntries: []int{4, 8, 16, 32}, DigestFlows: []int{2000, 500, 1000, 4000, 8000},
		Hosts: []int{14, 128, 530, 3900}, Flows: []int{10_000, 100_000, 400_000, 1_000_000, 7_000_000},
		Keys: []int{1000, 10_000, 100_000, 300_000}, Services: []int{8, 32, 128, 530, 830}, Changes: []int{280, 1120, 2800},
	}
}

// Profile measures the roles and writes each Markdown table to w as soon as it is complete. The
// files of control are stored in folder, which must exist.
func Profile(w io.Writer, sizes Sizes, seed uint64, folder string) error {
	parts := []func() (string, error){
		func() (string, error) { return "# Slopes\n\n## Entry\n\n", nil },
		func() (string, error) { return measureTables(sizes.Hosts), nil },
		func() (string, error) { return measureFlows(sizes.Flows), nil },
		func() (string, error) { return measureDigests(sizes.DigestEntries, sizes.DigestFlows, seed), nil },
		func() (string, error) { return measureMembership(sizes.Nodes, seed), nil },
		func() (string, error) { return "## Gateway\n\n", nil },
		func() (string, error) { return measureClaims(sizes.Keys) },
		func() (string, error) { return measureGrants(sizes.Nodes, seed) },
		func() (string, error) { return "## Control\n\n", nil },
		func() (string, error) { return measureChanges(sizes.Services, sizes.Changes, folder) },
	}
	for _, part := range parts {
		text, err := part()
		if err != nil {
			return err
		}
		if _, err := io.WriteString(w, text); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
	}
	return nil
}

// timePerCall returns the mean duration of f over at least three calls and 200 ms, after one
// warm-up call.
func timePerCall(f func()) time.Duration {
	f()
	start := time.Now()
	for n := 1; ; n++ {
		f()
		if elapsed := time.Since(start); n >= 3 && elapsed > 200*time.Millisecond {
			return elapsed / time.Duration(n)
		}
	}
}

// heapInUse returns the bytes in use on the heap after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
