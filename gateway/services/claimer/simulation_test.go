package claimer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

// simulation runs gateways in virtual time under faults and records a history
// of submissions and executions.
type simulation struct {
	rng        *rand.Rand
	now        time.Time
	events     eventQueue
	lastOrder  uint64
	nodes      map[string]*node
	names      []string
	partitions map[[2]string]time.Time
	reliable   bool

	submissions []*submission
	executions  []execution

	// Wrong decisions, to show that the checker finds them.
	majority   func(int) int
	firstStart bool
	skipClaim  bool
	// killOften restarts processes often, so that a wrong recovery is likely to show.
	killOften bool
}

type node struct {
	name        string
	machine     *Machine
	generation  int
	pausedUntil time.Time
	list        []viewer.Gateway
	requests    map[uint64]*submission
}

// submission is one request from a caller to a gateway.
type submission struct {
	id       uint64
	node     string
	key      messenger.Key
	body     byte
	sent     time.Time
	deadline time.Time
	outcome  recorder.Outcome
	answered time.Time
}

// execution is one run of a request at a backend server.
type execution struct {
	submission *submission
	at         time.Time
	number     int
}

type event struct {
	at    time.Time
	order uint64
	node  string
	// generation is the process of the node that the event belongs to; -1 is any.
	generation int
	run        func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	simLifetime = 20 * time.Second
	simDeadline = 2 * time.Second
	simSpread   = 200 * time.Millisecond
	simTick     = 50 * time.Millisecond
	// resendWindow is the time within which callers send a key again.
	resendWindow = 5 * time.Second
)

func newSimulation(seed uint64, gateways int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		nodes: make(map[string]*node), partitions: make(map[[2]string]time.Time), majority: majority,
	}
	for i := range gateways {
		name := fmt.Sprintf("g%d", i)
		s.names = append(s.names, name)
		s.nodes[name] = &node{name: name}
	}
	list := s.list(s.names...)
	for _, name := range s.names {
		s.nodes[name].list = list
		s.start(name, true)
	}
	return s
}

func (s *simulation) list(names ...string) []viewer.Gateway {
	list := make([]viewer.Gateway, 0, len(names))
	for _, name := range names {
		list = append(list, viewer.Gateway{Name: name, DataCentre: "dc" + name[len(name)-1:]})
	}
	return list
}

// start replaces the process of a gateway by a new one without stored claims.
func (s *simulation) start(name string, first bool) {
	n := s.nodes[name]
	n.generation++
	n.pausedUntil = time.Time{}
	n.requests = make(map[uint64]*submission)
	n.machine = New(Settings{
		Self: name, MaxDeadline: simDeadline, OutcomeLifetime: simLifetime, RoundTimeout: 200 * time.Millisecond, ViewSpread: simSpread,
		MaxKeys: 1000, MaxBytes: 1 << 20, MaxPending: 100, FirstStart: first || s.firstStart,
	}, s.now, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	n.machine.majority = s.majority
	if first {
		n.machine.recovery.started = s.now.Add(-time.Hour)
	}
	s.step(n, ListChanged{Gateways: n.list})
	s.tick(n, n.generation)
}

func (s *simulation) tick(n *node, generation int) {
	s.schedule(simTick, n.name, generation, func() {
		s.step(n, Tick{})
		s.tick(n, generation)
	})
}

// schedule runs a function after a delay. A paused process runs it when it
// resumes; a process that was replaced meanwhile does not run it.
func (s *simulation) schedule(delay time.Duration, name string, generation int, run func()) {
	s.lastOrder++
	heap.Push(&s.events, &event{at: s.now.Add(delay), order: s.lastOrder, node: name, generation: generation, run: run})
}

func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		n := s.nodes[e.node]
		if n != nil && e.generation >= 0 && e.generation != n.generation {
			continue
		}
		if n != nil && s.now.Before(n.pausedUntil) {
			e.at = n.pausedUntil
			heap.Push(&s.events, e)
			continue
		}
		e.run()
	}
	s.now = end
}

