package exchanger

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// knownGroupsPeriod is the time after which the names of the directory are read again. Figures of a new
// service are left out until then, which refuses less.
const knownGroupsPeriod = time.Second

type groupName struct{ service, dataCentre string }

// knownGroups are the services and data centres that have a backend server. All answers have the names of
// all figures: without this filter one report with long made-up names adds 33 KB/s to the link of every
// entry.
type knownGroups struct {
	groups   map[groupName]bool
	services map[string]bool
	readAt   time.Time
}

func (k *knownGroups) refresh(directory Directory, now time.Time) {
	if !k.readAt.IsZero() && now.Sub(k.readAt) < knownGroupsPeriod {
		return
	}
	k.groups, k.services, k.readAt = make(map[groupName]bool), make(map[string]bool), now
	for _, server := range directory.Servers() {
		k.groups[groupName{service: server.Service, dataCentre: server.DataCentre}] = true
		k.services[server.Service] = true
	}
}

// filter returns the load without unknown names, and the number of figures that were left out.
func (k *knownGroups) filter(load loadsharer.Load) (filtered loadsharer.Load, leftOut int) {
	before := len(load.Groups) + len(load.Arrivals)
	load.Groups = slices.DeleteFunc(load.Groups, func(g loadsharer.GroupLoad) bool {
		return !k.groups[groupName{service: g.Service, dataCentre: g.DataCentre}]
	})
	load.Arrivals = slices.DeleteFunc(load.Arrivals, func(a loadsharer.ServiceArrivals) bool { return !k.services[a.Service] })
	return load, before - len(load.Groups) - len(load.Arrivals)
}
