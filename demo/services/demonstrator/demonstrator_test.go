package demonstrator_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/services/demonstrator"
)

const (
	testTimeout = 12 * time.Minute
	// changeLimit is the time within which a change must take effect everywhere.
	changeLimit     = 3 * time.Second
	observationTime = 2 * time.Second
)

// programs is the folder with the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs once for all tests.
func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "redwingledge")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	const prefix = "github.com/redwingledge/redwingledge/"
	build := exec.Command("go", "build", "-o", folder, prefix+"control/cmd/control", prefix+"entry/cmd/entry", prefix+"gateway/cmd/gateway", prefix+"rwctl/cmd/rwctl")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	programs = folder
	return m.Run()
}

// start runs a system with the given number of entries and its backend servers.
func start(t testing.TB, entries int) (context.Context, *demonstrator.System) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	folder := t.TempDir()
	system, err := demonstrator.Start(ctx, demonstrator.Settings{Programs: programs, Folder: folder, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(func() {
		stop, cancelStop := context.WithTimeout(context.Background(), time.Minute)
		defer cancelStop()
		if err := system.CheckReadiness(stop); err != nil {
			t.Errorf("readiness: %v", err)
		}
		if err := system.Stop(stop); err != nil {
			t.Errorf("stop: %v", err)
		}
		if t.Failed() {
			logProcesses(t, folder)
		}
	})
	require.NoError(t, system.Prepare(ctx, entries, func(string) {}))
	return ctx, system
}

func logProcesses(t testing.TB, folder string) {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	require.NoError(t, err)
	for _, log := range logs {
		content, err := os.ReadFile(log)
		require.NoError(t, err)
		t.Logf("%s:\n%s", filepath.Base(log), content)
	}
}

// requireNoFailures asserts that no flow failed and that requests were answered.
func requireNoFailures(t *testing.T, loads demonstrator.FlowLoads) {
	t.Helper()
	requests, failures := loads.Finish()
	require.NoError(t, failures)
	require.Positive(t, requests)
	t.Logf("%d requests were answered", requests)
}

func pause(t *testing.T, d time.Duration) {
	t.Helper()
	time.Sleep(d)
}

// Guards against flows that break during a drain or the planned restart of an entry, and
// against new flows to a drained backend server, with separate processes.
func TestDrainAndRestart(t *testing.T) {
	ctx, system := start(t, 3)
	require.NoError(t, system.Demonstrate(ctx, func(text string) { t.Log(text) }))
}

// Guards against flows that break when backend servers of several services drain and another
// entry joins at the same time.
func TestConcurrentChanges(t *testing.T) {
	ctx, system := start(t, 2)
	loads, err := system.OpenAll(ctx, 21000)
	require.NoError(t, err)
	for _, server := range []string{"sack-orders/host-1", "manifest-desk/host-2", "allotments/host-3"} {
		require.NoError(t, system.Change(ctx, func(string) {}, "drain", server))
	}
	require.NoError(t, system.StartEntry(ctx, "entry-3", "kano-a"))
	pause(t, changeLimit)
	requireNoFailures(t, loads)
}

// Guards against an entry that resumes after a freeze and places flows with its outdated view.
// Flows opened during the freeze must survive.
func TestFrozenEntry(t *testing.T) {
	ctx, system := start(t, 3)
	loads, err := system.OpenAll(ctx, 22000)
	require.NoError(t, err)
	require.NoError(t, system.SignalEntry("entry-2", syscall.SIGSTOP))
	require.NoError(t, system.Change(ctx, func(string) {}, "drain", "sack-orders/host-1"))
	pause(t, changeLimit)
	later, err := system.OpenAll(ctx, 23000)
	require.NoError(t, err)
	require.NoError(t, system.SignalEntry("entry-2", syscall.SIGCONT))
	pause(t, changeLimit)
	requireNoFailures(t, append(loads, later...))
}

// Guards against flows that break when the machine runs none of the entries for a while, and
// against flows that cannot be opened afterwards.
func TestAllEntriesFrozen(t *testing.T) {
	ctx, system := start(t, 2)
	loads, err := system.OpenAll(ctx, 26000)
	require.NoError(t, err)
	for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		for _, name := range system.EntryNames() {
			require.NoError(t, system.SignalEntry(name, signal))
		}
		pause(t, observationTime)
	}
	later, err := system.OpenAll(ctx, 27000)
	require.NoError(t, err)
	requireNoFailures(t, append(loads, later...))
}

// Guards against flows that break when an entry is killed.
func TestKilledEntry(t *testing.T) {
	ctx, system := start(t, 3)
	loads, err := system.OpenAll(ctx, 24000)
	require.NoError(t, err)
	require.NoError(t, system.KillEntry("entry-1"))
	pause(t, observationTime)
	requireNoFailures(t, loads)
}

// Guards against a gateway whose announcement is not used by entries, orders that run twice
// when they are sent twice, and backend servers that run more requests than they have slots.
func TestGateway(t *testing.T) {
	ctx, system := start(t, 2)
	require.NoError(t, system.StartGateway(ctx))
	require.NoError(t, system.ConnectToGateway(ctx, func(text string) { t.Log(text) }))
	require.NoError(t, system.SendOrders(ctx, func(text string) { t.Log(text) }))
}
