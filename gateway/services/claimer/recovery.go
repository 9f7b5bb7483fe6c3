package claimer

import (
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

const (
	// copyRetryInterval is the wait before a peer that did not answer is asked again.
	copyRetryInterval = 500 * time.Millisecond
	// maxPageBytes is the size after which a page of keys ends; gRPC accepts
	// messages of up to 4 MiB by default.
	maxPageBytes = 1 << 20
)

// recovery is the state of copying, after a start, the claims that an earlier
// process of this gateway may have granted.
type recovery struct {
	started time.Time
	copies  map[string]*copyState
}

// copyState is the progress of the copy from one peer.
type copyState struct {
	// epoch identifies the process that the cursor belongs to.
	epoch       uint64
	cursor      uint64
	lastRequest time.Time
	done        bool
}

// isRecoveredForAll reports whether isRecovered holds for every key: the copies
// of so few peers are missing that enough are complete in every group.
func (m *Machine) isRecoveredForAll(now time.Time) bool {
	if now.Sub(m.recovery.started) >= m.settings.claimedLifetime() {
		return true
	}
	if len(m.lists) == 0 {
		return false
	}
	isListed := false
	for _, l := range m.lists {
		if !contains(l.gateways, m.settings.Self) {
			continue
		}
		isListed = true
		size := min(groupSize, len(l.gateways))
		if m.countMissingCopies(l.gateways) > max(0, m.majority(size)-2) {
			return false
		}
		if size == 1 && !m.settings.FirstStart {
			return false
		}
	}
	return isListed
}

// countMissingCopies counts the other gateways from which no copy is complete.
func (m *Machine) countMissingCopies(gateways []viewer.Gateway) int {
	count := 0
	for _, g := range gateways {
		if c := m.recovery.copies[g.Name]; g.Name != m.settings.Self && (c == nil || !c.done) {
			count++
		}
	}
	return count
}

func contains(gateways []viewer.Gateway, name string) bool {
	return slices.ContainsFunc(gateways, func(g viewer.Gateway) bool { return g.Name == name })
}

// isRecovered reports whether this member knows every claim on the key that a
// majority may have granted: it has copied from so many other members of each
// group that every majority that included this member includes one of them.
func (m *Machine) isRecovered(now time.Time, key messenger.Key) bool {
	if m.isRecoveredForAll(now) {
		return true
	}
	isMember := false
	for _, group := range m.lists.groups(key) {
		if !contains(group, m.settings.Self) {
			continue
		}
		isMember = true
		copied := 0
		for _, g := range group {
			if c := m.recovery.copies[g.Name]; c != nil && c.done {
				copied++
			}
		}
		if copied < len(group)-m.majority(len(group))+1 {
			return false
		}
	}
	return isMember
}

// peers returns the other gateways of all lists.
func (m *Machine) peers() []viewer.Gateway {
	groups := make([][]viewer.Gateway, 0, len(m.lists))
	for _, l := range m.lists {
		groups = append(groups, l.gateways)
	}
	return slices.DeleteFunc(members(groups), func(g viewer.Gateway) bool { return g.Name == m.settings.Self })
}

func (m *Machine) requestCopies(now time.Time) []Output {
	if now.Sub(m.recovery.started) < 2*m.settings.RoundTimeout || m.isRecoveredForAll(now) {
		return nil
	}
	var out []Output
	for _, g := range m.peers() {
		c := m.recovery.copies[g.Name]
		if c == nil {
			c = &copyState{}
			m.recovery.copies[g.Name] = c
		}
		if c.done || now.Sub(c.lastRequest) < copyRetryInterval {
			continue
		}
		out = append(out, m.requestCopy(now, g, c))
	}
	return out
}

func (m *Machine) requestCopy(now time.Time, to viewer.Gateway, c *copyState) Output {
	c.lastRequest = now
	return SendHandOver{To: to, Request: messenger.HandOverRequest{From: m.settings.Self, WantsPage: true, Cursor: c.cursor, EvenIfRecovering: m.settings.FirstStart}}
}

func (m *Machine) receiveCopy(now time.Time, in HandOverAnswered) []Output {
	c := m.recovery.copies[in.From]
	if c == nil || c.done || in.Cursor != c.cursor {
		return nil
	}
	if in.Answer.Recovering && !m.settings.FirstStart {
		return nil
	}
	if c.cursor != 0 && in.Answer.Epoch != c.epoch {
		// The peer has restarted between two pages; start again at its first page.
		c.cursor = 0
		return nil
	}
	c.epoch = in.Answer.Epoch
	for _, l := range in.Answer.Lists {
		m.lists = m.lists.withLearned(l.Gateways, now.Add(m.settings.claimedLifetime()+m.settings.ViewSpread))
	}
	for _, k := range in.Answer.Keys {
		if !m.store.merge(now, k) {
			return nil
		}
	}
	c.cursor = in.Answer.Cursor
	if !in.Answer.More {
		c.done = true
		return nil
	}
	for _, g := range m.peers() {
		if g.Name == in.From {
			return []Output{m.requestCopy(now, g, c)}
		}
	}
	return nil
}

// answerHandOver merges pushed keys and, if the peer asks for a copy, answers
// with a page of the keys whose group includes the peer.
func (m *Machine) answerHandOver(now time.Time, req messenger.HandOverRequest) messenger.HandOverAnswer {
	for _, k := range req.Keys {
		m.store.merge(now, k)
	}
	if !req.WantsPage {
		return messenger.HandOverAnswer{}
	}
	answer := messenger.HandOverAnswer{Epoch: m.epoch, Recovering: !m.isRecoveredForAll(now), Cursor: req.Cursor, Lists: m.lists.messages()}
	if answer.Recovering && !req.EvenIfRecovering {
		return answer
	}
	size := 0
	for _, e := range m.store.createdAfter(now, req.Cursor) {
		if size >= maxPageBytes {
			answer.More = true
			break
		}
		answer.Cursor = e.sequence
		if m.isGroupMember(req.From, e.key) {
			answer.Keys = append(answer.Keys, e.message(now))
			size += e.size()
		}
	}
	return answer
}

func (m *Machine) isGroupMember(name string, key messenger.Key) bool {
	return contains(members(m.lists.groups(key)), name)
}

// pushAll sends all keys to the other members of their groups, so that as many
// copies remain after a planned stop as before.
func (m *Machine) pushAll(now time.Time) []Output {
	entries := m.store.createdAfter(now, 0)
	var out []Output
	for _, g := range m.peers() {
		req := messenger.HandOverRequest{From: m.settings.Self}
		size := 0
		for _, e := range entries {
			if !m.isGroupMember(g.Name, e.key) {
				continue
			}
			req.Keys = append(req.Keys, e.message(now))
			if size += e.size(); size >= maxPageBytes {
				out = append(out, SendHandOver{To: g, Request: req})
				req, size = messenger.HandOverRequest{From: m.settings.Self}, 0
			}
		}
		if len(req.Keys) > 0 {
			out = append(out, SendHandOver{To: g, Request: req})
		}
	}
	return out
}

func (e *entry) size() int {
	size := 128 + len(e.key.Service) + len(e.key.ClientAccount) + len(e.key.Key) + 64*len(e.claims)
	if e.outcome != nil {
		size += e.outcome.Size()
	}
	return size
}
