package driver

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/replicator"
)

// Guards against lost state when replicas restart, lose a disk, or stop right after a
// replica has recovered from a lost disk. Uses real sockets and files.
func TestReplicasSurviveFaults(t *testing.T) {
	t.Parallel()
	peers, replicas := startThree(t, shortElectionTimeout)
	total := uint64(0)
	add := func(n int) {
		for range n {
			total += 10
			require.Equal(t, total, propose(t, replicas, make([]byte, 10)))
		}
	}
	add(120)
	restart := func(i int, folder string) {
		replicas[i].stop()
		replicas[i] = start(t, settingsOf(peers, i), storer.Settings{Folder: folder})
	}
	for i := range replicas {
		restart(i, replicas[i].folder)
		awaitVoters(t, replicas, 3)
		add(5)
	}
	previousID := replicas[2].Status().ID
	restart(2, t.TempDir())
	awaitVoters(t, replicas, 3)
	require.NotEqual(t, previousID, replicas[2].Status().ID)
	replicas[0].stop()
	add(5)
	replicas[0] = start(t, settingsOf(peers, 0), storer.Settings{Folder: replicas[0].folder})
	awaitVoters(t, replicas, 3)
	for _, r := range replicas {
		require.Eventually(t, func() bool { return r.applier.get() == total }, 10*time.Second, 10*time.Millisecond)
	}
	replicas[awaitLeader(t, replicas)].TransferLeadership(t.Context())
	add(1)
	require.NoError(t, replicas[awaitLeader(t, replicas)].ReadBarrier(t.Context()))
	require.Eventually(t, func() bool {
		leader := awaitLeader(t, replicas)
		_, err := replicas[(leader+1)%3].Propose(t.Context(), nil)
		return errors.Is(err, replicator.ErrNotLeader{Leader: peers[leader].Name, Address: peers[leader].Address})
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against a planned stop that waits for an election timeout, or that does not
// transfer leadership to another replica.
func TestTransferLeadership(t *testing.T) {
	t.Parallel()
	_, replicas := startThree(t, 10*time.Second)
	leader := awaitLeader(t, replicas)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	replicas[leader].TransferLeadership(ctx)
	require.NoError(t, ctx.Err())
	require.Eventually(t, func() bool { return leaderOf(replicas) != leader && leaderOf(replicas) >= 0 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a leader that acknowledges commands without a majority, and against
// calls that do not return when their context ends.
func TestLeaderWithoutMajority(t *testing.T) {
	t.Parallel()
	_, replicas := startThree(t, 3*time.Second)
	leader := awaitLeader(t, replicas)
	for i, r := range replicas {
		if i != leader {
			r.stop()
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := replicas[leader].Propose(ctx, []byte("x"))
	require.True(t, replicator.IsErrOutcomeUnknown(err), "%v", err)
	require.Eventually(t, func() bool {
		_, err := replicas[leader].Propose(t.Context(), []byte("x"))
		return replicator.IsErrNoQuorum(err)
	}, 15*time.Second, 20*time.Millisecond)
	require.True(t, replicator.IsErrNoQuorum(replicas[leader].ReadBarrier(t.Context())))
	require.Zero(t, replicas[leader].applier.get())
}

// Guards against a replica that still acknowledges when its disk is full, and
// against a failure that loses acknowledged commands.
func TestFullDiskStopsReplica(t *testing.T) {
	t.Parallel()
	peers := newPeers(t, 1)
	settings := settingsOf(peers, 0)
	settings.SnapshotEntries = 1_000_000
	r := start(t, settings, storer.Settings{Folder: t.TempDir(), MaxSize: 2 << 20})
	acknowledged := propose(t, []*replica{r}, make([]byte, 100_000))
	var err error
	for err == nil {
		if _, err = r.Propose(t.Context(), make([]byte, 100_000)); err == nil {
			acknowledged += 100_000
		}
	}
	require.True(t, replicator.IsErrOutcomeUnknown(err), "%v", err)
	require.True(t, storer.IsErrDiskFull(r.Status().Failed), "%v", r.Status().Failed)
	_, err = r.Propose(t.Context(), []byte("x"))
	require.True(t, replicator.IsErrNoQuorum(err), "%v", err)
	r.stop()

	r = start(t, settings, storer.Settings{Folder: r.folder})
	require.Equal(t, acknowledged+1, propose(t, []*replica{r}, []byte("x")))
}

// Guards against a replica that votes, or counts towards a majority, after its disk was
// reset to an old image.
func TestOldImageIsNotTrusted(t *testing.T) {
	t.Parallel()
	peers, replicas := startThree(t, shortElectionTimeout)
	replicas[2].stop()
	image, err := os.ReadFile(filepath.Join(replicas[2].folder, "control.db"))
	require.NoError(t, err)
	replicas[2] = start(t, settingsOf(peers, 2), storer.Settings{Folder: replicas[2].folder})
	awaitVoters(t, replicas, 3)
	replicas[1].stop()
	total := propose(t, []*replica{replicas[0], replicas[2]}, make([]byte, 7))

	// The only copies of the command are on replica 0, which stops, and on the disk that
	// is reset to the old image. Without them, the other two must not elect a leader.
	replicas[0].stop()
	replicas[2].stop()
	require.NoError(t, os.WriteFile(filepath.Join(replicas[2].folder, "control.db"), image, 0o600))
	withoutTrust := settingsOf(peers, 2)
	withoutTrust.TrustDiskAfter = 0
	replicas[2] = start(t, withoutTrust, storer.Settings{Folder: replicas[2].folder})
	replicas[1] = start(t, settingsOf(peers, 1), storer.Settings{Folder: replicas[1].folder})
	time.Sleep(3 * time.Second)
	require.False(t, replicas[2].Status().Verified)
	require.Equal(t, -1, leaderOf(replicas))

	replicas[0] = start(t, settingsOf(peers, 0), storer.Settings{Folder: replicas[0].folder})
	awaitVoters(t, replicas, 3)
	require.Equal(t, total+1, propose(t, replicas, []byte("x")))
}

// Guards against a replica that votes again while its process ends: a planned stop asked for a replacement of its vote
// only until it was replaced once.
func TestStoppingReplicaDoesNotVoteAgain(t *testing.T) {
	t.Parallel()
	const election = time.Second
	peers := newPeers(t, 4)
	replicas := make([]*replica, len(peers))
	for i := range peers {
		settings := settingsOf(peers, i)
		settings.ElectionTimeout, settings.OpenMembership, settings.SkipVerification = election, true, true
		settings.MinVoters, settings.MaxVoters, settings.ReplaceSilentAfter = 3, 3, election/2
		replicas[i] = start(t, settings, storer.Settings{Folder: t.TempDir()})
	}
	require.Eventually(t, func() bool {
		return leaderOf(replicas) >= 0 && !slices.ContainsFunc(replicas, func(r *replica) bool {
			membership := r.Status().Membership
			return len(membership.Members) != 4 || membership.Voters() != 3
		})
	}, 20*time.Second, 10*time.Millisecond)
	leader := leaderOf(replicas)
	var followers []*replica
	for i, r := range replicas {
		if i != leader && replicas[leader].Status().Membership.IsVoter(r.Status().ID) {
			followers = append(followers, r)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	followers[0].PrepareStop(ctx)
	require.NoError(t, ctx.Err())
	followers[1].stop()
	stopping := followers[0].Status().ID
	// This goroutine polls, as require.Never returns while another one may still read the replicas.
	for end := time.Now().Add(3 * election); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if at := leaderOf(replicas); at >= 0 {
			require.False(t, replicas[at].Status().Membership.IsVoter(stopping))
		}
	}
}

// Guards against clusters of different tests that get the same address: the later one could not listen there.
func TestPeersHaveOwnAddresses(t *testing.T) {
	t.Parallel()
	seen := make(map[netip.AddrPort]bool)
	for range 100 {
		for _, peer := range newPeers(t, 3) {
			require.False(t, seen[peer.Address], "%s is used twice", peer.Address)
			seen[peer.Address] = true
		}
	}
}
