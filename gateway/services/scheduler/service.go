package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/hedger"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// ringSize is the maximum number of inputs that wait for the Machine.
	ringSize = 16384
	// pushRetryInterval is the wait before an input that must not be lost is offered to a full
	// ring again.
	pushRetryInterval = time.Millisecond
)

// Sender sends a slot request or a probe to another gateway and waits for the answer.
type Sender interface {
	GrantSlots(ctx context.Context, to string, req messenger.GrantRequest) (messenger.GrantAnswer, error)
}

// ErrRefused is returned by Acquire for a request that cannot start.
type ErrRefused struct {
	Reason     recorder.Reason
	RetryAfter time.Duration
}

// Error returns the message of the error.
func (e ErrRefused) Error() string { return "request refused: " + string(e.Reason) }

// ErrWithheld is returned by AcquireSecond if no slot may be used for a second attempt.
type ErrWithheld struct{ Reason hedger.Reason }

// Error returns the message of the error.
func (e ErrWithheld) Error() string { return "second attempt withheld: " + string(e.Reason) }

// Service runs a Machine in one goroutine.
type Service struct {
	machine    *Machine
	clock      timer.Service
	sender     Sender
	ring       *buffer.Ring[Input]
	stop       context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup

	mu         sync.Mutex
	lastID     uint64
	waiters    map[uint64]chan Output
	grantCalls map[uint64]chan messenger.GrantAnswer
}

// NewService returns a Service. Run starts it.
func NewService(machine *Machine, clock timer.Service, sender Sender) *Service {
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		machine: machine, clock: clock, sender: sender, ring: buffer.NewRing[Input](ringSize),
		ctx: ctx, stop: stop,
		waiters: make(map[uint64]chan Output), grantCalls: make(map[uint64]chan messenger.GrantAnswer),
	}
}

// Run starts the goroutines of the service.
func (s *Service) Run() {
	s.goroutines.Go(func() {
		for {
			input, ok := s.ring.Pop()
			if !ok {
				return
			}
			for _, out := range s.machine.Step(s.clock.Now(), input) {
				s.perform(out)
			}
		}
	})
	s.goroutines.Go(func() {
		sub := s.clock.Subscribe("scheduler", TickPeriod)
		defer sub.Cancel()
		for {
			select {
			case <-s.ctx.Done():
				return
			case <-sub.C:
				s.ring.TryPush(Tick{})
			}
		}
	})
}

// Close stops the goroutines and waits for them. No request may be waiting.
func (s *Service) Close() {
	s.stop()
	s.ring.Close()
	s.goroutines.Wait()
}

// Push delivers an input that must not be lost. It blocks while the ring is full, unless the
// service is closed.
func (s *Service) Push(input Input) {
	for !s.ring.TryPush(input) && s.ctx.Err() == nil {
		time.Sleep(pushRetryInterval)
	}
}

// Acquire waits for a slot for a request. It returns an ErrRefused if the request cannot start
// before its deadline, if its queue is full or if its service has no backend server, and the
// error of ctx if that ends first.
func (s *Service) Acquire(ctx context.Context, service, clientAccount string, arrived, deadline time.Time, retry bool) (leaseholder.Slot, error) {
	id, result := s.addWaiter()
	item := queuer.Item{Request: id, ClientAccount: clientAccount, Deadline: deadline, Arrived: arrived}
	if !s.ring.TryPush(RequestQueued{Service: service, Item: item, Retry: retry}) {
		s.removeWaiter(id)
		return leaseholder.Slot{}, ErrRefused{Reason: recorder.ReasonQueueFull, RetryAfter: time.Second}
	}
	select {
	case out := <-result:
		return s.toSlot(out)
	case <-ctx.Done():
	}
	if s.removeWaiter(id) {
		s.Push(RequestCancelled{Service: service, Request: id})
		return leaseholder.Slot{}, ctx.Err()
	}
	return leaseholder.Slot{}, s.returnUnused(<-result, ctx.Err())
}

