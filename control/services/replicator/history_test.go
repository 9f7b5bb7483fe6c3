package replicator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a swap, which returns the previous value, or a read.
type operation struct {
	Key   string
	Value string
	Read  bool
}

type outcome struct {
	value string
	known bool
}

type history []porcupine.Operation

// registers is the sequential model: one register for each key.
var registers = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range all {
			key := op.Input.(operation).Key
			byKey[key] = append(byKey[key], op)
		}
		parts := make([][]porcupine.Operation, 0, len(byKey))
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(operation), output.(outcome)
		ok := !out.known || out.value == state.(string)
		if in.Read {
			return ok, state
		}
		return ok, in.Value
	},
}

// check returns whether the history is linearizable.
func (h history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registers, h, 20*time.Second)
}

// call is an operation that waits for its outcome.
type call struct {
	client *client
	node   *node
	id     uint64
	in     operation
	began  time.Duration
	term   uint64
	index  uint64
	done   bool
}

// finish records the operation. One with an unknown outcome may take effect at
// any later time.
func (c *call) finish(w *world, value string, known bool) {
	if c == nil || c.done {
		return
	}
	c.end()
	op := porcupine.Operation{ClientId: c.client.id, Input: c.in, Call: int64(c.began), Output: outcome{value: value, known: known}, Return: int64(w.now)}
	if !known {
		op.Return = math.MaxInt64
		c.client.unknown++
		if c.in.Read {
			return
		}
	}
	w.history = append(w.history, op)
}

// refuse drops the operation, which claims that it has no effect, and turns to
// the leader if it is named.
func (c *call) refuse(w *world, err error) {
	if c == nil || c.done {
		return
	}
	c.end()
	c.client.target = w.rng.IntN(len(w.nodes))
	var notLeader ErrNotLeader
	if errors.As(err, &notLeader) {
		// A leader that was replaced for good is still named for a while.
		if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == notLeader.Leader }); i >= 0 {
			c.client.target = i
		}
	}
}

func (c *call) end() {
	c.done = true
	c.client.open = nil
	delete(c.node.byID, c.id)
}

// client runs one operation after the other, at most limit.
type client struct {
	id      int
	target  int
	open    *call
	limit   int
	unknown int
	nextAt  time.Duration
}

func (w *world) addClients(n, limit int) {
	for range n {
		w.clients = append(w.clients, &client{id: len(w.clients), limit: limit})
	}
}

func (c *client) tick(w *world) {
	if c.open != nil && w.now-c.open.began > 2*time.Second {
		c.open.finish(w, "", false)
		c.target = w.rng.IntN(len(w.nodes))
	}
	// Each unknown outcome multiplies the work of the checker.
	if c.open != nil || c.limit == 0 || c.unknown > 6 || w.now < c.nextAt {
		return
	}
	n := w.nodes[c.target]
	if n.machine == nil || n.frozen {
		c.target = w.rng.IntN(len(w.nodes))
		return
	}
	c.limit--
	c.nextAt = w.now + time.Duration(w.rng.Int64N(int64(300*time.Millisecond)))
	w.seq++
	in := operation{Key: fmt.Sprint("k", w.rng.IntN(4)), Value: fmt.Sprint(w.seq), Read: w.rng.IntN(3) == 0}
	c.open = &call{client: c, node: n, id: w.seq, in: in, began: w.now}
	n.byID[w.seq] = c.open
	if !in.Read {
		command, _ := json.Marshal(in)
		w.step(n, Propose{Now: w.clock(n), ID: w.seq, Command: command})
		return
	}
	if w.mutation.readWithoutAsk && n.machine.role == RoleLeader {
		c.open.finish(w, n.values[in.Key], true)
		return
	}
	w.step(n, Read{Now: w.clock(n), ID: w.seq})
}
