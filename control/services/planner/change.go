package planner

import (
	"fmt"
	"reflect"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// maxDrained is the maximum number of drained backend servers. The system is
// designed for 3,900 hosts; a host that no longer exists stays in the list until
// it is undrained.
const maxDrained = 10_000

// changeCatalog applies the intent to the configuration in force and returns the
// resulting configuration, or a refusal if the intent is invalid or changes
// nothing. The result keeps the version of base.
func changeCatalog(base cataloger.Catalog, intent operator.Intent, declared *cataloger.Catalog) (cataloger.Catalog, *operator.Refusal) {
	if _, ok := intent.(operator.Apply); !ok && base.Version == 0 {
		return cataloger.Catalog{}, invalidf("there is no configuration yet; apply a declaration first")
	}
	var target cataloger.Catalog
	var refusal *operator.Refusal
	switch i := intent.(type) {
	case operator.Apply:
		target, refusal = applyDeclaration(base, declared)
	case operator.Drain:
		target, refusal = setDrained(base, i.ID, true)
	case operator.Undrain:
		target, refusal = setDrained(base, i.ID, false)
	case operator.TakeOut:
		target, refusal = setTakenOut(base, i.DataCentre, true)
	case operator.BringBack:
		target, refusal = setTakenOut(base, i.DataCentre, false)
	case operator.ReplaceReplica:
		target, refusal = replaceReplica(base, i)
	default:
		return cataloger.Catalog{}, invalidf("%T is not a known intent", intent)
	}
	if refusal != nil {
		return cataloger.Catalog{}, refusal
	}
	if problems := target.Check(); len(problems) > 0 {
		return cataloger.Catalog{}, invalidf("%v", cataloger.ErrDeclaration{Problems: problems})
	}
	return target, nil
}

func invalidf(format string, args ...any) *operator.Refusal {
	return &operator.Refusal{Reason: operator.ReasonInvalid, Message: fmt.Sprintf(format, args...)}
}

func noChangef(format string, args ...any) *operator.Refusal {
	return &operator.Refusal{Reason: operator.ReasonNoChange, Message: fmt.Sprintf(format, args...)}
}

func setDrained(base cataloger.Catalog, id announcer.ID, drained bool) (cataloger.Catalog, *operator.Refusal) {
	if _, err := base.GetService(id.Service); err != nil {
		return cataloger.Catalog{}, invalidf("%v", err)
	}
	if id.Host == "" || len(id.Host) > announcer.MaxNameLength {
		return cataloger.Catalog{}, invalidf("a host name must have 1 to %d bytes", announcer.MaxNameLength)
	}
	if base.IsDrained(id) == drained {
		state := "not drained by an operator"
		if drained {
			state = "already drained"
		}
		return cataloger.Catalog{}, noChangef("%s is %s", id, state)
	}
	if drained && len(base.Drained) >= maxDrained {
		return cataloger.Catalog{}, invalidf("%d backend servers are drained; undrain those that no longer exist", len(base.Drained))
	}
	return base.WithDrained(id, drained), nil
}

func setTakenOut(base cataloger.Catalog, name string, takenOut bool) (cataloger.Catalog, *operator.Refusal) {
	target, err := base.WithTakenOut(name, takenOut)
	if err != nil {
		return cataloger.Catalog{}, invalidf("%v", err)
	}
	if base.IsTakenOut(name) == takenOut {
		state := "not taken out"
		if takenOut {
			state = "already taken out"
		}
		return cataloger.Catalog{}, noChangef("data centre %s is %s", name, state)
	}
	return target, nil
}

func replaceReplica(base cataloger.Catalog, i operator.ReplaceReplica) (cataloger.Catalog, *operator.Refusal) {
	old, err := base.GetReplica(i.Name)
	if err != nil {
		return cataloger.Catalog{}, invalidf("%v", err)
	}
	if old == i.Replacement {
		return cataloger.Catalog{}, noChangef("control replica %s is already at %s; a replica with an empty folder rejoins by itself", old.Name, old.Address)
	}
	target, err := base.WithReplacedReplica(i.Name, i.Replacement)
	if err != nil {
		return cataloger.Catalog{}, invalidf("%v", err)
	}
	return target, nil
}

func applyDeclaration(base cataloger.Catalog, declared *cataloger.Catalog) (cataloger.Catalog, *operator.Refusal) {
	if declared == nil {
		return cataloger.Catalog{}, invalidf("the request has no declaration")
	}
	target := declared.WithOperatorState(base).WithVersion(base.Version)
	if base.Version == 0 {
		return target, nil
	}
	// The replicated log supports membership changes of one replica at a time only.
	if !equalLists(base.Control, target.Control) {
		return cataloger.Catalog{}, invalidf("the control replicas differ from those in force; change them with rwctl replace-replica and copy the result into the declaration")
	}
	for _, d := range base.DataCentres {
		declaredCentre, err := target.GetDataCentre(d.Name)
		if (err != nil || declaredCentre.Region != d.Region) && !d.TakenOut {
			return cataloger.Catalog{}, invalidf("data centre %s must be taken out before it is removed or moved to another region", d.Name)
		}
	}
	if len(summariseChanges(base, target)) == 0 {
		return cataloger.Catalog{}, noChangef("the declaration equals the configuration in force")
	}
	return target, nil
}

func equalLists[T any](a, b []T) bool {
	return (len(a) == 0 && len(b) == 0) || reflect.DeepEqual(a, b)
}
