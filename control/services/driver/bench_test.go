package driver

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// recentCommands is an Applier that keeps the newest 1,000 commands, as much state as a
// large configuration.
type recentCommands struct{ data []byte }

func (l *recentCommands) Apply(_ uint64, command []byte) ([]byte, error) {
	l.data = append(l.data, command...)
	if excess := len(l.data) - 1000*1024; excess > 0 {
		l.data = l.data[excess:]
	}
	return nil, nil
}
func (l *recentCommands) Snapshot() ([]byte, error)     { return slices.Clone(l.data), nil }
func (l *recentCommands) Restore(snapshot []byte) error { l.data = snapshot; return nil }

// BenchmarkReplicas reports the latency of proposals of 1 KiB, sequentially and with 32
// concurrent callers, with the default settings, and afterwards the file size and the
// start time of a replica. TMPDIR selects the disk to measure.
//
// Run: go test ./services/driver -run '^$' -bench Replicas -benchtime 1x -v.
func BenchmarkReplicas(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, count := range []int{1000, 10_000} {
			b.Run(fmt.Sprintf("replicas=%d/commands=%d", size, count), func(b *testing.B) {
				for b.Loop() {
					measureCluster(b, size, count)
				}
			})
		}
	}
}

func measureCluster(b *testing.B, size, count int) {
	peers := newPeers(b, size)
	replicas := make([]*replica, size)
	settings := make([]replicator.Settings, size)
	for i := range peers {
		settings[i] = replicator.DefaultSettings()
		settings[i].Name, settings[i].Address, settings[i].Peers, settings[i].Bootstrap = peers[i].Name, peers[i].Address, peers, true
		replicas[i] = startWith(b, settings[i], storer.Settings{Folder: b.TempDir()}, new(recentCommands))
	}
	awaitVoters(b, replicas, size)
	leader := replicas[leaderOf(replicas)]
	latencies := proposeMany(b, leader, count, 1)
	b.ReportMetric(float64(latencies[count/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(latencies[count*99/100].Microseconds())/1000, "p99-ms")
	began := time.Now()
	latencies = proposeMany(b, leader, count, 32)
	b.ReportMetric(float64(latencies[count*99/100].Microseconds())/1000, "p99-of-32-ms")
	b.ReportMetric(float64(count)/time.Since(began).Seconds(), "commands/s-of-32")
	info, err := os.Stat(filepath.Join(leader.folder, "control.db"))
	require.NoError(b, err)
	b.ReportMetric(float64(info.Size())/(1<<20), "file-MiB")
	for _, r := range replicas {
		r.stop()
	}
	began = time.Now()
	for i, r := range replicas {
		replicas[i] = startWith(b, settings[i], storer.Settings{Folder: r.folder}, new(recentCommands))
	}
	loaded := time.Since(began)
	for leaderOf(replicas) < 0 || replicas[leaderOf(replicas)].ReadBarrier(b.Context()) != nil {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(loaded.Microseconds())/1000/float64(size), "load-ms")
	b.ReportMetric(time.Since(began).Seconds(), "until-serving-s")
}

// proposeMany commits at least count commands from parallel callers and returns the
// sorted latencies.
func proposeMany(b *testing.B, leader *replica, count, parallel int) []time.Duration {
	var (
		mu        sync.Mutex
		wg        sync.WaitGroup
		latencies []time.Duration
	)
	for range parallel {
		wg.Go(func() {
			command := make([]byte, 1024)
			for {
				began := time.Now()
				if _, err := leader.Propose(b.Context(), command); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				latencies = append(latencies, time.Since(began))
				isDone := len(latencies) >= count
				mu.Unlock()
				if isDone {
					return
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies
}
