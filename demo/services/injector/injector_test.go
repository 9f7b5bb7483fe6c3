package injector_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/services/injector"
)

// sendRequests makes changes and reads the status until stop is closed.
func sendRequests(ctx context.Context, c *injector.Cluster, h *injector.History, client int, seed uint64, stop <-chan struct{}) error {
	random := rand.New(rand.NewPCG(seed, uint64(client)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return nil
		default:
		}
		began := time.Now()
		command := []string{"drain", "undrain"}[random.IntN(2)]
		id := fmt.Sprintf("%d-%d", client, i)
		created, err := c.SendOperatorRequest(ctx, id, command, fmt.Sprintf("manifest-desk/h%d", random.IntN(10)))
		if err != nil {
			return err
		}
		h.Add(client, began, injector.Call{Version: created.Version})
		if created.Refusal == nil {
			began = time.Now()
			answer, err := c.SendOperatorRequest(ctx, id+"-confirm", "confirm", created.Plan.ID)
			if err != nil {
				return err
			}
			call := injector.Call{Version: answer.Version}
			if answer.Refusal == nil {
				call.Plan, call.Base = created.Plan.ID, created.Plan.BaseVersion
			}
			h.Add(client, began, call)
		}
		began = time.Now()
		status, err := c.GetStatus(ctx)
		if err != nil {
			return err
		}
		h.Add(client, began, injector.Call{Version: status.Version, SeenPlan: status.LastChange.Plan})
	}
}

// Guards against versions that are lost, created twice, read stale or reverted while replicas
// are killed, frozen, partitioned or delayed, or lose their data.
func TestVersionsAreLinearizable(t *testing.T) {
	ctx, c := start(t)
	seed, random := newRandom(t)
	status, err := c.GetStatus(ctx)
	require.NoError(t, err)
	first := injector.Head{Version: status.Version, Plan: status.LastChange.Plan}
	var h injector.History
	const operators = 4
	stop, errs := make(chan struct{}), make([]error, operators)
	var running sync.WaitGroup
	for i := range operators {
		running.Go(func() { errs[i] = sendRequests(ctx, c, &h, i, seed, stop) })
	}
	var fault error
	kinds := append(random.Perm(5), random.Perm(5)...)
	for _, kind := range kinds {
		var description string
		if description, fault = c.InjectFault(ctx, kind, random); fault != nil {
			break
		}
		t.Log(description)
	}
	close(stop)
	running.Wait()
	require.NoError(t, fault)
	for _, err := range errs {
		require.NoError(t, err)
	}
	confirmed := 0
	for _, call := range h.Calls() {
		if call.Plan != "" {
			confirmed++
		}
	}
	t.Logf("%d calls, %d versions", len(h.Calls()), confirmed)
	require.Positive(t, confirmed)
	require.Empty(t, h.FindConflictingBases())
	require.True(t, h.IsLinearizable(first))
	status, err = c.GetStatus(ctx)
	require.NoError(t, err)
	require.Equal(t, first.Version+uint64(confirmed), status.Version)
	requireAudit(ctx, t, c)
}

// Guards against a linearizability checker that accepts wrong histories.
func TestNonLinearizableHistoriesAreRejected(t *testing.T) {
	t.Parallel()
	tests := map[string][]injector.Call{
		"two plans on one base": {{Plan: "a", Base: 1, Version: 2}, {Plan: "b", Base: 1, Version: 2}},
		"stale read":            {{Plan: "a", Base: 1, Version: 2}, {Version: 1}},
		"reverted":              {{Plan: "a", Base: 1, Version: 2}, {Version: 2, SeenPlan: "a"}, {Version: 1, SeenPlan: "first"}},
		"lost version":          {{Plan: "a", Base: 1, Version: 2}, {Plan: "b", Base: 2, Version: 3}, {Version: 2, SeenPlan: "a"}},
		"replaced silently":     {{Plan: "a", Base: 1, Version: 2}, {Version: 2, SeenPlan: "b"}},
		"skipped version":       {{Plan: "a", Base: 1, Version: 3}},
	}
	for name, calls := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var h injector.History
			for i, call := range calls {
				began := time.Now()
				time.Sleep(time.Millisecond)
				h.Add(i, began, call)
				time.Sleep(time.Millisecond)
			}
			require.False(t, h.IsLinearizable(injector.Head{Version: 1, Plan: "first"}))
			require.Equal(t, name == "two plans on one base", len(h.FindConflictingBases()) > 0)
		})
	}
	var h injector.History
	began := time.Now()
	h.Add(0, began, injector.Call{Version: 1, SeenPlan: "first"})
	h.Add(1, began, injector.Call{Plan: "a", Base: 1, Version: 2})
	require.True(t, h.IsLinearizable(injector.Head{Version: 1, Plan: "first"}))
}

