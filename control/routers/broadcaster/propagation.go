package broadcaster

import (
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// maxPendingAnswers bounds the entries that are measured at a time, to a few times the number
// of nodes of the design size.
const maxPendingAnswers = 2048

// propagation measures the time from the answer that carries changes until the next poll of
// the entry, which confirms that they are in force there. Both times are taken on this replica,
// because the clocks of VMs differ.
type propagation struct {
	clock   timer.Service
	elapsed *reporter.Histogram

	mu      sync.Mutex
	pending map[string]pendingAnswer
}

type pendingAnswer struct {
	index  uint64
	sentAt time.Time
}

func newPropagation(clock timer.Service, elapsed *reporter.Histogram) *propagation {
	return &propagation{clock: clock, elapsed: elapsed, pending: make(map[string]pendingAnswer)}
}

// recordAnswer records when an answer with changes is sent.
func (p *propagation) recordAnswer(entry string, answer encodedAnswer) {
	if entry == "" || len(answer.batch.Data) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) >= maxPendingAnswers {
		clear(p.pending)
	}
	p.pending[entry] = pendingAnswer{index: answer.toIndex, sentAt: p.clock.Now()}
}

// recordPoll records the index that an entry has applied.
func (p *propagation) recordPoll(entry string, index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.pending[entry]; ok && index >= e.index {
		p.elapsed.Observe(p.clock.Now().Sub(e.sentAt))
		delete(p.pending, entry)
	}
}
