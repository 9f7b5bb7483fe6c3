// Package differ computes and applies deltas between two versions of the
// configuration. At the design size a delta is far smaller than a full version.
package differ

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// ListDelta is the difference between two versions of a list whose items have keys.
type ListDelta[T any] struct {
	_ struct{} `cbor:",toarray"`
	// Removed are the keys of the removed items.
	Removed []string
	// Changed are items that are added or replace the item with the same key.
	Changed []T
}

// Delta is the difference between the catalog of version From and that of version To.
type Delta struct {
	_           struct{} `cbor:",toarray"`
	From        uint64
	To          uint64
	DataCentres ListDelta[cataloger.DataCentre]
	Services    ListDelta[cataloger.Service]
	Entries     ListDelta[cataloger.Member]
	Gateways    ListDelta[cataloger.Member]
	Operators   ListDelta[cataloger.Operator]
	Drained     ListDelta[announcer.ID]
	Policies    cataloger.Policies
}

func dataCentreKey(d cataloger.DataCentre) string { return d.Name }
func serviceKey(s cataloger.Service) string       { return s.Name }
func memberKey(m cataloger.Member) string         { return m.Name }
func operatorKey(o cataloger.Operator) string     { return o.Name }

// Diff returns the delta from base to next. It returns false if applying the delta
// would not yield exactly next, for example because items were only reordered.
func Diff(base, next *cataloger.Catalog) (*Delta, bool) {
	d := &Delta{
		From: base.Version, To: next.Version, Policies: next.Policies,
		DataCentres: diffList(base.DataCentres, next.DataCentres, dataCentreKey),
		Services:    diffList(base.Services, next.Services, serviceKey),
		Entries:     diffList(base.Entries, next.Entries, memberKey),
		Gateways:    diffList(base.Gateways, next.Gateways, memberKey),
		Operators:   diffList(base.Operators, next.Operators, operatorKey),
		Drained:     diffList(base.Drained, next.Drained, announcer.ID.String),
	}
	applied, err := d.Apply(base)
	return d, err == nil && isEqual(applied, next)
}

// Apply returns the catalog of version To. It returns an error if base is nil or
// not of version From.
func (d *Delta) Apply(base *cataloger.Catalog) (*cataloger.Catalog, error) {
	if base == nil || base.Version != d.From {
		return nil, fmt.Errorf("delta starts at version %d, which is not the current version", d.From)
	}
	next := *base
	next.Version = d.To
	next.Policies = d.Policies
	next.DataCentres = applyList(base.DataCentres, d.DataCentres, dataCentreKey)
	next.Services = applyList(base.Services, d.Services, serviceKey)
	next.Entries = applyList(base.Entries, d.Entries, memberKey)
	next.Gateways = applyList(base.Gateways, d.Gateways, memberKey)
	next.Operators = applyList(base.Operators, d.Operators, operatorKey)
	next.Drained = applyList(base.Drained, d.Drained, announcer.ID.String)
	return &next, nil
}

func diffList[T any](base, next []T, key func(T) string) ListDelta[T] {
	var d ListDelta[T]
	before := make(map[string]T, len(base))
	for _, item := range base {
		before[key(item)] = item
	}
	for _, item := range next {
		k := key(item)
		if old, ok := before[k]; !ok || !isEqual(old, item) {
			d.Changed = append(d.Changed, item)
		}
		delete(before, k)
	}
	for k := range before {
		d.Removed = append(d.Removed, k)
	}
	slices.Sort(d.Removed)
	return d
}

func applyList[T any](base []T, d ListDelta[T], key func(T) string) []T {
	if len(d.Removed)+len(d.Changed) == 0 {
		return base
	}
	removed := make(map[string]bool, len(d.Removed))
	for _, k := range d.Removed {
		removed[k] = true
	}
	changed := make(map[string]T, len(d.Changed))
	for _, item := range d.Changed {
		changed[key(item)] = item
	}
	next := make([]T, 0, len(base)+len(d.Changed))
	for _, item := range base {
		k := key(item)
		if removed[k] {
			continue
		}
		if replacement, ok := changed[k]; ok {
			item = replacement
			delete(changed, k)
		}
		next = append(next, item)
	}
	for _, item := range d.Changed {
		if _, isNew := changed[key(item)]; isNew {
			next = append(next, item)
		}
	}
	return next
}

// isEqual compares the CBOR encodings, so that fields added later are compared too.
func isEqual(a, b any) bool {
	dataA, errA := cbor.Marshal(a)
	dataB, errB := cbor.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(dataA, dataB)
}
