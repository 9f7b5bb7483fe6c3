package broadcaster

import (
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// maxPropagations bounds the entries that are measured at a time, at a few times the nodes of
// the design size.
const maxPropagations = 2048

// propagation measures how long changes take from the answer that carries them until they are
// in force at an entry, which its next poll shows. Both times are of this replica, as the
// clocks of VMs differ.
type propagation struct {
	clock   timer.Service
	elapsed *reporter.Histogram

	mu       sync.Mutex
	expected map[string]expectation
}

type expectation struct {
	index uint64
	since time.Time
}

func newPropagation(clock timer.Service, elapsed *reporter.Histogram) *propagation {
	return &propagation{clock: clock, elapsed: elapsed, expected: make(map[string]expectation)}
}

// expect notes an answer with changes.
func (p *propagation) expect(entry string, answer encoding) {
	if entry == "" || len(answer.batch.Data) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.expected) >= maxPropagations {
		clear(p.expected)
	}
	p.expected[entry] = expectation{index: answer.reached, since: p.clock.Now()}
}

// confirm notes what an entry has.
func (p *propagation) confirm(entry string, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.expected[entry]; ok && index >= e.index {
		p.elapsed.Observe(p.clock.Now().Sub(e.since))
		delete(p.expected, entry)
	}
}
