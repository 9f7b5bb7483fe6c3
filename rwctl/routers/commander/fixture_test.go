package commander

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/routers/operators"
	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// cluster is two control replicas that share one state machine. At most one is the leader.
type cluster struct {
	mu      sync.Mutex
	machine *planner.Machine
	index   uint64
	leader  int
	// answersToLose is the number of subsequent answers that are lost after the commit.
	answersToLose int
	addresses     [2]netip.AddrPort
}

// replica is one replica of the cluster. It implements the planner's Proposer.
type replica struct {
	*cluster
	number int
}

func (r replica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.number != r.leader {
		return nil, planner.ErrNotLeader{}
	}
	r.index++
	result := r.machine.Apply(r.index, command)
	if r.answersToLose > 0 {
		r.answersToLose--
		return nil, errors.New("the answer was lost")
	}
	return result, nil
}

func (r replica) ReadBarrier(context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.number != r.leader {
		return planner.ErrNotLeader{}
	}
	return nil
}

func (r replica) Status() planner.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := planner.Status{Replica: fmt.Sprint("control-", r.number), IsLeader: r.number == r.leader}
	if r.leader >= 0 {
		s.LeaderAddress = r.addresses[r.leader]
	}
	return s
}

func (c *cluster) configure(leader, answersToLose int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.answersToLose = leader, answersToLose
}

type fixture struct {
	t       *testing.T
	cluster *cluster
	dir     string
	// control is the value of --control.
	control string
	token   string
}

func hashOf(token string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(token))) }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	c := &cluster{machine: planner.NewMachine()}
	for i := range c.addresses {
		service := planner.NewService(replica{c, i}, c.machine, timer.NewSystem(), rand.Reader)
		router := operators.New(service, operators.Settings{BootstrapTokenSHA256: hashOf("first")}, false, reporter.NewCounters(), log.Discard())
		server, err := transporter.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, router.Services()...)
		require.NoError(t, err)
		go func() { _ = server.Serve() }()
		t.Cleanup(server.Stop)
		c.addresses[i] = netip.MustParseAddrPort(server.Addr())
	}
	f := &fixture{t: t, cluster: c, dir: t.TempDir(), control: c.addresses[0].String(), token: "first"}
	f.write("declaration.yaml", declaration("kano-a", "kano-b"))
	return f
}

func declaration(centres ...string) string {
	text := "data_centres:\n"
	for _, c := range centres {
		text += fmt.Sprintf("  - {name: %s, region: ng-north}\n", c)
	}
	return text + fmt.Sprintf(`services: [{name: manifest-desk, addresses: ["192.0.2.10:443"]}]
control: [{name: control-x, data_centre: kano-a, address: "127.0.0.1:1", operator_address: "127.0.0.1:2"}]
operators:
  - {name: amina, role: confirmer, token_sha256: %s}
  - {name: bello, role: planner, token_sha256: %s}
`, hashOf("amina"), hashOf("bello"))
}

func (f *fixture) write(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

type result struct {
	code           int
	stdout, stderr string
}

// run runs rwctl with the fixture's token.
func (f *fixture) run(args ...string) result {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	allArgs := append([]string{"--control", f.control, "--token-file", f.write("token", f.token+"\n")}, args...)
	code := Run(f.t.Context(), allArgs, &stdout, &stderr)
	return result{code, stdout.String(), stderr.String()}
}

// runSuccessfully runs rwctl, requires success and returns the output.
func (f *fixture) runSuccessfully(args ...string) string {
	f.t.Helper()
	r := f.run(args...)
	require.Equal(f.t, ExitSuccess, r.code, r.stdout+r.stderr)
	return r.stdout
}

// bootstrap applies the declaration with the bootstrap token and switches to the token of the
// confirmer amina.
func (f *fixture) bootstrap() {
	f.t.Helper()
	f.runSuccessfully("apply", filepath.Join(f.dir, "declaration.yaml"))
	f.runSuccessfully("confirm", f.openPlan())
	f.token = "amina"
}

// openPlan returns the id of the newest open plan.
func (f *fixture) openPlan() string {
	f.t.Helper()
	plans := f.cluster.machine.Plans(false, 1)
	require.Len(f.t, plans, 1)
	return plans[0].ID
}