// send delivers a message or reply with random delay, loss and duplication. The
// target may be restarted before the message arrives.
func (s *simulation) send(from, to string, generation int, deliver func()) {
	if s.now.Before(s.partitions[[2]string{from, to}]) {
		return
	}
	copies := 1
	if !s.reliable {
		switch s.rng.IntN(20) {
		case 0:
			return
		case 1:
			copies = 2
		}
	}
	for range copies {
		delay := time.Duration(1+s.rng.IntN(20)) * time.Millisecond
		if !s.reliable && s.rng.IntN(50) == 0 {
			delay = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		s.schedule(delay, to, generation, deliver)
	}
}

func (s *simulation) step(n *node, input Input) {
	for _, output := range n.machine.Step(s.now, input) {
		s.perform(n, output)
	}
}

func (s *simulation) perform(n *node, output Output) {
	generation := n.generation
	switch out := output.(type) {
	case ClaimHeld:
		s.dispatchLater(n, out.Request)
	case RequestDecided:
		if s.skipClaim {
			if _, ok := out.Outcome.(recorder.FailedMayHaveRun); ok {
				s.dispatchLater(n, out.Request)
				return
			}
		}
		s.answer(n, out.Request, out.Outcome)
	case SendClaim:
		s.send(n.name, out.To.Name, -1, func() {
			target := s.nodes[out.To.Name]
			for _, reply := range target.machine.Step(s.now, ClaimReceived{Request: out.Claim}) {
				answer := reply.(AnswerClaim).Answer
				s.send(target.name, n.name, generation, func() {
					s.step(n, ClaimAnswered{From: target.name, Request: out.Request, Attempt: out.Claim.Attempt, Answer: answer})
				})
			}
		})
	case SendRecord:
		s.send(n.name, out.To.Name, -1, func() {
			target := s.nodes[out.To.Name]
			s.step(target, RecordReceived{Request: out.Request})
			s.send(target.name, n.name, generation, func() { s.step(n, RecordAcknowledged{From: target.name, Record: out.Record}) })
		})
	case SendHandOver:
		s.send(n.name, out.To.Name, -1, func() {
			target := s.nodes[out.To.Name]
			for _, reply := range target.machine.Step(s.now, HandOverReceived{Request: out.Request}) {
				answer := reply.(AnswerHandOver).Answer
				if !out.Request.WantsPage {
					continue
				}
				s.send(target.name, n.name, generation, func() {
					s.step(n, HandOverAnswered{From: target.name, Cursor: out.Request.Cursor, Answer: answer})
				})
			}
		})
	}
}

// dispatchLater waits for a slot, as the dispatcher does, and checks the
// deadline before it dispatches.
func (s *simulation) dispatchLater(n *node, request uint64) {
	sub := n.requests[request]
	s.schedule(time.Duration(s.rng.IntN(300))*time.Millisecond, n.name, n.generation, func() {
		if s.rng.IntN(8) == 0 || !s.now.Before(sub.deadline) {
			s.finish(n, sub, recorder.RefusedNotRun{Reason: recorder.ReasonDeadline})
			return
		}
		number := len(s.executions)
		s.executions = append(s.executions, execution{submission: sub, at: s.now, number: number})
		s.schedule(time.Duration(s.rng.IntN(200))*time.Millisecond, n.name, n.generation, func() {
			if s.rng.IntN(8) == 0 {
				s.finish(n, sub, recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed})
				return
			}
			s.finish(n, sub, recorder.Completed{Response: recorder.Response{Status: number}})
		})
	})
}

func (s *simulation) finish(n *node, sub *submission, outcome recorder.Outcome) {
	s.step(n, OutcomeKnown{Request: sub.id, Outcome: outcome})
	s.answer(n, sub.id, outcome)
}

func (s *simulation) answer(n *node, request uint64, outcome recorder.Outcome) {
	sub := n.requests[request]
	sub.outcome, sub.answered = outcome, s.now
}

// submit sends a request to a gateway. A paused gateway reads it when it
// resumes. The request is lost when the process that has accepted the connection
// is killed.
func (s *simulation) submit(delay time.Duration, name, key string, body byte) {
	sub := &submission{id: uint64(len(s.submissions) + 1), node: name, key: messenger.Key{Key: key}, body: body, sent: s.now.Add(delay)}
	s.submissions = append(s.submissions, sub)
	s.schedule(delay, "", -1, func() {
		n := s.nodes[name]
		s.schedule(0, name, n.generation, func() {
			n.requests[sub.id] = sub
			sub.deadline = s.now.Add(simDeadline)
			s.step(n, ClaimRequested{Request: sub.id, Key: sub.key, Fingerprint: [32]byte{body}, Deadline: sub.deadline})
		})
	})
}

// check returns the first violation in the history as an error, or nil.
func (s *simulation) check() error {
	byKey := make(map[string][]execution)
	for _, e := range s.executions {
		key := e.submission.key.Key
		byKey[key] = append(byKey[key], e)
		if len(byKey[key]) > 1 {
			return fmt.Errorf("key %s ran twice: %v through %s and %v through %s", key,
				byKey[key][0].at.UnixMilli(), byKey[key][0].submission.node, e.at.UnixMilli(), e.submission.node)
		}
	}
	for _, sub := range s.submissions {
		runs := byKey[sub.key.Key]
		switch o := sub.outcome.(type) {
		case recorder.Completed:
			if len(runs) != 1 || runs[0].number != o.Response.Status || runs[0].submission.body != sub.body {
				return fmt.Errorf("submission %d of key %s got the outcome of another run", sub.id, sub.key.Key)
			}
		case recorder.RefusedNotRun:
			isFalse := slices.ContainsFunc(runs, func(e execution) bool {
				return e.submission == sub || (e.at.Before(sub.sent) && e.submission.body == sub.body)
			})
			if isFalse {
				return fmt.Errorf("submission %d of key %s was refused as not run (%s), but it ran", sub.id, sub.key.Key, o.Reason)
			}
		}
	}
	return nil
}
