package planner

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// singleNode is a Proposer that commits at once. With loseAnswers set it commits
// the command and returns a timeout error instead of the answer.
type singleNode struct {
	mu          sync.Mutex
	machine     *Machine
	index       uint64
	loseAnswers bool
}

func (n *singleNode) Propose(_ context.Context, command []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.index++
	result := n.machine.Apply(n.index, command)
	if n.loseAnswers {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (n *singleNode) ReadBarrier(context.Context) error { return nil }

func (n *singleNode) Status() Status {
	return Status{Replica: "control-1", IsLeader: true, Leader: "control-1"}
}

var (
	amina = Identity{Name: "amina"} // confirmer
	bello = Identity{Name: "bello"} // planner
	chidi = Identity{Name: "chidi"} // confirmer
	dayo  = Identity{Name: "dayo"}  // viewer
)

type fixture struct {
	*Service
	t     *testing.T
	node  *singleNode
	clock *timer.Fake
}

// newFixture returns a service with the declaration of testdata in force.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	machine := NewMachine()
	f := &fixture{t: t, node: &singleNode{machine: machine}, clock: timer.NewFake(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))}
	f.Service = NewService(f.node, machine, f.clock, rand.NewChaCha8([32]byte{1}))
	answer := f.create(Identity{Name: "bootstrap", Bootstrap: true}, operator.Apply{Declaration: readDeclaration(t)})
	require.Nil(t, answer.Refusal)
	answer = f.confirm(Identity{Name: "bootstrap", Bootstrap: true}, answer.Plan.ID)
	require.Nil(t, answer.Refusal)
	return f
}

func readDeclaration(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/declaration.yaml")
	require.NoError(t, err)
	return text
}

var requestIDSource struct {
	sync.Mutex
	rand.PCG
}

func requestID() string {
	requestIDSource.Lock()
	defer requestIDSource.Unlock()
	id := make([]byte, 16)
	for i := range id {
		id[i] = 'a' + byte(requestIDSource.Uint64()%26)
	}
	return string(id)
}

func (f *fixture) create(identity Identity, intent operator.Intent) operator.PlanResponse {
	f.t.Helper()
	answer, err := f.CreatePlan(f.t.Context(), identity, operator.CreatePlanRequest{RequestID: requestID(), Intent: operator.Wrap(intent)})
	require.NoError(f.t, err)
	return answer
}

func (f *fixture) plan(identity Identity, intent operator.Intent) operator.Plan {
	f.t.Helper()
	answer := f.create(identity, intent)
	require.Nil(f.t, answer.Refusal, "%+v", answer.Refusal)
	return *answer.Plan
}

func (f *fixture) confirm(identity Identity, plan string) operator.PlanResponse {
	f.t.Helper()
	answer, err := f.ConfirmPlan(f.t.Context(), identity, operator.ConfirmPlanRequest{RequestID: requestID(), PlanID: plan})
	require.NoError(f.t, err)
	return answer
}

// report sends the load of three manifest-desk hosts from both entries.
func (f *fixture) report(flowsPerServer int64) {
	f.t.Helper()
	for _, entry := range []string{"entry-1", "entry-2"} {
		f.AddLoadReport(observer.Report{Reporter: entry, Period: 10 * time.Second, Servers: []observer.ServerLoad{
			serverLoad("host-1", "kano-a", flowsPerServer/2),
			serverLoad("host-2", "kano-a", flowsPerServer/2),
			serverLoad("host-3", "kano-b", flowsPerServer/2),
		}})
	}
}

func serverLoad(host, dataCentre string, flows int64) observer.ServerLoad {
	return observer.ServerLoad{
		ID: announcer.ID{Service: "manifest-desk", Host: host}, DataCentre: dataCentre, Ready: true,
		Slots: 2, Connections: 2000, Flows: flows, NewFlows: flows / 60,
	}
}

var drainHost1 = operator.Drain{ID: announcer.ID{Service: "manifest-desk", Host: "host-1"}}
