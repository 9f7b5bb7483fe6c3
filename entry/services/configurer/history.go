package configurer

import (
	"slices"
	"sync"

	"github.com/redwingledge/redwingledge/entry/models/differ"
	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

// maxHistory is the number of versions kept. A peer that holds one of them gets a delta
// rather than the whole catalog.
const maxHistory = 8

// History holds the latest versions and answers the fetches of peers. It is safe for
// concurrent use.
type History struct {
	mu       sync.Mutex
	versions []*cataloger.Catalog
	// answers caches the answers with the newest catalog by the version that the peer
	// holds.
	answers map[uint64]*messenger.FetchResponse
}

// NewHistory returns an empty History.
func NewHistory() *History { return &History{answers: make(map[uint64]*messenger.FetchResponse)} }

// Add makes c the newest catalog.
func (h *History) Add(c *cataloger.Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, c)
	if extra := len(h.versions) - maxHistory; extra > 0 {
		h.versions = slices.Delete(h.versions, 0, extra)
	}
	clear(h.answers)
}

// Answer returns what a peer that holds the known version needs to reach the newest
// one: a delta, the whole catalog or nothing.
func (h *History) Answer(known uint64) *messenger.FetchResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) == 0 {
		return &messenger.FetchResponse{}
	}
	newest := h.versions[len(h.versions)-1]
	if newest.Version <= known {
		return &messenger.FetchResponse{}
	}
	if answer, ok := h.answers[known]; ok {
		return answer
	}
	answer := &messenger.FetchResponse{Catalog: newest}
	if base := h.find(known); base != nil {
		if delta, ok := differ.Diff(base, newest); ok {
			answer = &messenger.FetchResponse{Delta: delta}
		}
	}
	h.answers[known] = answer
	return answer
}

// Resolve returns the catalog that results from an answer, or nil if there is none. It
// returns false if the answer is a delta that cannot be applied, as when its base
// version is not held.
func (h *History) Resolve(answer *messenger.FetchResponse) (*cataloger.Catalog, bool) {
	if answer.Delta == nil {
		return answer.Catalog, true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c, err := answer.Delta.Apply(h.find(answer.Delta.From))
	return c, err == nil
}

func (h *History) find(version uint64) *cataloger.Catalog {
	for _, c := range h.versions {
		if c.Version == version {
			return c
		}
	}
	return nil
}
