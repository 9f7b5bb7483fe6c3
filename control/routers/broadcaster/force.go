package broadcaster

import (
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// maxForces bounds the entries that are measured at a time, at a few times the nodes of
// the design size.
const maxForces = 2048

// forces measures how long changes take from the answer that carries them until they are
// in force at an entry, which its next poll shows. Both times are of this replica, as the
// clocks of VMs differ.
type forces struct {
	clock   timer.Service
	elapsed *reporter.Histogram

	mu       sync.Mutex
	expected map[string]expectation
}

type expectation struct {
	index uint64
	since time.Time
}

func newForces(clock timer.Service, elapsed *reporter.Histogram) *forces {
	return &forces{clock: clock, elapsed: elapsed, expected: make(map[string]expectation)}
}

// expect notes an answer with changes.
func (f *forces) expect(entry string, answer encoding) {
	if entry == "" || len(answer.batch.Data) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.expected) >= maxForces {
		clear(f.expected)
	}
	f.expected[entry] = expectation{index: answer.reached, since: f.clock.Now()}
}

// confirm notes what an entry has.
func (f *forces) confirm(entry string, index uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.expected[entry]; ok && index >= e.index {
		f.elapsed.Observe(f.clock.Now().Sub(e.since))
		delete(f.expected, entry)
	}
}
