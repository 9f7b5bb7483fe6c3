package operators_test

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx/fxtest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/control/routers/operators"
	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/log"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// node is a stub Proposer. As leader it commits at once; as follower it refuses.
type node struct {
	mu       sync.Mutex
	machine  *planner.Machine
	index    uint64
	follower bool
}

func (n *node) Propose(_ context.Context, command []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.follower {
		return nil, planner.ErrNotLeader{Leader: "control-1"}
	}
	n.index++
	return n.machine.Apply(n.index, command), nil
}

func (n *node) ReadBarrier(context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.follower {
		return planner.ErrNotLeader{Leader: "control-1"}
	}
	return nil
}

func (n *node) Status() planner.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return planner.Status{Replica: "control-1", IsLeader: !n.follower, Leader: "control-1"}
}

func (n *node) setFollower(follower bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.follower = follower
}

func hashOf(token string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(token))) }

func declaration() []byte {
	return []byte(strings.NewReplacer("AMINA", hashOf("amina's token"), "DAYO", hashOf("dayo's token")).Replace(`
data_centres: [{name: kano-a, region: ng-north}]
services: [{name: manifest-desk, addresses: ["192.0.2.10:443"]}]
entries: [{name: entry-1, data_centre: kano-a, address: "127.0.0.1:7101"}]
control: [{name: control-1, data_centre: kano-a, address: "127.0.0.1:7301", operator_address: "127.0.0.1:7311"}]
operators:
  - {name: amina, role: confirmer, token_sha256: AMINA}
  - {name: dayo, role: viewer, token_sha256: DAYO}
`))
}

type fixture struct {
	t       *testing.T
	node    *node
	address netip.AddrPort
	pool    *transporter.Pool

	lifecycle *fxtest.Lifecycle
	counters  *reporter.Counters
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	n := &node{machine: planner.NewMachine()}
	service := planner.NewService(n, n.machine, timer.NewSystem(), rand.Reader)
	settings := operators.Settings{OperatorAddress: netip.MustParseAddrPort("127.0.0.1:0"), BootstrapTokenSHA256: hashOf("first")}
	f := &fixture{t: t, node: n, pool: transporter.NewPool(nil), lifecycle: fxtest.NewLifecycle(t), counters: reporter.NewCounters()}
	router := operators.New(service, settings, false, f.counters, log.Discard())
	server, err := operators.Start(f.lifecycle, router, nil, timer.NewSystem())
	require.NoError(t, err)
	f.address = netip.MustParseAddrPort(server.Addr())
	t.Cleanup(f.pool.Close)
	f.lifecycle.RequireStart()
	t.Cleanup(func() { require.NoError(t, f.lifecycle.Stop(context.Background())) })
	return f
}

// call sends a request with a token, or without one for "".
func call[Req, Resp any](f *fixture, token, method string, req Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	if token != "" {
		ctx = transporter.WithBearerToken(ctx, token)
	}
	return transporter.Call[Req, Resp](ctx, f.pool, f.address, method, &req)
}

func (f *fixture) create(token, id string, intent operator.Intent) operator.PlanResponse {
	f.t.Helper()
	answer, err := call[operator.CreatePlanRequest, operator.PlanResponse](f, token, operator.MethodCreatePlan, operator.CreatePlanRequest{RequestID: id, Intent: operator.Wrap(intent)})
	require.NoError(f.t, err)
	return *answer
}

func (f *fixture) confirm(token, id, plan string) operator.PlanResponse {
	f.t.Helper()
	answer, err := call[operator.ConfirmPlanRequest, operator.PlanResponse](f, token, operator.MethodConfirmPlan, operator.ConfirmPlanRequest{RequestID: id, PlanID: plan})
	require.NoError(f.t, err)
	return *answer
}

// bootstrap applies the first declaration.
func (f *fixture) bootstrap() operator.PlanResponse {
	f.t.Helper()
	answer := f.create("first", "b1", operator.Apply{Declaration: declaration()})
	require.Nil(f.t, answer.Refusal)
	answer = f.confirm("first", "b2", answer.Plan.ID)
	require.Nil(f.t, answer.Refusal)
	return answer
}

