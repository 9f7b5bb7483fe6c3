package gossiper

import (
	"slices"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/modules/hasher"
	"github.com/redwingledge/redwingledge/shared/modules/ranker"
)

// Speakers is the number of entries of a data centre that talk to control and to
// other regions for it.
const Speakers = 2

// IsSpeaker reports whether the named entry is one of the first live entries of
// its data centre in rendezvous order.
func IsSpeaker(name, dataCentre string, members []messenger.Member) bool {
	var names []string
	for _, p := range members {
		if p.DataCentre == dataCentre {
			names = append(names, p.Name)
		}
	}
	ranked := ranker.Rank(names, hasher.String(dataCentre))
	return slices.Contains(ranked[:min(Speakers, len(ranked))], name)
}

// sendSummary tells a random entry of another region of this data centre.
func (m *Machine) sendSummary() {
	if len(m.remotes) == 0 || !m.joined || !IsSpeaker(m.self.Name, m.self.DataCentre, m.announced) {
		return
	}
	m.sendPlain(m.remotes[m.random.IntN(len(m.remotes))], m.summary())
}

func (m *Machine) summary() messenger.Summary {
	summary := messenger.Summary{
		Region: m.self.Region, DataCentre: m.self.DataCentre, Version: m.version,
		Entries: uint32(len(m.nearRing.members) + 1), Address: m.self.Address,
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
	m.emit(SummaryHeard{Summary: msg})
	switch {
	case msg.Version > m.version:
		m.emit(VersionHeard{Version: msg.Version, From: msg.Address})
	case msg.Version < m.version && !m.left:
		// The other region learns the newer version at once.
		m.sendPlain(msg.Address, m.summary())
	}
}
