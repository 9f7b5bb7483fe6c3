package supervisor_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/control/services/supervisor"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// counter is an Applier that counts commands. It records when an index is applied twice or out of
// order.
type counter struct {
	mu        sync.Mutex
	count     uint64
	lastIndex uint64
	isWrong   bool
}

func (c *counter) Apply(index uint64, _ []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWrong = c.isWrong || index <= c.lastIndex
	c.lastIndex = index
	c.count++
	return nil, nil
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, c.count), c.lastIndex), nil
}

func (c *counter) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := binary.BigEndian.Uint64(snapshot[8:])
	c.isWrong = c.isWrong || index < c.lastIndex
	c.count, c.lastIndex = binary.BigEndian.Uint64(snapshot), index
	return nil
}

func (c *counter) get() (count uint64, isWrong bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.isWrong
}

// member is one supervised replica of a group.
type member struct {
	*supervisor.Supervisor
	applier *counter
	// maxSize is the size that its data file may have, in bytes; 0 means no limit.
	maxSize  atomic.Int64
	counters *reporter.Counters
}

// startGroup starts three replicas whose disks are full once their data files have the given sizes.
func startGroup(t *testing.T, snapshotEntries int, maxSizes [3]int64) []*member {
	t.Helper()
	var peers []replicator.Peer
	for i, address := range reservertest.Addresses(t, len(maxSizes)) {
		peers = append(peers, replicator.Peer{Name: fmt.Sprint("r", i), Address: address})
	}
	members := make([]*member, len(peers))
	for i, peer := range peers {
		m := &member{applier: new(counter), counters: reporter.NewCounters()}
		m.maxSize.Store(maxSizes[i])
		folder := t.TempDir()
		m.Supervisor = supervisor.New(supervisor.Options{
			Replication: func() replicator.Settings {
				s := replicator.DefaultSettings()
				s.Name, s.Address, s.Peers, s.Bootstrap = peer.Name, peer.Address, peers, true
				s.SnapshotEntries, s.SnapshotBytes, s.KeepEntries = snapshotEntries, 0, 10
				return s
			},
			Storage: func() storer.Settings { return storer.Settings{Folder: folder, MaxSize: m.maxSize.Load()} },
			Applier: m.applier, Timer: timer.NewSystem(), Counters: m.counters, Logger: log.Discard(),
		})
		server, err := transporter.Listen(peer.Address, nil, m.Service())
		require.NoError(t, err)
		go func() { _ = server.Serve() }()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
			server.Stop()
		})
		members[i] = m
	}
	require.Eventually(t, func() bool {
		for _, m := range members {
			if status := m.Status(); status.Membership.Voters() != len(members) || !status.Verified || !status.HasQuorum {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond)
	return members
}

// propose proposes a command at each replica until one commits it, for at most limit.
func propose(t *testing.T, members []*member, command []byte, limit time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, m := range members {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := m.Propose(ctx, command)
			cancel()
			if err == nil {
				return
			}
		}
	}
	require.FailNow(t, "no replica commits a command", "within %s", limit)
}

// requireEqual requires that all replicas reach the same state, in which no entry was applied twice.
func requireEqual(t *testing.T, members []*member) {
	t.Helper()
	require.Eventually(t, func() bool {
		first, _ := members[0].applier.get()
		for _, m := range members {
			if count, _ := m.applier.get(); count != first {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
	for _, m := range members {
		_, isWrong := m.applier.get()
		require.False(t, isWrong, "an entry was applied twice or the state went back")
	}
}

// Guards against replicas that stay closed after their disk was full for a moment. When that has
// happened to all of them, one after the other, changes would be refused for ever although all
// processes run.
func TestReplicasGoOnAfterFullDisksInTurn(t *testing.T) {
	t.Parallel()
	for name, snapshotEntries := range map[string]int{"without snapshots": 1_000_000, "with snapshots": 50} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			members := startGroup(t, snapshotEntries, [3]int64{1 << 17, 1 << 18, 1 << 19})
			propose(t, members, nil, 20*time.Second)
			for _, m := range members {
				reopened := m.counters.Int("replica_reopened")
				for range 300 {
					if reopened.Value() > 0 {
						break
					}
					propose(t, members, make([]byte, 10_000), 10*time.Second)
				}
				require.Positive(t, reopened.Value(), "the disk was never full")
				for range 10 {
					time.Sleep(150 * time.Millisecond)
					propose(t, members, make([]byte, 100), 10*time.Second)
				}
				m.maxSize.Store(0)
				propose(t, members, make([]byte, 100), 10*time.Second)
				requireEqual(t, members)
			}
			for range 20 {
				propose(t, members, nil, 5*time.Second)
			}
			requireEqual(t, members)
		})
	}
}