// AcquireSecond returns a slot for the second attempt of a request whose first attempt runs at
// the given backend server. It waits for the answers of owners, but not for a slot to become free:
// it returns an ErrWithheld if no slot of another backend server is free, or if requests wait for
// slots. It returns the error of ctx if that ends first.
func (s *Service) AcquireSecond(ctx context.Context, first announcer.ID) (leaseholder.Slot, error) {
	id, result := s.addWaiter()
	if !s.ring.TryPush(SecondSlotRequested{Request: id, First: first}) {
		s.removeWaiter(id)
		return leaseholder.Slot{}, ErrWithheld{Reason: hedger.ReasonRequestsWait}
	}
	select {
	case out := <-result:
		return s.toSlot(out)
	case <-ctx.Done():
	}
	if s.removeWaiter(id) {
		s.Push(RequestCancelled{Service: first.Service, Request: id})
		return leaseholder.Slot{}, ctx.Err()
	}
	return leaseholder.Slot{}, s.returnUnused(<-result, ctx.Err())
}

// returnUnused returns the slot of a request whose caller no longer waits, and cause.
func (s *Service) returnUnused(out Output, cause error) error {
	if slot, err := s.toSlot(out); err == nil {
		s.Push(SlotReturned{Slot: slot, Result: leaseholder.ResultUnused})
	}
	return cause
}

// addWaiter registers a request that waits for a slot.
func (s *Service) addWaiter() (uint64, <-chan Output) {
	result := make(chan Output, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.waiters[s.lastID] = result
	return s.lastID, result
}

// Return releases a slot from Acquire.
func (s *Service) Return(slot leaseholder.Slot, result leaseholder.Result, latency time.Duration) {
	s.Push(SlotReturned{Slot: slot, Result: result, Latency: latency})
}

// Grant answers another gateway's slot request or probe.
func (s *Service) Grant(ctx context.Context, req messenger.GrantRequest) (messenger.GrantAnswer, error) {
	answer := make(chan messenger.GrantAnswer, 1)
	s.mu.Lock()
	s.lastID++
	id := s.lastID
	s.grantCalls[id] = answer
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.grantCalls, id)
		s.mu.Unlock()
	}()
	s.Push(GrantRequested{Call: id, Request: req})
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return messenger.GrantAnswer{}, ctx.Err()
	case <-s.ctx.Done():
		return messenger.GrantAnswer{}, context.Canceled
	}
}

func (s *Service) toSlot(out Output) (leaseholder.Slot, error) {
	switch o := out.(type) {
	case Start:
		return o.Slot, nil
	case Refuse:
		return leaseholder.Slot{}, ErrRefused{Reason: o.Reason, RetryAfter: o.RetryAfter}
	case Withhold:
		return leaseholder.Slot{}, ErrWithheld{Reason: o.Reason}
	default:
		return leaseholder.Slot{}, ErrRefused{Reason: recorder.ReasonStopping}
	}
}

// removeWaiter removes a waiter. It returns false if the result has already been delivered.
func (s *Service) removeWaiter(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.waiters[id]
	delete(s.waiters, id)
	return ok
}

func (s *Service) resolve(id uint64, out Output) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiter, ok := s.waiters[id]
	if ok {
		delete(s.waiters, id)
		waiter <- out
	}
	return ok
}

func (s *Service) perform(output Output) {
	switch out := output.(type) {
	case Start:
		if !s.resolve(out.Request, out) {
			// The caller no longer waits. This goroutine is the only consumer of the ring, so
			// calling Push while the ring is full would block it forever.
			for _, more := range s.machine.Step(s.clock.Now(), SlotReturned{Slot: out.Slot, Result: leaseholder.ResultUnused}) {
				s.perform(more)
			}
		}
	case Refuse:
		s.resolve(out.Request, out)
	case Withhold:
		s.resolve(out.Request, out)
	case AnswerGrant:
		s.mu.Lock()
		if call := s.grantCalls[out.Call]; call != nil {
			call <- out.Answer
			delete(s.grantCalls, out.Call)
		}
		s.mu.Unlock()
	case SendGrantRequest:
		s.goroutines.Go(func() { s.send(out) })
	}
}

func (s *Service) send(out SendGrantRequest) {
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	answer, err := s.sender.GrantSlots(ctx, out.To, out.Request)
	if err != nil {
		ids := make([]announcer.ID, 0, len(out.Request.Demands))
		for _, d := range out.Request.Demands {
			ids = append(ids, d.ID)
		}
		s.Push(GrantFailed{From: out.To, Sequence: out.Request.Sequence, IDs: ids})
		return
	}
	s.Push(GrantAnswered{From: out.To, Sequence: out.Request.Sequence, Answer: answer})
}
