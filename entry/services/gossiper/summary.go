package gossiper

import (
	"slices"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
	"github.com/redwingledge/redwingledge/shared/modules/ranker"
)

// RepresentativesPerDataCentre is the number of entries of a data centre that
// communicate with control and with other regions on behalf of the data centre.
const RepresentativesPerDataCentre = 2

// IsRepresentative reports whether the named entry is one of the first live entries of
// its data centre in rendezvous order.
func IsRepresentative(name, dataCentre string, members []messenger.Member) bool {
	var names []string
	for _, p := range members {
		if p.DataCentre == dataCentre {
			names = append(names, p.Name)
		}
	}
	ranked := ranker.Rank(names, hasher.String(dataCentre))
	return slices.Contains(ranked[:min(RepresentativesPerDataCentre, len(ranked))], name)
}

// sendSummary sends a summary of this data centre to a random entry of another region.
func (m *Machine) sendSummary() {
	if len(m.otherRegions) == 0 || !m.joined || !IsRepresentative(m.self.Name, m.self.DataCentre, m.published) {
		return
	}
	m.sendWithoutRumours(m.otherRegions[m.random.IntN(len(m.otherRegions))], m.summary())
}

func (m *Machine) summary() messenger.Summary {
	summary := messenger.Summary{
		Region: m.self.Region, DataCentre: m.self.DataCentre, Version: m.version,
		Entries: uint32(len(m.localProbeRing.members) + 1), Address: m.self.Address,
	}
	for _, item := range m.records.items {
		if item.record.DataCentre == m.self.DataCentre && item.record.AcceptsNewFlows() {
			summary.ReadyServers++
		}
	}
	return summary
}

func (m *Machine) acceptSummary(msg messenger.Summary) {
	if msg.Region == m.self.Region || !msg.Address.IsValid() {
		return
	}
	m.emit(SummaryReceived{Summary: msg})
	switch {
	case msg.Version > m.version:
		m.emit(NewerVersionReported{Version: msg.Version, From: msg.Address})
	case msg.Version < m.version && !m.left:
		// Tells the other region of the newer version at once.
		m.sendWithoutRumours(msg.Address, m.summary())
	}
}
