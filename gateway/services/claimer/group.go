package claimer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
	"github.com/redwingledge/redwingledge/shared/modules/ranker"
)

// groupSize is the maximum number of members of a claim group. A group of five
// tolerates two failures.
const groupSize = 5

// Group returns the claim group of a key: the gateways with the highest
// rendezvous hashing scores for the key, chosen from each data centre in turn.
// It does not depend on which gateways are alive.
func Group(gateways []viewer.Gateway, key messenger.Key) []viewer.Gateway {
	hash := hasher.String(key.Service + "\x00" + key.ClientAccount + "\x00" + key.Key)
	ranked := make([]rankedGateway, len(gateways))
	for i, g := range gateways {
		ranked[i].gateway, ranked[i].score = g, ranker.Score(g.Name, hash)
	}
	slices.SortFunc(ranked, func(a, b rankedGateway) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.gateway.Name, b.gateway.Name))
	})
	size := min(groupSize, len(gateways))
	group := make([]viewer.Gateway, 0, size)
	// Each round takes the highest-ranked remaining gateway of each data centre.
	for round := 0; len(group) < size; round++ {
		for i := range ranked {
			r := &ranked[i]
			if len(group) < size && !r.taken && countInDataCentre(group, r.gateway.DataCentre) <= round {
				r.taken = true
				group = append(group, r.gateway)
			}
		}
	}
	return group
}

// rankedGateway is a gateway with its rendezvous score for a key.
type rankedGateway struct {
	gateway viewer.Gateway
	score   uint64
	taken   bool
}

func countInDataCentre(group []viewer.Gateway, dataCentre string) int {
	count := 0
	for _, g := range group {
		if g.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

func majority(n int) int { return n/2 + 1 }

// gatewayList is a gateway list in force: a claim needs a majority of the group
// that each of these lists gives.
type gatewayList struct {
	hash     uint64
	gateways []viewer.Gateway
	// validUntil is when a former list expires; it is zero for the current list.
	validUntil time.Time
}

// hashList returns a hash of what claim groups depend on: the names and data
// centres of the gateways, but not their addresses.
func hashList(gateways []viewer.Gateway) uint64 {
	names := make([]string, 0, len(gateways))
	for _, g := range gateways {
		names = append(names, g.Name+"\x00"+g.DataCentre)
	}
	slices.Sort(names)
	return hasher.String(strings.Join(names, "\x01"))
}

// gatewayLists are the current gateway list, first, and the former ones that are
// still in force.
type gatewayLists []gatewayList

// withCurrent returns the lists with gateways as the current list. The one that
// was current before stays in force until the given time.
func (l gatewayLists) withCurrent(gateways []viewer.Gateway, until time.Time) gatewayLists {
	hash := hashList(gateways)
	next := gatewayLists{{hash: hash, gateways: gateways}}
	for i, old := range l {
		if old.hash == hash {
			continue
		}
		if i == 0 {
			old.validUntil = until
		}
		next = append(next, old)
	}
	return next
}

// withLearned adds a list that another gateway uses, in force until the given
// time, unless it is known or empty.
func (l gatewayLists) withLearned(gateways []viewer.Gateway, until time.Time) gatewayLists {
	hash := hashList(gateways)
	if len(gateways) == 0 || slices.ContainsFunc(l, func(x gatewayList) bool { return x.hash == hash }) {
		return l
	}
	return append(slices.Clone(l), gatewayList{hash: hash, gateways: gateways, validUntil: until})
}

// valid returns the lists that are in force at the given time.
func (l gatewayLists) valid(now time.Time) gatewayLists {
	return slices.DeleteFunc(slices.Clone(l), func(x gatewayList) bool { return !x.validUntil.IsZero() && !now.Before(x.validUntil) })
}

func (l gatewayLists) hashes() []uint64 {
	hashes := make([]uint64, 0, len(l))
	for _, x := range l {
		hashes = append(hashes, x.hash)
	}
	return hashes
}

func (l gatewayLists) messages() []messenger.GatewayList {
	messages := make([]messenger.GatewayList, 0, len(l))
	for _, x := range l {
		messages = append(messages, messenger.GatewayList{Gateways: x.gateways})
	}
	return messages
}

// groups returns the claim group of the key for each list.
func (l gatewayLists) groups(key messenger.Key) [][]viewer.Gateway {
	groups := make([][]viewer.Gateway, 0, len(l))
	for _, x := range l {
		groups = append(groups, Group(x.gateways, key))
	}
	return groups
}

// members returns the gateways of all groups without duplicates.
func members(groups [][]viewer.Gateway) []viewer.Gateway {
	var all []viewer.Gateway
	for _, group := range groups {
		for _, g := range group {
			if !slices.ContainsFunc(all, func(x viewer.Gateway) bool { return x.Name == g.Name }) {
				all = append(all, g)
			}
		}
	}
	return all
}
