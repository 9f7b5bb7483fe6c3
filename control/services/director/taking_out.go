package director

import (
	"time"

	"github.com/redwingledge/redwingledge/shared/models/director"
)

// takeOut takes a data centre out or brings it back. Its backend servers may have turned cold while
// it was out, so those of services that declare a cold start count as cold until they announce
// themselves again.
func (m *Machine) takeOut(c TakeOut) {
	if m.directory.IsTakenOut(c.DataCentre) == c.TakenOut {
		return
	}
	if !c.TakenOut {
		coldStarts := make(map[string]time.Duration)
		for _, service := range m.declared.Services {
			if service.ColdRate > 0 {
				coldStarts[service.Name] = service.ColdStart
			}
		}
		for _, server := range m.directory.Servers() {
			if coldStart := coldStarts[server.Service]; server.DataCentre == c.DataCentre && server.IsLive() && coldStart > 0 {
				m.applyChange(director.ServerChanged{Server: server.WithColdStart(coldStart)})
			}
		}
	}
	m.applyChange(director.DataCentreChanged{Name: c.DataCentre, TakenOut: c.TakenOut})
}
