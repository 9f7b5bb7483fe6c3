package broadcaster

import (
	service "github.com/redwingledge/redwingledge/control/services/director"
	"github.com/redwingledge/redwingledge/shared/models/director"
)

// keptEncodings bounds the answers that are kept: most entries ask from the newest
// index, those that start from 0, and a few from one or two steps before.
const keptEncodings = 8

// encoding is the answer to all polls from one index.
type encoding struct {
	from, reached uint64
	isComplete    bool
	batch         director.Batch
}

// encodings are the answers of one machine at one index.
type encodings struct {
	machine *service.Machine
	reached uint64
	kept    []encoding
}

// find returns the answer to polls from an index, if it is known for the newest state.
func (e *encodings) find(machine *service.Machine, reached, from uint64) (encoding, bool) {
	if e.machine != machine || e.reached != reached {
		return encoding{}, false
	}
	for _, known := range e.kept {
		if known.from == from {
			return known, true
		}
	}
	return encoding{}, false
}

// keep adds an answer, and drops those to an older state.
func (e *encodings) keep(machine *service.Machine, answer encoding) {
	if e.machine != machine || e.reached != answer.reached {
		*e = encodings{machine: machine, reached: answer.reached}
	}
	if len(e.kept) < keptEncodings {
		e.kept = append(e.kept, answer)
	}
}

// encode returns the changes after an index. Each is encoded once for all entries that
// ask from the same one.
func (b *Broadcaster) encode(machine *service.Machine, from uint64) (encoding, error) {
	b.encoding.Lock()
	defer b.encoding.Unlock()
	if known, ok := b.encoded.find(machine, machine.Index(), from); ok {
		b.counters.Int("answers_encoded_before").Add(1)
		return known, nil
	}
	changes, reached, isComplete := machine.Since(from)
	batch, err := director.EncodeBatch(changes)
	if err != nil {
		return encoding{}, err
	}
	answer := encoding{from: from, reached: reached, isComplete: isComplete, batch: batch}
	if len(changes) > 0 {
		b.encoded.keep(machine, answer)
	}
	return answer, nil
}
