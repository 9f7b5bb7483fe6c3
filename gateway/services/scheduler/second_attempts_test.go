package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/hedger"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
)

// Guards against a second attempt on a free slot while a request at another gateway waits for one.
func TestSecondSlot(t *testing.T) {
	t.Parallel()
	for _, isContended := range []bool{false, true} {
		s := newSimulation(1, 2, newMachine)
		s.view.Gateways = s.view.Gateways[:3]
		settings := Settings{Self: "g2", Slots: granter.Settings{Lease: simLease}, Queues: queuer.Settings{PerClientAccount: 9, Total: 9}}
		m, answer := New(settings, rand.New(rand.NewPCG(1, 1))), messenger.GrantAnswer{}
		m.Step(s.now, ViewChanged{View: s.view})
		var started []Start
		for request := range uint64(2) {
			s.now = s.now.Add(grantRequestPeriod)
			item := queuer.Item{Request: request, Arrived: s.now, Deadline: s.now.Add(time.Second)}
			for _, out := range m.Step(s.now, RequestQueued{Service: "orders", Item: item}) {
				due := out.(SendGrantRequest)
				answer.Grants = []messenger.Grant{{ID: due.Request.Demands[0].ID, Slots: 1, Lease: time.Second, Contended: isContended}}
				out := m.Step(s.now, GrantAnswered{From: due.To, Sequence: due.Request.Sequence, Answer: answer})
				started = append(started, out[0].(Start))
			}
		}
		require.Len(t, started, 2)
		m.Step(s.now, SlotReturned{Slot: started[1].Slot, Result: leaseholder.ResultAnswered})
		out := m.Step(s.now, SecondSlotRequested{Request: 5, First: started[0].Slot.ID})
		if isContended {
			require.Equal(t, []Output{Withhold{Request: 5, Reason: hedger.ReasonRequestsWait}}, out)
		} else {
			require.Equal(t, []Output{Start{Request: 5, Slot: started[1].Slot}}, out)
		}
	}
}

// Guards against a second attempt that is withheld after a pause of the gateway although no owner was asked for a
// slot, and against one that waits for ever for an owner that does not answer.
func TestSecondSlotIsAskedForAfterPause(t *testing.T) {
	t.Parallel()
	for _, isAnswered := range []bool{true, false} {
		s := newSimulation(1, 2, newMachine)
		s.view.Gateways = s.view.Gateways[:3]
		settings := Settings{Self: "g2", Slots: granter.Settings{Lease: simLease}, Queues: queuer.Settings{PerClientAccount: 9, Total: 9}}
		m := New(settings, rand.New(rand.NewPCG(1, 1)))
		m.Step(s.now, ViewChanged{View: s.view})
		first := s.view.Backends[len(s.view.Backends)-1].ID
		m.lastGrantRequests = s.now
		require.Empty(t, m.Step(s.now, SecondSlotRequested{Request: 5, First: first}), "owners were asked less than grantRequestPeriod ago")
		s.now = s.now.Add(10 * secondSlotTimeout)
		var asked []SendGrantRequest
		for _, out := range m.Step(s.now, Tick{}) {
			require.NotEqual(t, Withhold{Request: 5, Reason: hedger.ReasonNoFreeSlot}, out)
			if request, ok := out.(SendGrantRequest); ok && len(request.Request.Demands) > 0 {
				asked = append(asked, request)
			}
		}
		require.NotEmpty(t, asked)
		if isAnswered {
			id := asked[0].Request.Demands[0].ID
			answer := messenger.GrantAnswer{Grants: []messenger.Grant{{ID: id, Slots: 1, Lease: time.Second}}}
			out := m.Step(s.now, GrantAnswered{From: asked[0].To, Sequence: asked[0].Request.Sequence, Answer: answer})
			require.Len(t, out, 1)
			require.Equal(t, id, out[0].(Start).Slot.ID)
			continue
		}
		s.now = s.now.Add(secondSlotTimeout)
		require.Contains(t, m.Step(s.now, Tick{}), Withhold{Request: 5, Reason: hedger.ReasonNoFreeSlot})
	}
}
