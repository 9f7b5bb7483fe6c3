package replicator

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowLinkCapacity is the number of messages that the driver queues for one replica.
const slowLinkCapacity = 256

// slowLink is the link to a replica that transmits one message after the other, as the driver does,
// and drops messages while its queue is full.
type slowLink struct {
	to                    string
	perMessage, perKibyte time.Duration
	// queued has the times at which the messages in the queue are transmitted.
	queued []time.Duration
}

// transmit returns the time until the message is transmitted, or false if it is dropped.
func (l *slowLink) transmit(now time.Duration, message Message) (time.Duration, bool) {
	l.queued = slices.DeleteFunc(l.queued, func(at time.Duration) bool { return at <= now })
	if len(l.queued) >= slowLinkCapacity {
		return 0, false
	}
	at := now
	if len(l.queued) > 0 {
		at = l.queued[len(l.queued)-1]
	}
	size := 0
	switch msg := message.(type) {
	case *AppendRequest:
		size = sizeOf(msg.Entries)
	case *SnapshotRequest:
		size = len(msg.Data)
	}
	at += l.perMessage + l.perKibyte*time.Duration(size)/1024
	l.queued = append(l.queued, at)
	return at - now, true
}

// Guards against a replica that lost its disk and never votes again, because the leader sends it
// more than its link transmits: the queue is always full, all answers come too late to count, and
// a second lost disk ends the cluster.
func TestReplicaBehindSlowLinkCatchesUp(t *testing.T) {
	t.Parallel()
	for name, link := range map[string]slowLink{
		"many messages":   {perMessage: 15 * time.Millisecond},
		"large snapshots": {perMessage: 3 * time.Millisecond, perKibyte: 4 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sim := newConfiguredSimulation(7, 3, mutation{}, func(s *Settings) { s.MaxAppendBytes = 64 << 10 })
			require.True(t, sim.waitForConvergence(10*time.Second), sim.describe())
			n := sim.follower()
			sim.kill(n)
			propose := func(period time.Duration) {
				for i := range int(period / tickPeriod) {
					lead := sim.leader()
					require.NotNil(t, lead, sim.describe())
					data := fmt.Sprintf(`{"Key":"k%d","Value":%q}`, i%20, strings.Repeat("a", 500))
					sim.step(lead, Propose{Now: sim.clock(lead), ID: 1 << 40, Command: []byte(data)})
					sim.run(tickPeriod)
				}
			}
			propose(3 * time.Second)
			n.disk = nil
			link.to = n.name
			sim.slowLink = &link
			sim.start(n)
			propose(10 * time.Second)
			lead := sim.leader()
			require.True(t, lead.machine.membership().IsVoter(n.disk.id), sim.describe())
			require.LessOrEqual(t, lead.machine.log.last()-n.machine.log.last(), uint64(maxLag), sim.describe())
			require.Empty(t, sim.violations)
		})
	}
}
