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
