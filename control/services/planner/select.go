package planner

import (
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// selectLoad returns only the load figures that a plan of the intent uses. All
// figures of a system of the design size take about 200 kB, which would be written
// to the log with each command.
func selectLoad(load observer.Summary, catalog cataloger.Catalog, intent operator.Intent, declared *cataloger.Catalog) observer.Summary {
	services := make(map[string]bool)
	var server announcer.ID
	switch i := intent.(type) {
	case operator.Drain:
		server, services[i.Service] = i.ID, true
	case operator.Undrain:
		server, services[i.Service] = i.ID, true
	case operator.TakeOut:
		addServices(services, load, i.DataCentre)
	case operator.BringBack:
		addServices(services, load, i.DataCentre)
	case operator.Apply:
		if declared != nil {
			for _, name := range servicesLosingAddresses(catalog, *declared) {
				services[name] = true
			}
		}
	case operator.ReplaceReplica:
		return observer.Summary{}
	}
	selected := load
	selected.Groups, selected.Servers = nil, nil
	for _, g := range load.Groups {
		if services[g.Service] {
			selected.Groups = append(selected.Groups, g)
		}
	}
	if found, ok := load.GetServer(server); ok {
		selected.Servers = []observer.ServerLoad{found}
	}
	return selected
}

// addServices adds the services that have backend servers in the data centre.
func addServices(services map[string]bool, load observer.Summary, dataCentre string) {
	for _, g := range load.Groups {
		if g.DataCentre == dataCentre {
			services[g.Service] = true
		}
	}
}
