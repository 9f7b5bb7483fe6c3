package driver

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// slowStore is a Store that takes delay, in nanoseconds, for each save. A change applies to the save in progress. It keeps
// nothing, so that no real disk adds to the time.
type slowStore struct{ delay atomic.Int64 }

func (s *slowStore) Save(*storer.Batch) error {
	for began := time.Now(); time.Since(began) < time.Duration(s.delay.Load()); {
		time.Sleep(time.Millisecond)
	}
	return nil
}

// startSlow starts three replicas with an election timeout that the machine keeps, and returns their stores.
func startSlow(t *testing.T) ([]*replica, []*slowStore) {
	t.Helper()
	peers, replicas, stores := newPeers(t, 3), make([]*replica, 3), make([]*slowStore, 3)
	for i := range peers {
		settings := settingsOf(peers, i)
		settings.ElectionTimeout = time.Second
		stores[i] = new(slowStore)
		replicas[i] = startOn(t, settings, storer.Settings{Folder: t.TempDir()}, new(counter), func(*storer.Store) Store { return stores[i] })
	}
	awaitVoters(t, replicas, 3)
	return replicas, stores
}

// Guards against a leader that is deposed, and against changes that are refused, because a disk takes longer than the
// election timeout for each save: heartbeats and their answers must not wait for it.
func TestSlowDiskKeepsLeader(t *testing.T) {
	t.Parallel()
	for name, isSlow := range map[string]func(isLeader bool) bool{
		"all disks":           func(bool) bool { return true },
		"disk of the leader":  func(isLeader bool) bool { return isLeader },
		"disks of the others": func(isLeader bool) bool { return !isLeader },
		"no disk, to compare": func(bool) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replicas, stores := startSlow(t)
			lead := awaitLeader(t, replicas)
			term := replicas[lead].Status().Term
			for i, s := range stores {
				if isSlow(i == lead) {
					s.delay.Store(int64(1200 * time.Millisecond))
				}
			}
			for range 3 {
				_, err := replicas[lead].Propose(t.Context(), []byte("command"))
				require.NoError(t, err)
			}
			require.Equal(t, term, replicas[lead].Status().Term)
			require.Equal(t, replicator.RoleLeader, replicas[lead].Status().Role)
		})
	}
}

// Guards against changes of unknown outcome that no log explains: the leader names the voters that have not stored them,
// and a replica reports its slow disk.
func TestLogNamesVotersThatChangesWaitFor(t *testing.T) {
	t.Parallel()
	replicas, stores := startSlow(t)
	lead := awaitLeader(t, replicas)
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(replicas, func(r *replica) bool { return r.Status().AppliedIndex != replicas[lead].Status().LastIndex })
	}, 10*time.Second, time.Millisecond)
	for i, s := range stores {
		if i != lead {
			s.delay.Store(int64(800 * time.Millisecond))
		}
	}
	_, err := replicas[lead].Propose(t.Context(), []byte("command"))
	require.NoError(t, err)
	lines := replicas[lead].logs.String()
	last := replicas[lead].Status().CommitIndex
	require.Contains(t, lines, "changes wait for a majority of the voters")
	require.Contains(t, lines, fmt.Sprintf("r%d stored up to %d", lead, last))
	for i := range replicas {
		if i != lead {
			require.Contains(t, lines, fmt.Sprintf("r%d stored up to %d, as of", i, last-1))
		}
	}
	require.Eventually(t, func() bool {
		return strings.Contains(replicas[lead].logs.String(), "changes are committed again") && slices.ContainsFunc(replicas, func(r *replica) bool {
			return r != replicas[lead] && strings.Contains(r.logs.String(), "disk took long to store the log")
		})
	}, 10*time.Second, time.Millisecond)
}

// Guards against a leader whose disk has stopped and that nobody replaces, as its heartbeats go on.
func TestStoppedDiskCostsLeadership(t *testing.T) {
	t.Parallel()
	replicas, stores := startSlow(t)
	lead := awaitLeader(t, replicas)
	stores[lead].delay.Store(int64(time.Minute))
	t.Cleanup(func() { stores[lead].delay.Store(0) })
	stopped := time.Now()
	go func() { _, _ = replicas[lead].Propose(t.Context(), []byte("lost")) }()
	others := append(append([]*replica(nil), replicas[:lead]...), replicas[lead+1:]...)
	require.Eventually(t, func() bool { return leaderOf(others) >= 0 }, 10*time.Second, 5*time.Millisecond)
	t.Logf("another replica leads after %s", time.Since(stopped).Round(time.Millisecond))
	_, err := others[leaderOf(others)].Propose(t.Context(), []byte("command"))
	require.NoError(t, err)
	require.NotEqual(t, replicator.RoleLeader, replicas[lead].Status().Role)
}

// failingStore is a Store whose slow saves fail.
type failingStore struct{ slowStore }

func (s *failingStore) Save(batch *storer.Batch) error {
	_ = s.slowStore.Save(batch)
	if s.delay.Load() > 0 {
		return errors.New("input/output error")
	}
	return nil
}

// Guards against a command that is acknowledged, or a replica that goes on, although the disk has failed after the
// replica had stopped to wait for it.
func TestSlowSaveThatFailsStopsReplica(t *testing.T) {
	t.Parallel()
	store := new(failingStore)
	applier := new(counter)
	r := startOn(t, settingsOf(newPeers(t, 1), 0), storer.Settings{Folder: t.TempDir()}, applier, func(*storer.Store) Store { return store })
	require.Eventually(t, func() bool { return r.Status().Role == replicator.RoleLeader && r.Status().HasQuorum }, 10*time.Second, 5*time.Millisecond)
	store.delay.Store(int64(100 * time.Millisecond))
	_, err := r.Propose(t.Context(), []byte("command"))
	require.True(t, replicator.IsErrOutcomeUnknown(err), "%v", err)
	require.ErrorContains(t, r.Status().Failed, "input/output error")
	require.Zero(t, applier.get())
}
