package broadcaster

import (
	service "github.com/redwingledge/redwingledge/control/services/director"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// maxCachedAnswers bounds the cached answers. Most entries poll from the newest index,
// those that have just started from 0, and a few from one or two changes before the newest.
const maxCachedAnswers = 8

// encodedAnswer is the encoded answer to all polls from one index.
type encodedAnswer struct {
	fromIndex, toIndex uint64
	isComplete         bool
	batch              director.Batch
}

// answerCache holds the encoded answers of one state machine at one index.
type answerCache struct {
	machine *service.Machine
	toIndex uint64
	answers []encodedAnswer
}

// find returns the cached answer to polls from an index, if it is that of the newest state.
func (c *answerCache) find(machine *service.Machine, toIndex, fromIndex uint64) (encodedAnswer, bool) {
	if c.machine != machine || c.toIndex != toIndex {
		return encodedAnswer{}, false
	}
	for _, answer := range c.answers {
		if answer.fromIndex == fromIndex {
			return answer, true
		}
	}
	return encodedAnswer{}, false
}

// add caches an answer, and evicts the answers of an older state.
func (c *answerCache) add(machine *service.Machine, answer encodedAnswer) {
	if c.machine != machine || c.toIndex != answer.toIndex {
		*c = answerCache{machine: machine, toIndex: answer.toIndex}
	}
	if len(c.answers) < maxCachedAnswers {
		c.answers = append(c.answers, answer)
	}
}

// encode returns the encoded changes after an index. They are encoded once for all entries
// that poll from the same index.
func (b *Broadcaster) encode(machine *service.Machine, fromIndex uint64) (encodedAnswer, error) {
	b.encodeMu.Lock()
	defer b.encodeMu.Unlock()
	if cached, ok := b.answers.find(machine, machine.Index(), fromIndex); ok {
		b.counters.Int("answers_encoded_before").Add(1)
		return cached, nil
	}
	changes, toIndex, isComplete := machine.ChangesSince(fromIndex)
	batch, err := director.EncodeBatch(changes)
	if err != nil {
		return encodedAnswer{}, err
	}
	answer := encodedAnswer{fromIndex: fromIndex, toIndex: toIndex, isComplete: isComplete, batch: batch}
	if len(changes) > 0 {
		b.answers.add(machine, answer)
	}
	return answer, nil
}
