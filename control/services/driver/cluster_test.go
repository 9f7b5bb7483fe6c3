package driver

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver/reservertest"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// shortElectionTimeout is an election timeout that a busy machine may exceed, so
// that the leader changes and the outcome of a proposal is unknown.
const shortElectionTimeout = 300 * time.Millisecond

// counter is an Applier that adds up the sizes of commands.
type counter struct {
	mu    sync.Mutex
	total uint64
}

func (c *counter) Apply(_ uint64, command []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total += uint64(len(command))
	return binary.BigEndian.AppendUint64(nil, c.total), nil
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.BigEndian.AppendUint64(nil, c.total), nil
}

func (c *counter) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = binary.BigEndian.Uint64(snapshot)
	return nil
}

func (c *counter) get() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// replica is a Driver with its gRPC server, store and folder.
type replica struct {
	*Driver
	folder  string
	applier *counter
	store   *storer.Store
	server  *transporter.Server
	logs    *logBuffer
	stopped bool
}

// logBuffer keeps the log lines of a replica.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func (r *replica) stop() {
	if !r.stopped {
		r.stopped = true
		r.server.Stop()
		r.Stop()
		_ = r.store.Close()
	}
}

func settingsOf(peers []replicator.Peer, i int) replicator.Settings {
	s := replicator.DefaultSettings()
	s.Name, s.Address, s.Peers, s.Bootstrap = peers[i].Name, peers[i].Address, peers, true
	s.Heartbeat, s.ElectionTimeout, s.TrustDiskAfter = 20*time.Millisecond, shortElectionTimeout, 2*time.Second
	s.SnapshotEntries, s.KeepEntries = 50, 10
	return s
}

func start(t testing.TB, settings replicator.Settings, storage storer.Settings) *replica {
	t.Helper()
	applier := new(counter)
	r := startWith(t, settings, storage, applier)
	r.applier = applier
	return r
}

func startWith(t testing.TB, settings replicator.Settings, storage storer.Settings, applier replicator.Applier) *replica {
	t.Helper()
	return startOn(t, settings, storage, applier, func(s *storer.Store) Store { return s })
}

// startOn starts a replica that saves through the Store that wrap returns.
func startOn(t testing.TB, settings replicator.Settings, storage storer.Settings, applier replicator.Applier, wrap func(*storer.Store) Store) *replica {
	t.Helper()
	store, state, err := storer.Open(storage)
	require.NoError(t, err)
	r := &replica{folder: storage.Folder, store: store, logs: new(logBuffer)}
	r.Driver, err = New(Options{
		Settings: settings, Store: wrap(store), State: state, Applier: applier,
		Timer: timer.NewSystem(), Counters: reporter.NewCounters(), Logger: slog.New(slog.NewTextHandler(r.logs, nil)),
	})
	require.NoError(t, err)
	r.server, err = transporter.Listen(settings.Address, nil, r.Service())
	require.NoError(t, err)
	go func() { _ = r.server.Serve() }()
	r.Start()
	t.Cleanup(r.stop)
	return r
}

func newPeers(t testing.TB, n int) []replicator.Peer {
	t.Helper()
	peers := make([]replicator.Peer, n)
	for i, address := range reservertest.Addresses(t, n) {
		peers[i] = replicator.Peer{Name: fmt.Sprint("r", i), Address: address}
	}
	return peers
}

func startThree(t testing.TB, election time.Duration) ([]replicator.Peer, []*replica) {
	t.Helper()
	peers := newPeers(t, 3)
	replicas := make([]*replica, 3)
	for i := range peers {
		settings := settingsOf(peers, i)
		settings.ElectionTimeout = election
		replicas[i] = start(t, settings, storer.Settings{Folder: t.TempDir()})
	}
	awaitVoters(t, replicas, 3)
	return peers, replicas
}

func awaitVoters(t testing.TB, replicas []*replica, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, r := range replicas {
			if s := r.Status(); s.Membership.Voters() != n || s.Membership.IsJoint() || !s.Verified || s.Leader == "" || !s.Membership.IsVoter(s.ID) {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond)
}

// propose retries until a replica commits the command. If the leader changes meanwhile,
// a read shows whether the command was committed, as nothing else is proposed.
func propose(t testing.TB, replicas []*replica, command []byte) uint64 {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	var before uint64
	isUnknown := false
	for time.Now().Before(deadline) {
		for _, r := range replicas {
			if r.ReadBarrier(t.Context()) != nil {
				continue
			}
			total := r.applier.get()
			if isUnknown && total != before {
				return total
			}
			before = total
			result, err := r.Propose(t.Context(), command)
			if err == nil {
				return binary.BigEndian.Uint64(result)
			}
			isUnknown = replicator.IsErrOutcomeUnknown(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(t, "no replica commits the command")
	return 0
}

func leaderOf(replicas []*replica) int {
	for i, r := range replicas {
		if !r.stopped && r.Status().Role == replicator.RoleLeader {
			return i
		}
	}
	return -1
}

func awaitLeader(t testing.TB, replicas []*replica) int {
	t.Helper()
	require.Eventually(t, func() bool { return leaderOf(replicas) >= 0 }, 20*time.Second, time.Millisecond)
	return max(0, leaderOf(replicas))
}
