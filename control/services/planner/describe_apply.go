package planner

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// maxSummaryChanges is the maximum number of changes that the summary of a
// declaration names. The summary is in the audit trail and in the refusals that
// other operators get.
const maxSummaryChanges = 10

// maxListedChanges is the maximum number of changes listed in the text of a plan;
// further changes are only counted.
const maxListedChanges = 100

// summariseIntent describes an intent in one line. For a declaration it lists the
// changes to the configuration in force.
func summariseIntent(intent operator.Intent, base, target cataloger.Catalog) string {
	if _, ok := intent.(operator.Apply); !ok {
		return intent.String()
	}
	return intent.String() + ": " + strings.Join(truncateChanges(summariseChanges(base, target), maxSummaryChanges), "; ")
}

// truncateChanges returns the first limit changes and a last item that counts the
// omitted ones.
func truncateChanges(changes []string, limit int) []string {
	omitted := len(changes) - limit
	if omitted <= 0 {
		return changes
	}
	return append(changes[:limit:limit], fmt.Sprintf("and %d more changes", omitted))
}

func (p planInput) describeApply(d *description) sectionTexts {
	changes := truncateChanges(summariseChanges(p.base, p.target), maxListedChanges)
	t := sectionTexts{
		changes:  "- " + strings.Join(changes, "\n- "),
		stay:     "All established flows stay where they are.",
		move:     "None.",
		givenUp:  "None.",
		duration: p.describePropagation(),
		risks:    "Backend servers and operators whose token hash changes are refused until they use the new token. " + partitionRisk,
	}
	affected := servicesLosingAddresses(p.base, p.target)
	if len(affected) == 0 {
		return t
	}
	t.stay = "All established flows to other addresses stay where they are."
	var lines []string
	if p.load.IsKnown() {
		d.addFiguresKnown()
	} else {
		d.addFiguresUnknown()
	}
	for _, service := range affected {
		flows := p.sumGroups(service, func(string) bool { return true }).Flows
		if !p.load.IsKnown() {
			lines = append(lines, fmt.Sprintf("%s: flows to the removed addresses; how many is not known.", service))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: flows to the removed addresses, at most %s.", service, formatCount(flows, "flow", "flows")))
		d.addFlowsFact("flows of "+service, flows)
	}
	t.givenUp = strings.Join(lines, "\n")
	t.risks = "Callers that still use a removed address get no answer. " + t.risks
	return t
}

// servicesLosingAddresses returns the names of the services that lose an address.
// A removed service and one with a changed protocol lose all their addresses.
func servicesLosingAddresses(base, target cataloger.Catalog) []string {
	var affected []string
	for _, old := range base.Services {
		next, err := target.GetService(old.Name)
		kept := err == nil && next.Protocol == old.Protocol
		for _, a := range old.Addresses {
			if !kept || !contains(next.Addresses, a) {
				affected = append(affected, old.Name)
				break
			}
		}
	}
	return affected
}

func contains[T comparable](list []T, item T) bool {
	for _, other := range list {
		if other == item {
			return true
		}
	}
	return false
}

// summariseChanges returns one line for each difference between two
// configurations.
func summariseChanges(base, target cataloger.Catalog) []string {
	var changes []string
	diff(&changes, "data centre", base.DataCentres, target.DataCentres, func(d cataloger.DataCentre) string { return d.Name })
	diff(&changes, "service", base.Services, target.Services, func(s cataloger.Service) string { return s.Name })
	diff(&changes, "entry", base.Entries, target.Entries, func(m cataloger.Member) string { return m.Name })
	diff(&changes, "gateway", base.Gateways, target.Gateways, func(m cataloger.Member) string { return m.Name })
	diff(&changes, "control replica", base.Control, target.Control, func(r cataloger.Replica) string { return r.Name })
	diff(&changes, "operator", base.Operators, target.Operators, func(o cataloger.Operator) string { return o.Name })
	if base.Policies != target.Policies {
		changes = append(changes, fmt.Sprintf("change policy forbid_self_confirm from %t to %t", base.Policies.ForbidSelfConfirm, target.Policies.ForbidSelfConfirm))
	}
	return changes
}

// diff appends one line for each item that is added, changed or removed between
// two lists of named items. The order of the items is ignored.
func diff[T any](changes *[]string, kind string, base, target []T, name func(T) string) {
	old := make(map[string]T, len(base))
	for _, item := range base {
		old[name(item)] = item
	}
	for _, item := range target {
		before, ok := old[name(item)]
		delete(old, name(item))
		if !ok {
			*changes = append(*changes, fmt.Sprintf("add %s %s", kind, name(item)))
		} else if fields := differingFields(before, item); len(fields) > 0 {
			*changes = append(*changes, fmt.Sprintf("change %s %s: %s", kind, name(item), strings.Join(fields, ", ")))
		}
	}
	for _, item := range base {
		if _, ok := old[name(item)]; ok {
			*changes = append(*changes, fmt.Sprintf("remove %s %s", kind, name(item)))
		}
	}
}

// hashField is the field that plans show without its value, because a weak token
// could be guessed from its hash.
const hashField = "token_sha256"

// differingFields returns the JSON names of the struct fields that differ, with
// their values before and after.
func differingFields(before, after any) []string {
	var fields []string
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		x, y := b.Field(i), a.Field(i)
		isEmptyList := x.Kind() == reflect.Slice && x.Len() == 0 && y.Len() == 0
		if isEmptyList || reflect.DeepEqual(x.Interface(), y.Interface()) {
			continue
		}
		name := b.Type().Field(i).Tag.Get("json")
		if name == hashField {
			fields = append(fields, name)
			continue
		}
		fields = append(fields, fmt.Sprintf("%s from %v to %v", name, x.Interface(), y.Interface()))
	}
	return fields
}

func (p planInput) describeReplaceReplica(d *description, i operator.ReplaceReplica) sectionTexts {
	replicas := len(p.base.Control)
	majority := replicas/2 + 1
	t := sectionTexts{
		changes: fmt.Sprintf("Control replica %s leaves, and %s at %s in %s takes its place.",
			i.Name, i.Replacement.Name, i.Replacement.Address, i.Replacement.DataCentre),
		stay:     "All flows. Control carries no flows.",
		move:     "None.",
		givenUp:  "None.",
		duration: "The new replica copies the whole state before it counts. That usually takes seconds; how long is not known.",
		risks:    fmt.Sprintf("Until then %d of the %d replicas must be up for any other change. If they are not, the configuration in force stays in force. ", majority, replicas),
	}
	if replicas == 1 {
		t.risks = "There is only one replica; it must run until the new one has copied the state. "
	}
	t.risks += "The new replica must run at its address, with an empty data folder."
	d.addExactFact("control replicas", int64(replicas))
	return t
}