func (f *fixture) lastAuditText() string {
	f.t.Helper()
	_, head, err := f.node.machine.ListAudit(0, 0)
	require.NoError(f.t, err)
	lines, _, err := f.node.machine.ListAudit(head.Sequence-1, 1)
	require.NoError(f.t, err)
	return lines[0].Text
}

var drain = operator.Drain{ID: announcer.ID{Service: "manifest-desk", Host: "h1"}}

// Guards against a bootstrap token that stays valid after the first declaration, and
// against a resend of its last request that no longer gets the first answer.
func TestBootstrapEndsWithTheFirstDeclaration(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	first := f.bootstrap()
	require.Equal(t, first, f.confirm("first", "b2", first.Plan.ID), "a resend gets the first answer")
	answer := f.create("first", "b3", drain)
	require.Equal(t, operator.ReasonRole, answer.Refusal.Reason)
	require.Contains(t, f.lastAuditText(), "no longer valid")
	require.Nil(t, f.create("amina's token", "c1", drain).Refusal)
}

// Guards against unauthenticated callers that read or change anything, and against
// refusals that are not recorded in the audit trail.
func TestUnauthenticatedCallers(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	tests := map[string]func(token string) error{
		"create": func(token string) error {
			return callError[operator.CreatePlanRequest, operator.PlanResponse](f, token, operator.MethodCreatePlan)
		},
		"confirm": func(token string) error {
			return callError[operator.ConfirmPlanRequest, operator.PlanResponse](f, token, operator.MethodConfirmPlan)
		},
		"status": func(token string) error {
			return callError[operator.GetStatusRequest, operator.Status](f, token, operator.MethodGetStatus)
		},
		"plans": func(token string) error {
			return callError[operator.ListPlansRequest, operator.PlanList](f, token, operator.MethodListPlans)
		},
		"audit": func(token string) error {
			return callError[operator.ListAuditRequest, operator.AuditPage](f, token, operator.MethodListAudit)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			for token, want := range map[string]string{"": "neither a bearer token", "wrong": "belongs to no operator"} {
				_, before, err := f.node.machine.ListAudit(0, 0)
				require.NoError(t, err)
				require.Equal(t, codes.Unauthenticated, status.Code(run(token)))
				require.Contains(t, f.lastAuditText(), want)
				_, after, err := f.node.machine.ListAudit(0, 0)
				require.NoError(t, err)
				require.Equal(t, before.Sequence+1, after.Sequence)
			}
		})
	}
	for range 200 {
		require.Error(t, tests["status"]("wrong"))
	}
	_, head, err := f.node.machine.ListAudit(0, 0)
	require.NoError(t, err)
	require.Less(t, head.Sequence, uint64(100), "a flood of refusals must not fill the audit trail")
	require.NoError(t, callError[operator.GetStatusRequest, operator.Status](f, "dayo's token", operator.MethodGetStatus))
	require.Equal(t, operator.ReasonRole, f.create("dayo's token", "x", drain).Refusal.Reason)
}

func callError[Req, Resp any](f *fixture, token, method string) error {
	var req Req
	_, err := call[Req, Resp](f, token, method, req)
	return err
}

// Guards against a follower that answers from an outdated state, or without the address
// of the leader.
func TestFollowerNamesTheLeader(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	f.node.setFollower(true)
	leader := netip.MustParseAddrPort("127.0.0.1:7311")
	require.Equal(t, operator.Redirect{NotLeader: true, Leader: leader}, f.create("amina's token", "c1", drain).Redirect)
	require.Equal(t, leader, f.confirm("amina's token", "c2", "x").Leader)
	state, err := call[operator.GetStatusRequest, operator.Status](f, "amina's token", operator.MethodGetStatus, operator.GetStatusRequest{})
	require.NoError(t, err)
	require.True(t, state.NotLeader)
	answer, err := call[observer.Report, observer.ReportResponse](f, "", observer.MethodReport, observer.Report{Reporter: "entry-1"})
	require.NoError(t, err)
	require.Equal(t, leader, answer.Leader)
	fetched, err := call[operator.FetchRequest, operator.FetchResponse](f, "", operator.MethodFetch, operator.FetchRequest{})
	require.NoError(t, err)
	require.Equal(t, uint64(1), fetched.Catalog.Version, "any replica serves the configuration")
}

