package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

func assertGolden(t *testing.T, answer operator.PlanResponse) {
	t.Helper()
	var b strings.Builder
	if r := answer.Refusal; r != nil {
		fmt.Fprintf(&b, "Refused (%s): %s\n", r.Reason, r.Message)
		for _, line := range r.Differences {
			fmt.Fprintf(&b, "  %s\n", line)
		}
		for _, change := range r.Changes {
			fmt.Fprintf(&b, "  %s\n", change)
		}
	}
	if answer.Plan != nil {
		b.WriteString(answer.Plan.Text())
	}
	name := strings.ReplaceAll(strings.TrimPrefix(t.Name(), "TestPlanText/"), "/", "_")
	goldie.New(t).Assert(t, name, []byte(b.String()))
}

// Guards against plan texts that do not match the effect of the plan, or that state
// load figures without their age.
func TestPlanText(t *testing.T) {
	t.Parallel()
	tests := map[string]func(*fixture) operator.PlanResponse{
		"drain": func(f *fixture) operator.PlanResponse {
			f.report(1200)
			f.clock.Advance(12 * time.Second)
			return f.create(bello, drainHost1)
		},
		"drain_without_figures": func(f *fixture) operator.PlanResponse { return f.create(bello, drainHost1) },
		"undrain": func(f *fixture) operator.PlanResponse {
			f.report(1200)
			f.confirm(amina, f.plan(bello, drainHost1).ID)
			return f.create(bello, operator.Undrain{ID: drainHost1.ID})
		},
		"take_out": func(f *fixture) operator.PlanResponse {
			f.report(600)
			return f.create(bello, operator.TakeOut{DataCentre: "kano-a"})
		},
		"take_out_without_figures": func(f *fixture) operator.PlanResponse {
			return f.create(bello, operator.TakeOut{DataCentre: "kano-a"})
		},
		"take_out_refused_overload": func(f *fixture) operator.PlanResponse {
			f.report(1200)
			return f.create(bello, operator.TakeOut{DataCentre: "kano-a"})
		},
		"take_out_accepted_overload": func(f *fixture) operator.PlanResponse {
			f.report(1200)
			return f.create(bello, operator.TakeOut{DataCentre: "kano-a", AcceptOverload: true})
		},
		"bring_back": func(f *fixture) operator.PlanResponse {
			f.report(600)
			f.confirm(amina, f.plan(bello, operator.TakeOut{DataCentre: "kano-a"}).ID)
			return f.create(bello, operator.BringBack{DataCentre: "kano-a"})
		},
		"stale_figures": func(f *fixture) operator.PlanResponse {
			f.report(1200)
			plan := f.plan(bello, drainHost1)
			f.report(2000)
			return f.confirm(amina, plan.ID)
		},
		"stale_overload": func(f *fixture) operator.PlanResponse {
			f.report(600)
			plan := f.plan(bello, operator.TakeOut{DataCentre: "kano-a"})
			f.report(1200)
			return f.confirm(amina, plan.ID)
		},
		"stale_version": func(f *fixture) operator.PlanResponse {
			f.report(600)
			plan := f.plan(bello, drainHost1)
			f.confirm(amina, f.plan(chidi, operator.TakeOut{DataCentre: "kano-b"}).ID)
			return f.confirm(chidi, plan.ID)
		},
		"apply": func(f *fixture) operator.PlanResponse {
			f.report(600)
			text := strings.NewReplacer("192.0.2.10:443", "192.0.2.11:443", "name: bello", "name: emeka", "{name: dayo,", "{name: dayo, token_sha256: "+strings.Repeat("ab", 32)+",", "7102", "7103").Replace(string(readDeclaration(f.t)))
			return f.create(bello, operator.Apply{Declaration: []byte(text)})
		},
		"replace_replica": func(f *fixture) operator.PlanResponse {
			replacement := f.Machine().Catalog().Control[0]
			replacement.Name = "control-2"
			return f.create(bello, operator.ReplaceReplica{Name: "control-1", Replacement: replacement})
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertGolden(t, run(newFixture(t)))
		})
	}
}

// Guards against accepting intents that do not fit the configuration in force, and
// against refusals that are missing from the audit trail.
func TestRefusedIntents(t *testing.T) {
	t.Parallel()
	declaration := string(readDeclaration(t))
	tests := map[string]struct {
		intent operator.Intent
		reason operator.Reason
		want   string
	}{
		"unknown service":   {operator.Drain{}, operator.ReasonInvalid, "does not exist"},
		"unknown centre":    {operator.TakeOut{DataCentre: "x"}, operator.ReasonInvalid, "does not exist"},
		"not taken out":     {operator.BringBack{DataCentre: "kano-a"}, operator.ReasonNoChange, "not taken out"},
		"not drained":       {operator.Undrain{ID: drainHost1.ID}, operator.ReasonNoChange, "not drained"},
		"same declaration":  {operator.Apply{Declaration: []byte(declaration)}, operator.ReasonNoChange, "equals"},
		"wrong declaration": {operator.Apply{Declaration: []byte("services: 1")}, operator.ReasonInvalid, "line 1"},
		"other replicas":    {operator.Apply{Declaration: []byte(strings.ReplaceAll(declaration, "7311", "7312"))}, operator.ReasonInvalid, "replace-replica"},
		"removed centre":    {operator.Apply{Declaration: []byte(strings.ReplaceAll(declaration, "kano-b", "kano-c"))}, operator.ReasonInvalid, "must be taken out"},
		"invalid replica":   {operator.ReplaceReplica{Name: "control-1", Replacement: cataloger.Replica{Name: "x"}}, operator.ReasonInvalid, "control[0].address"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			before := f.Machine().state.trail.Head().Sequence
			answer := f.create(bello, tt.intent)
			require.NotNil(t, answer.Refusal)
			require.Nil(t, answer.Plan)
			require.Equal(t, tt.reason, answer.Refusal.Reason)
			require.Contains(t, answer.Refusal.Message, tt.want)
			require.Greater(t, f.Machine().state.trail.Head().Sequence, before, "a refusal must be audited")
		})
	}
}
