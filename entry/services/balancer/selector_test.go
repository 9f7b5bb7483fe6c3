package balancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

var viewStart = time.Unix(1_000_000, 0)

// requireSameCandidates compares a selector that has applied all changes with one that was built
// from the complete view.
func requireSameCandidates(t *testing.T, updated *selector, directory *director.Directory, services []string) {
	t.Helper()
	rebuilt := newSelector("entry-1", "dc-0", rand.New(rand.NewPCG(1, 1)))
	rebuilt.rebuild(directory, viewStart)
	for _, service := range services {
		require.ElementsMatch(t, tokensOf(rebuilt.groups(service)), tokensOf(updated.groups(service)), service)
	}
}

func tokensOf(groups []*group) []director.Token {
	var tokens []director.Token
	for _, g := range groups {
		g.each(func(b *backend) { tokens = append(tokens, b.token) })
	}
	return tokens
}

// randomChange returns a random change of a view.
func randomChange(rng *rand.Rand, services []string) director.Change {
	token := director.Token(rng.IntN(12) + 1)
	switch rng.IntN(10) {
	case 0:
		return director.ServerRemoved{Token: token}
	case 1:
		return director.DataCentreChanged{Name: fmt.Sprint("dc-", rng.IntN(3)), TakenOut: rng.IntN(2) == 0}
	case 2:
		return director.ServiceChanged{Name: services[rng.IntN(len(services))], ColdRate: float64(rng.IntN(3))}
	case 3:
		return director.EntryAdded{Name: fmt.Sprint("entry-", rng.IntN(4))}
	default:
		states := []director.State{director.StateReady, director.StateReady, director.StateDraining, director.StateLapsed, director.StateGone}
		return director.ServerChanged{Server: director.Server{
			Token: token, Service: services[int(token)%len(services)], DataCentre: fmt.Sprint("dc-", int(token)%3), Slots: 2,
			State: states[rng.IntN(len(states))], ColdStart: time.Duration(rng.IntN(2)) * time.Second,
		}}
	}
}

// Guards against extra or missing candidates after incremental updates: after each update, the
// candidates must be those of a rebuild from the complete view.
func TestUpdateMatchesRebuild(t *testing.T) {
	t.Parallel()
	services := []string{"orders", "manifests"}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		directory, s := director.NewDirectory(), newSelector("entry-1", "dc-0", rand.New(rand.NewPCG(1, 1)))
		for range 300 {
			changes := []director.Change{randomChange(rng, services), randomChange(rng, services)}
			for _, change := range changes {
				directory.Apply(change)
			}
			if rng.IntN(20) == 0 {
				s.rebuild(directory, viewStart)
			} else {
				s.update(directory, changes, viewStart)
			}
			requireSameCandidates(t, s, directory, services)
		}
	}
}

// Measures the cost of a complete view of 3,900 backend servers.
func BenchmarkRebuild(b *testing.B) {
	const servers = 3900
	directory := director.NewDirectory()
	for i := range servers {
		directory.Apply(director.ServerChanged{Server: director.Server{
			Token: director.Token(i + 1), Service: fmt.Sprint("service-", i%2), DataCentre: fmt.Sprint("dc-", i%6), Slots: 2, State: director.StateReady,
		}})
	}
	s := newSelector("entry-1", "dc-0", rand.New(rand.NewPCG(1, 1)))
	for b.Loop() {
		s.rebuild(directory, viewStart)
	}
}

// Measures the cost of one changed backend server among 3,900.
func BenchmarkUpdate(b *testing.B) {
	const servers = 3900
	directory, s := director.NewDirectory(), newSelector("entry-1", "dc-0", rand.New(rand.NewPCG(1, 1)))
	changed := func(i int, state director.State) director.Change {
		return director.ServerChanged{Server: director.Server{
			Token: director.Token(i + 1), Service: fmt.Sprint("service-", i%2), DataCentre: "dc-0", Slots: 2, State: state,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}}
	}
	for i := range servers {
		directory.Apply(changed(i, director.StateReady))
	}
	s.rebuild(directory, viewStart)
	states := []director.State{director.StateDraining, director.StateReady}
	b.ResetTimer()
	for i := range b.N {
		change := changed(i%servers, states[i/servers%len(states)])
		directory.Apply(change)
		s.update(directory, []director.Change{change}, viewStart)
	}
}
