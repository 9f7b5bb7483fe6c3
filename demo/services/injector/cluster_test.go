package injector_test

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/demo/services/injector"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// answerTimeout limits each wait for an answer. There is no limit for a whole test, because the
// time of hundreds of calls, each of which starts a process, depends on the load of the machine.
const answerTimeout = 30 * time.Second

var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the programs once, without the race detector.
func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "redwingledge")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	const prefix = "github.com/redwingledge/redwingledge/"
	build := exec.Command("go", "build", "-o", folder, prefix+"control/cmd/control", prefix+"rwctl/cmd/rwctl")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	programs = folder
	return m.Run()
}

func start(t *testing.T) (context.Context, *injector.Cluster) {
	t.Helper()
	ctx := t.Context()
	c, err := injector.Start(ctx, programs, t.TempDir())
	t.Cleanup(func() {
		c.Stop()
		for _, r := range c.Replicas {
			if content, err := os.ReadFile(c.Folder + "/" + r.Name + ".log"); err == nil && t.Failed() {
				t.Logf("%s:\n%s", r.Name, content)
			}
		}
	})
	require.NoError(t, err)
	return ctx, c
}

// newRandom logs the seed, which DISTURBER_SEED can set.
func newRandom(t *testing.T) (uint64, *rand.Rand) {
	t.Helper()
	seed := rand.Uint64()
	if s := os.Getenv("DISTURBER_SEED"); s != "" {
		var err error
		seed, err = strconv.ParseUint(s, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("DISTURBER_SEED=%d", seed)
	return seed, rand.New(rand.NewPCG(seed, 0))
}

// requireAudit asserts that the hash chain of the audit log is valid.
func requireAudit(ctx context.Context, t *testing.T, c *injector.Cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, _, err := c.Run(ctx, "audit", "--check")
	require.NoError(t, err)
}

func plan(ctx context.Context, t *testing.T, c *injector.Cluster, id string, args ...string) operator.Plan {
	t.Helper()
	answer, err := c.SendOperatorRequest(ctx, id, args...)
	require.NoError(t, err)
	require.Nil(t, answer.Refusal, "%+v", answer.Refusal)
	return *answer.Plan
}

// change creates a plan, confirms it and returns the new version.
func change(ctx context.Context, t *testing.T, c *injector.Cluster, id string, args ...string) uint64 {
	t.Helper()
	answer, err := c.SendOperatorRequest(ctx, id+"-confirm", "confirm", plan(ctx, t, c, id, args...).ID)
	require.NoError(t, err)
	require.Nil(t, answer.Refusal, "%+v", answer.Refusal)
	return answer.Version
}

// readVars repeats a read that is not answered in time, because a busy machine may run none of the
// processes for longer than one read may take. Other errors fail the test at once.
func readVars(ctx context.Context, t *testing.T, c *injector.Cluster, name string) injector.Vars {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	for {
		v, err := c.Get(name).Vars(ctx)
		if err == nil {
			return v
		}
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.NoError(t, ctx.Err(), "%s does not answer", name)
	}
}
