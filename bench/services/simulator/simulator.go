package simulator

import (
	"time"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// Result has the counts of one run.
type Result struct {
	Scenario string
	Flows    int
	Packets  int
	// Broken, Modulo and Rendezvous are the numbers of broken flows of redwingledge and of the
	// baselines.
	Broken, Modulo, Rendezvous int
	// WrongService counts the packets that reached a backend server of another service.
	WrongService int
	// Dropped and Lost are packets that no backend server received: an entry dropped them, or they
	// were relayed to an entry that was down.
	Dropped, Lost int
}

// Scenario is a set of changes to a deployment while flows are open.
type Scenario struct {
	Name  string
	start func(n *network)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"2 entries restart", restartEntries},
		{"an entry dies", func(n *network) { n.crashEntry(n.randomEntry()) }},
		{"3 backend servers drain", drainServers},
		{"2 backend servers join", joinServers},
		{"2 backend servers turn cold", coldStartServers},
		{"an entry dies during a drain", func(n *network) {
			drainServers(n)
			n.After(n.randomDelay(8*time.Second), func() { n.crashEntry(n.randomEntry()) })
		}},
		{"all planned changes at once", func(n *network) {
			restartEntries(n)
			drainServers(n)
			joinServers(n)
			coldStartServers(n)
		}},
	}
}

// Run measures one scenario. Equal seeds give equal results.
func Run(d specifier.Deployment, s Scenario, seed uint64) Result {
	n := newNetwork(d, seed, specifier.Entries)
	n.Run(10 * time.Second)
	n.openFlows(60, 85*time.Second)
	n.Run(15 * time.Second)
	s.start(n)
	n.Run(75 * time.Second)
	return Result{
		Scenario: s.Name, Flows: len(n.flows), Packets: n.packets, Broken: n.broken, Modulo: n.modulo,
		Rendezvous: n.rendezvous, WrongService: n.wrongService, Dropped: n.dropped, Lost: n.lost,
	}
}

func (n *network) randomEntry() *node { return n.nodes[n.rng.IntN(len(n.nodes))] }

func (n *network) randomDelay(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

func restartEntries(n *network) {
	first := n.rng.IntN(len(n.nodes))
	for i := range 2 {
		e := n.nodes[(first+i)%len(n.nodes)]
		offset := time.Duration(i) * 30 * time.Second
		n.After(offset+n.randomDelay(3*time.Second), func() { n.stopEntry(e) })
		n.After(offset+20*time.Second, func() { n.startEntry(e) })
	}
}

func drainServers(n *network) {
	large, small := n.deployment.Services[0], n.deployment.Services[1]
	first := n.rng.IntN(large.Hosts)
	n.setBackend(large.Name, first, announcer.StateDraining, announcer.RampSteps)
	n.After(8*time.Second, func() {
		n.setBackend(large.Name, (first+5)%large.Hosts, announcer.StateDraining, announcer.RampSteps)
	})
	n.After(20*time.Second, func() {
		n.setBackend(small.Name, n.rng.IntN(small.Hosts), announcer.StateDraining, announcer.RampSteps)
	})
}

func joinServers(n *network) {
	n.After(4*time.Second, func() { n.rampUp(n.deployment.Services[0].Name, 20) })
	n.After(12*time.Second, func() { n.rampUp(n.deployment.Services[1].Name, 20) })
}

func coldStartServers(n *network) {
	large := n.deployment.Services[0]
	first := n.rng.IntN(large.Hosts)
	n.After(2*time.Second, func() { n.rampUp(large.Name, (first+2)%large.Hosts) })
	n.After(18*time.Second, func() { n.rampUp(large.Name, (first+7)%large.Hosts) })
}
