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

// operation is a read, or a swap that returns the previous value.
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

// registers is the sequential model of the checker: one register per key.
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

// check returns whether the history is linearizable, or unknown after 20 s.
func (h history) check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registers, h, 20*time.Second)
}

// call is an operation and the state of its request.
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

// finish records the operation in the history. An operation with an unknown outcome may take
// effect at any later time.
func (c *call) finish(sim *simulation, value string, known bool) {
	if c == nil || c.done {
		return
	}
	c.end()
	op := porcupine.Operation{ClientId: c.client.id, Input: c.in, Call: int64(c.began), Output: outcome{value: value, known: known}, Return: int64(sim.now)}
	if !known {
		op.Return = math.MaxInt64
		c.client.unknown++
		if c.in.Read {
			return
		}
	}
	sim.history = append(sim.history, op)
}

// refuse drops the operation, because a refused one must have no effect. The client tries the
// leader next if the error names one.
func (c *call) refuse(sim *simulation, err error) {
	if c == nil || c.done {
		return
	}
	c.end()
	c.client.target = sim.rng.IntN(len(sim.nodes))
	var notLeader ErrNotLeader
	if errors.As(err, &notLeader) {
		// The error may still name a leader that no longer exists.
		if i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == notLeader.Leader }); i >= 0 {
			c.client.target = i
		}
	}
}

func (c *call) end() {
	c.done = true
	c.client.open = nil
	delete(c.node.byID, c.id)
}

// client runs up to limit operations, one after the other.
type client struct {
	id      int
	target  int
	open    *call
	limit   int
	unknown int
	nextAt  time.Duration
}

func (sim *simulation) addClients(n, limit int) {
	for range n {
		sim.clients = append(sim.clients, &client{id: len(sim.clients), limit: limit})
	}
}

func (c *client) tick(sim *simulation) {
	if c.open != nil && sim.now-c.open.began > 2*time.Second {
		c.open.finish(sim, "", false)
		c.target = sim.rng.IntN(len(sim.nodes))
	}
	// Each unknown outcome multiplies the run time of the checker.
	if c.open != nil || c.limit == 0 || c.unknown > 6 || sim.now < c.nextAt {
		return
	}
	n := sim.nodes[c.target]
	if n.machine == nil || n.paused {
		c.target = sim.rng.IntN(len(sim.nodes))
		return
	}
	c.limit--
	c.nextAt = sim.now + time.Duration(sim.rng.Int64N(int64(300*time.Millisecond)))
	sim.seq++
	in := operation{Key: fmt.Sprint("k", sim.rng.IntN(4)), Value: fmt.Sprint(sim.seq), Read: sim.rng.IntN(3) == 0}
	c.open = &call{client: c, node: n, id: sim.seq, in: in, began: sim.now}
	n.byID[sim.seq] = c.open
	if !in.Read {
		command, _ := json.Marshal(in)
		sim.step(n, Propose{Now: sim.clock(n), ID: sim.seq, Command: command})
		return
	}
	if sim.mutation.readWithoutQuorum && n.machine.role == RoleLeader {
		c.open.finish(sim, n.values[in.Key], true)
		return
	}
	sim.step(n, Read{Now: sim.clock(n), ID: sim.seq})
}
