package storer

import (
	"bytes"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func open(t *testing.T, folder string) (*Store, *State) {
	t.Helper()
	store, state, err := Open(Settings{Folder: folder})
	require.NoError(t, err)
	t.Cleanup(func() { _ = store.Close() })
	return store, state
}

func entriesFrom(first, last, term uint64) []Entry {
	var list []Entry
	for i := first; i <= last; i++ {
		list = append(list, Entry{Index: i, Term: term, Kind: EntryCommand, Data: bytes.Repeat([]byte{byte(i)}, 1000)})
	}
	return list
}

// Guards against state that differs after a restart from what was saved.
func TestSaveAndReopen(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	store, state := open(t, folder)
	require.True(t, state.IsNew)
	id := state.Identity
	snapshot := &Snapshot{Index: 5, Term: 1, MembershipIndex: 1, Membership: Membership{Cluster: id}.With(Member{ID: id, Name: "a", Voter: true}), Data: bytes.Repeat([]byte("abc"), 50_000)}
	for _, batch := range []*Batch{
		{Vote: &Vote{Term: 3, Candidate: id}, Entries: entriesFrom(1, 9, 1)},
		{Snapshot: snapshot, CompactBefore: 4},
		{Entries: entriesFrom(8, 12, 2)},
	} {
		require.NoError(t, store.Save(batch))
	}
	require.NoError(t, store.Close())

	store, state = open(t, folder)
	require.Equal(t, &State{
		Identity: id, Vote: Vote{Term: 3, Candidate: id}, Snapshot: snapshot,
		Entries: append(entriesFrom(4, 7, 1), entriesFrom(8, 12, 2)...),
	}, state)
	require.NoError(t, store.Save(&Batch{Snapshot: &Snapshot{Index: 20, Term: 3}, Reset: true}))
	require.NoError(t, store.Save(&Batch{Entries: entriesFrom(21, 21, 3)}))
	require.NoError(t, store.Close())
	_, state = open(t, folder)
	require.Equal(t, entriesFrom(21, 21, 3), state.Entries)
	require.Equal(t, uint64(20), state.Snapshot.Index)
}

// Guards against two processes that open the same data file.
func TestLock(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	open(t, folder)
	_, _, err := Open(Settings{Folder: folder})
	require.True(t, IsErrLocked(err), "%v", err)
}

// Guards against writes that are acknowledged after one has failed, and against a
// full disk that loses data stored before.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	store, _, err := Open(Settings{Folder: folder, MaxSize: 1 << 20})
	require.NoError(t, err)
	stored := uint64(0)
	for err == nil {
		if err = store.Save(&Batch{Entries: entriesFrom(stored+1, stored+1, 1)}); err == nil {
			stored++
		}
	}
	require.True(t, IsErrDiskFull(err), "%v", err)
	require.True(t, IsErrStoreFailed(store.Save(&Batch{Vote: &Vote{Term: 1}})))
	require.NoError(t, store.Close())
	_, state := open(t, folder)
	require.Equal(t, entriesFrom(1, stored, 1), state.Entries)
}

// Guards against a corrupted file that is read as a shorter or different state.
// Damage to an unused page, or to the older meta page, may go undetected.
func TestDamage(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	store, _ := open(t, folder)
	require.NoError(t, store.Save(&Batch{Entries: entriesFrom(1, 200, 1), Snapshot: &Snapshot{Index: 3, Term: 1, Data: make([]byte, 100_000)}}))
	require.NoError(t, store.Close())
	_, want := open(t, folder)
	intact, err := os.ReadFile(filepath.Join(folder, fileName))
	require.NoError(t, err)

	detected := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		damaged := bytes.Clone(intact)
		if seed%2 == 0 {
			damaged = damaged[:1+rng.IntN(len(damaged)-1)]
		} else {
			offset := rng.IntN(len(damaged) - 512)
			for i := range 512 {
				damaged[offset+i] = byte(rng.Uint32())
			}
		}
		folder := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(folder, fileName), damaged, 0o600))
		store, state, err := Open(Settings{Folder: folder})
		if err != nil {
			require.Truef(t, IsErrDamaged(err), "seed %d: %v", seed, err)
			detected++
			continue
		}
		require.NoError(t, store.Close())
		want.IsNew = state.IsNew
		require.Equalf(t, want, state, "seed %d", seed)
	}
	require.Positive(t, detected)
	t.Logf("%d of 200 corruptions detected, the others did not change the state", detected)
}
