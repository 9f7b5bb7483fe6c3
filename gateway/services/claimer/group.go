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

// groupSize is the greatest number of members of a claim group. Five members
// stand two failures.
const groupSize = 5

// Group returns the claim group of a key: the first gateways in rendezvous
// order by key, one of each data centre in turn. Whether gateways are alive
// does not matter.
func Group(gateways []viewer.Gateway, key messenger.Key) []viewer.Gateway {
	hash := hasher.String(key.Service + "\x00" + key.Member + "\x00" + key.Key)
	ranked := make([]rankedGateway, len(gateways))
	for i, g := range gateways {
		ranked[i].gateway, ranked[i].score = g, ranker.Score(g.Name, hash)
	}
	slices.SortFunc(ranked, func(a, b rankedGateway) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.gateway.Name, b.gateway.Name))
	})
	size := min(groupSize, len(gateways))
	group := make([]viewer.Gateway, 0, size)
	// In each round, the first gateway left of each data centre is taken.
	for round := 0; len(group) < size; round++ {
		for i := range ranked {
			r := &ranked[i]
			if len(group) < size && !r.taken && countOf(group, r.gateway.DataCentre) <= round {
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

func countOf(group []viewer.Gateway, dataCentre string) int {
	count := 0
	for _, g := range group {
		if g.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

func majority(n int) int { return n/2 + 1 }

// list is a gateway list that claims must respect.
type list struct {
	hash     uint64
	gateways []viewer.Gateway
	// until is when a former list no longer counts; the current list has none.
	until time.Time
}

// hashList identifies a list by what decides claim groups. Addresses do not.
func hashList(gateways []viewer.Gateway) uint64 {
	names := make([]string, 0, len(gateways))
	for _, g := range gateways {
		names = append(names, g.Name+"\x00"+g.DataCentre)
	}
	slices.Sort(names)
	return hasher.String(strings.Join(names, "\x01"))
}

// lists are the current gateway list, first, and the former ones that still
// count.
type lists []list

// with returns the lists after a change to a new current list. The former one
// counts until the given time.
func (l lists) with(gateways []viewer.Gateway, until time.Time) lists {
	hash := hashList(gateways)
	next := lists{{hash: hash, gateways: gateways}}
	for i, old := range l {
		if old.hash == hash {
			continue
		}
		if i == 0 {
			old.until = until
		}
		next = append(next, old)
	}
	return next
}

// withLearned returns the lists with one that another gateway uses.
func (l lists) withLearned(gateways []viewer.Gateway, until time.Time) lists {
	hash := hashList(gateways)
	if len(gateways) == 0 || slices.ContainsFunc(l, func(x list) bool { return x.hash == hash }) {
		return l
	}
	return append(slices.Clone(l), list{hash: hash, gateways: gateways, until: until})
}

// current returns the lists that count at the given time.
func (l lists) current(now time.Time) lists {
	return slices.DeleteFunc(slices.Clone(l), func(x list) bool { return !x.until.IsZero() && !now.Before(x.until) })
}

func (l lists) hashes() []uint64 {
	hashes := make([]uint64, 0, len(l))
	for _, x := range l {
		hashes = append(hashes, x.hash)
	}
	return hashes
}

func (l lists) messages() []messenger.List {
	messages := make([]messenger.List, 0, len(l))
	for _, x := range l {
		messages = append(messages, messenger.List{Gateways: x.gateways})
	}
	return messages
}

// groups returns the claim group of the key for each list.
func (l lists) groups(key messenger.Key) [][]viewer.Gateway {
	groups := make([][]viewer.Gateway, 0, len(l))
	for _, x := range l {
		groups = append(groups, Group(x.gateways, key))
	}
	return groups
}

// members returns the gateways of all groups, each once.
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
