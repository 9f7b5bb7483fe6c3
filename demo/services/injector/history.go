package injector

import (
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the linearizability check.
const checkTimeout = 10 * time.Second

// Head is the configuration in force: its version and the plan that made it.
type Head struct {
	Version uint64
	Plan    string
}

// Call is an operator's request with the contents of its answer. Plan is empty for requests
// that change nothing.
type Call struct {
	// Plan was confirmed as the version after Base.
	Plan string
	Base uint64
	// Version is the one in force after the request.
	Version uint64
	// SeenPlan is the plan that made Version, if the answer names it.
	SeenPlan string
}

// interval is the time from the start of a call to its answer, in nanoseconds since 1970.
type interval struct {
	client          int
	began, answered int64
}

// History records calls. It is safe for concurrent use.
type History struct {
	mu    sync.Mutex
	calls []Call
	times []interval
}

// Add records a call of a client that began and has been answered.
func (h *History) Add(client int, began time.Time, call Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
	h.times = append(h.times, interval{client: client, began: began.UnixNano(), answered: time.Now().UnixNano()})
}

// Calls returns the recorded calls.
func (h *History) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.calls)
}

// IsLinearizable reports whether the history is linearizable (Herlihy and Wing, 1990): whether
// the calls can be ordered, each at one point between its start and its answer, so that all
// answers follow from the first head. It returns false if the check takes longer than
// checkTimeout.
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
			return call.Version == head.Version && (call.SeenPlan == "" || call.SeenPlan == head.Plan), head
		},
	}
	return porcupine.CheckOperationsTimeout(model, operations, checkTimeout) == porcupine.Ok
}

// FindConflictingBases returns the base versions from which more than one plan was confirmed.
func (h *History) FindConflictingBases() []uint64 {
	confirmed := make(map[uint64]int)
	var conflicting []uint64
	for _, c := range h.Calls() {
		if c.Plan == "" {
			continue
		}
		if confirmed[c.Base]++; confirmed[c.Base] == 2 {
			conflicting = append(conflicting, c.Base)
		}
	}
	return conflicting
}