// Guards against long polls that miss a change, return early, or never return.
func TestLongPolls(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	fetch := func(known uint64, wait time.Duration) *operator.FetchResponse {
		answer, err := call[operator.FetchRequest, operator.FetchResponse](f, "", operator.MethodFetch, operator.FetchRequest{Known: known, Wait: wait})
		require.NoError(t, err)
		return answer
	}
	require.Equal(t, uint64(1), fetch(0, time.Hour).Catalog.Version)
	require.Nil(t, fetch(1, 10*time.Millisecond).Catalog)
	require.Nil(t, fetch(9, 0).Catalog, "an older version must not be served")
	answers := make(chan *operator.FetchResponse, 1)
	go func() { answers <- fetch(1, 15*time.Second) }()
	plan := f.create("amina's token", "c1", drain).Plan
	select {
	case <-answers:
		t.Fatal("a plan alone is not a new version")
	case <-time.After(50 * time.Millisecond):
	}
	require.Nil(t, f.confirm("amina's token", "c2", plan.ID).Refusal)
	answer := <-answers
	require.True(t, answer.Catalog.IsDrained(drain.ID))
	state, err := call[operator.GetStatusRequest, operator.Status](f, "dayo's token", operator.MethodGetStatus, operator.GetStatusRequest{Known: 1, Wait: 15 * time.Second})
	require.NoError(t, err)
	require.Equal(t, uint64(2), state.Version)
	require.Equal(t, "drain manifest-desk/h1", state.LastChange.Summary)

	go func() { answers <- fetch(2, operator.MaxWait) }()
	require.Eventually(t, func() bool { return f.counters.Int("configuration_fetches").Value() == 5 }, 10*time.Second, time.Millisecond)
	stopped := time.Now()
	require.NoError(t, f.lifecycle.Stop(t.Context()))
	require.Nil(t, (<-answers).Catalog)
	require.Less(t, time.Since(stopped), operator.MaxWait/2, "a stop must not wait for long polls")
}

// Guards against reported load that is missing from the text of a plan.
func TestReportsReachThePlan(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	answer, err := call[observer.Report, observer.ReportResponse](f, "", observer.MethodReport, observer.Report{
		Reporter: "entry-1", Period: time.Second,
		Servers: []observer.ServerLoad{{ID: drain.ID, DataCentre: "kano-a", Ready: true, Connections: 10, Slots: 2, Flows: 1234}},
	})
	require.NoError(t, err)
	require.Positive(t, answer.Interval)
	require.Contains(t, f.create("amina's token", "c1", drain).Plan.Text(), "1,234 flows on manifest-desk/h1")
}

// Guards against plans that stay open because no replica closes them.
func TestRunExpiry(t *testing.T) {
	t.Parallel()
	n, clock := &node{machine: planner.NewMachine()}, timer.NewFake(time.Unix(0, 0))
	service := planner.NewService(n, n.machine, clock, rand.Reader)
	router := operators.New(service, operators.Settings{}, false, reporter.NewCounters(), log.Discard())
	answer, err := service.CreatePlan(t.Context(), planner.Identity{Bootstrap: true}, operator.CreatePlanRequest{
		RequestID: "r", Intent: operator.Wrap(operator.Apply{Declaration: declaration()}),
	})
	require.NoError(t, err)
	require.Nil(t, answer.Refusal)
	go router.RunExpiry(t.Context(), clock)
	require.Eventually(t, func() bool {
		clock.Advance(planner.PlanLifetime)
		return len(n.machine.Plans(false, 1)) == 0
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against a status that pairs a version with the change that made the next one.
func TestStatusPairsVersionWithItsChange(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.bootstrap()
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				status, err := call[operator.GetStatusRequest, operator.Status](f, "dayo's token", operator.MethodGetStatus, operator.GetStatusRequest{})
				if assert.NoError(t, err) {
					assert.Equal(t, status.Version, status.LastChange.Version)
				}
			}
		})
	}
	for i := range 60 {
		intents := []operator.Intent{drain, operator.Undrain{ID: drain.ID}}
		plan := f.create("amina's token", fmt.Sprint("create-", i), intents[i%2]).Plan
		require.Nil(t, f.confirm("amina's token", fmt.Sprint("confirm-", i), plan.ID).Refusal)
	}
	close(done)
	readers.Wait()
}