// Guards against the loss of confirmed changes when all replicas restart.
func TestRestartsKeepConfirmedChanges(t *testing.T) {
	t.Parallel()
	ctx, c := start(t)
	_, random := newRandom(t)
	const changes, restarts = 300, 3
	drained := make(map[string]bool)
	for i := range changes {
		host := fmt.Sprintf("h%d", random.IntN(50))
		command := "drain"
		if drained[host] {
			command = "undrain"
		}
		require.Equal(t, uint64(i+2), change(ctx, t, c, fmt.Sprint(i), command, "manifest-desk/"+host))
		drained[host] = !drained[host]
		if i%(changes/restarts) != changes/restarts-1 {
			continue
		}
		names := restartAll(t, c)
		require.NoError(t, c.WaitConverged(ctx, names...))
		status, err := c.GetStatus(ctx)
		require.NoError(t, err)
		require.Equal(t, uint64(i+2), status.Version)
		got := make(map[string]bool)
		for _, id := range status.Drained {
			got[id.Host] = true
		}
		for host, isDrained := range drained {
			require.Equal(t, isDrained, got[host], host)
		}
	}
	requireAudit(ctx, t, c)
}

// restartAll kills all replicas before it starts the first one again.
func restartAll(t *testing.T, c *injector.Cluster) []string {
	t.Helper()
	names := make([]string, 0, len(c.Replicas))
	for _, r := range c.Replicas {
		r.Kill()
		names = append(names, r.Name)
	}
	for _, r := range c.Replicas {
		require.NoError(t, c.StartReplica(r, names, false))
	}
	return names
}

// Guards against a resent request that runs again, or gets another answer, after the leader
// that gave the first answer was killed.
func TestResendAfterLeaderChange(t *testing.T) {
	t.Parallel()
	ctx, c := start(t)
	created := plan(ctx, t, c, "plan", "drain", "manifest-desk/h1")
	confirmed, err := c.SendOperatorRequest(ctx, "confirm", "confirm", created.ID)
	require.NoError(t, err)
	require.Nil(t, confirmed.Refusal)
	before, err := c.GetStatus(ctx)
	require.NoError(t, err)
	c.Get(before.Replica).Kill()
	again, err := c.SendOperatorRequest(ctx, "confirm", "confirm", created.ID)
	require.NoError(t, err)
	require.Equal(t, confirmed, again)
	require.Equal(t, created, plan(ctx, t, c, "plan", "drain", "manifest-desk/h1"))
	after, err := c.GetStatus(ctx)
	require.NoError(t, err)
	require.NotEqual(t, before.Replica, after.Replica)
	require.Equal(t, before.AuditHead, after.AuditHead, "a resend must not add an audit line")
}

// Guards against a new replica that never joins, and against a replaced replica that stays a
// member, keeps leading or joins again. The replaced process keeps running with its old
// settings.
func TestReplacedReplicaLeaves(t *testing.T) {
	t.Parallel()
	for name, isLeader := range map[string]bool{"follower": false, "leader": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			replaceReplica(t, isLeader)
		})
	}
}

func replaceReplica(t *testing.T, isLeader bool) {
	t.Helper()
	ctx, c := start(t)
	status, err := c.GetStatus(ctx)
	require.NoError(t, err)
	old := slices.IndexFunc(c.Replicas, func(r *injector.Replica) bool { return (r.Name == status.Replica) == isLeader })
	var members []string
	for i, r := range c.Replicas {
		if i != old {
			members = append(members, r.Name)
		}
	}
	fresh, err := c.NewReplica()
	require.NoError(t, err)
	change(ctx, t, c, "replace", "replace-replica", c.Replicas[old].Name, fresh.Name, "--address", fresh.Address.String(),
		"--operator-address", fresh.Operator.String(), "--data-centre", "kano-a")
	members = append(members, fresh.Name)
	require.NoError(t, c.StartReplica(fresh, members, false))
	require.NoError(t, c.WaitConverged(ctx, members...))
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		for _, name := range members {
			require.Equal(t, len(members), readVars(ctx, t, c, name).Members, "the replaced replica joined again")
		}
	}
	c.Replicas[old].Kill()
	c.Get(members[0]).Kill()
	change(ctx, t, c, "later", "drain", "manifest-desk/h1")
}
