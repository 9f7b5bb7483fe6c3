package director

import (
	"net/netip"
	"slices"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// tokenSets maps keys to the tokens of backend servers, in ascending order.
type tokenSets[K comparable] map[K][]director.Token

func (s tokenSets[K]) add(key K, token director.Token) {
	if i, ok := slices.BinarySearch(s[key], token); !ok {
		s[key] = slices.Insert(s[key], i, token)
	}
}

func (s tokenSets[K]) remove(key K, token director.Token) {
	i, ok := slices.BinarySearch(s[key], token)
	if !ok {
		return
	}
	if s[key] = slices.Delete(s[key], i, i+1); len(s[key]) == 0 {
		delete(s, key)
	}
}

// startIndex finds the recorded starts of a host and those at an address.
type startIndex struct {
	byHost    tokenSets[string]
	byAddress tokenSets[netip.AddrPort]
}

func newStartIndex() startIndex {
	return startIndex{byHost: make(tokenSets[string]), byAddress: make(tokenSets[netip.AddrPort])}
}

func (i startIndex) add(server director.Server) {
	i.byHost.add(server.Host, server.Token)
	i.byAddress.add(server.Address, server.Token)
}

func (i startIndex) remove(server director.Server) {
	i.byHost.remove(server.Host, server.Token)
	i.byAddress.remove(server.Address, server.Token)
}

// related returns the tokens of all starts with the host or the address of a backend server, in
// ascending order.
func (i startIndex) related(server director.Server) []director.Token {
	tokens := slices.Concat(i.byHost[server.Host], i.byAddress[server.Address])
	slices.Sort(tokens)
	return slices.Compact(tokens)
}
