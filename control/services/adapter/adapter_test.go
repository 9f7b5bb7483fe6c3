package adapter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/adapter"
	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// Guards against a replacement that is never admitted, a replaced replica that joins
// again, and a wrong list that excludes the replicas of the settings.
func TestFindAdmittedReplicas(t *testing.T) {
	t.Parallel()
	status := replicator.Status{Membership: storer.Membership{Members: []storer.Member{{Name: "a"}, {Name: "b"}}}}
	for name, c := range map[string]struct {
		listed    []string
		exclusive bool
	}{
		"no list":                    {nil, false},
		"replacement has not joined": {[]string{"a", "c"}, false},
		"all are members":            {[]string{"a", "b"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var catalog cataloger.Catalog
			for _, name := range c.listed {
				catalog.Control = append(catalog.Control, cataloger.Replica{Name: name})
			}
			names, exclusive := adapter.FindAdmittedReplicas(status, catalog)
			require.Equal(t, c.listed, names)
			require.Equal(t, c.exclusive, exclusive)
		})
	}
}

// Guards against the removal of a running replica because a declaration has wrong names
// or a replacement has not joined yet.
func TestFindUnlisted(t *testing.T) {
	t.Parallel()
	members := func(list ...storer.Member) replicator.Status {
		return replicator.Status{Name: "a", Membership: storer.Membership{Members: list}}
	}
	voter := func(name string) storer.Member { return storer.Member{Name: name, Voter: true} }
	catalog := func(names ...string) cataloger.Catalog {
		var c cataloger.Catalog
		for _, name := range names {
			c.Control = append(c.Control, cataloger.Replica{Name: name})
		}
		return c
	}
	cases := map[string]struct {
		status  replicator.Status
		catalog cataloger.Catalog
		want    []string
	}{
		"no list":                    {members(voter("a"), voter("b")), catalog(), nil},
		"wrong names":                {members(voter("a"), voter("b"), voter("c")), catalog("x", "y", "z"), nil},
		"replacement has not joined": {members(voter("a"), voter("b"), voter("c")), catalog("a", "b", "d"), nil},
		"replacement may not vote":   {members(voter("a"), voter("b"), voter("c"), storer.Member{Name: "d"}), catalog("a", "b", "d"), nil},
		"replacement votes":          {members(voter("a"), voter("b"), voter("c"), voter("d")), catalog("a", "b", "d"), []string{"c"}},
		"never itself":               {members(voter("a"), voter("b"), voter("c"), voter("d")), catalog("b", "c", "d"), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			require.Equal(t, c.want, adapter.FindUnlisted(c.status, c.catalog))
			require.Equal(t, name == "never itself", adapter.IsOnlyUnlisted(c.status, c.catalog))
		})
	}
}
