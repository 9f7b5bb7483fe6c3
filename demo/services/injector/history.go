package injector

import (
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the search for a linear order.
const checkTimeout = 10 * time.Second

// Head is the configuration in force: its version and the plan that made it.
type Head struct {
	Version uint64
	Plan    string
}

// Call is a request of an operator and what its answer tells. Plan is empty for
// requests that change nothing.
type Call struct {
	// Plan was confirmed as the version after Base.
	Plan string
	Base uint64
	// Version is the one in force after the request.
	Version uint64
	// Seen is the plan that made Version, if the answer names it.
	Seen string
}

// span is the time of a call in nanoseconds since 1970.
type span struct {
	client          int
	began, answered int64
}

// History records calls. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	calls []Call
	times []span
}

// Add records a call of a client that began and has been answered.
func (h *History) Add(client int, began time.Time, call Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
	h.times = append(h.times, span{client: client, began: began.UnixNano(), answered: time.Now().UnixNano()})
}

// Calls returns the recorded calls.
func (h *History) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.calls)
}

// IsLinearizable reports whether some order of the calls, each at one moment
// between its start and its answer, explains all answers from the first head on
// (Herlihy and Wing, 1990). It returns false if the search takes too long.
func (h *History) IsLinearizable(first Head) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	operations := make([]porcupine.Operation, 0, len(h.calls))
	for i, t := range h.times {
		operations = append(operations, porcupine.Operation{ClientId: t.client, Input: h.calls[i], Call: t.began, Return: t.answered})
	}
	model := porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, _ any) (bool, any) {
			head, known := state.(Head)
			call, isCall := input.(Call)
			if !known || !isCall {
				return false, state
			}
			if call.Plan != "" {
				return call.Base == head.Version && call.Version == head.Version+1, Head{Version: call.Version, Plan: call.Plan}
			}
			return call.Version == head.Version && (call.Seen == "" || call.Seen == head.Plan), head
		},
	}
	return porcupine.CheckOperationsTimeout(model, operations, checkTimeout) == porcupine.Ok
}

// FindDoubleWinners returns the base versions from which several plans were
// confirmed.
func (h *History) FindDoubleWinners() []uint64 {
	winners := make(map[uint64]int)
	var double []uint64
	for _, c := range h.Calls() {
		if c.Plan == "" {
			continue
		}
		if winners[c.Base]++; winners[c.Base] == 2 {
			double = append(double, c.Base)
		}
	}
	return double
}
