package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// TickPeriod is how often the Machine needs a Tick.
	TickPeriod = 20 * time.Millisecond
	// ringSize bounds the events that wait for the machine.
	ringSize = 16384
	// pushPause is the wait before an event that must not be lost is offered to
	// a full ring again.
	pushPause = time.Millisecond
	// handOverTimeout bounds the transfer of one page of keys.
	handOverTimeout = 5 * time.Second
	// handOverPoll is how often HandOverAll looks whether all is sent.
	handOverPoll = 5 * time.Millisecond
)

// Sender sends a message to another gateway and waits for the answer.
type Sender interface {
	Claim(ctx context.Context, to viewer.Gateway, req messenger.ClaimRequest) (messenger.ClaimAnswer, error)
	Record(ctx context.Context, to viewer.Gateway, req messenger.RecordRequest) error
	HandOver(ctx context.Context, to viewer.Gateway, req messenger.HandOverRequest) (messenger.HandOverAnswer, error)
}

// Service runs a Machine in one goroutine.
type Service struct {
	machine *Machine
	clock   timer.Service
	sender  Sender
	ring    *buffer.Ring[Input]
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
	// sending counts the outcomes and pages of keys on their way.
	sending atomic.Int64

	mu      sync.Mutex
	next    uint64
	waiters map[uint64]chan Output
	calls   map[uint64]chan Output
}

// NewService returns a Service; Run starts it.
func NewService(machine *Machine, clock timer.Service, sender Sender) *Service {
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		machine: machine, clock: clock, sender: sender, ring: buffer.NewRing[Input](ringSize), ctx: ctx, stop: stop,
		waiters: make(map[uint64]chan Output), calls: make(map[uint64]chan Output),
	}
}

// stopped tells HandOverAll that the machine has seen Stopping.
type stopped struct {
	Stopping
	done chan struct{}
}

// Run starts the goroutines of the service.
func (s *Service) Run() {
	s.done.Go(func() {
		for {
			input, ok := s.ring.Pop()
			if !ok {
				return
			}
			step := input
			stop, isStop := input.(stopped)
			if isStop {
				step = stop.Stopping
			}
			for _, out := range s.machine.Step(s.clock.Now(), step) {
				s.perform(out)
			}
			if isStop {
				close(stop.done)
			}
		}
	})
	s.done.Go(func() {
		sub := s.clock.Subscribe("claimer", TickPeriod)
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

// Close ends the goroutines.
func (s *Service) Close() {
	s.stop()
	s.ring.Close()
	s.done.Wait()
}

// Push hands an event to the machine that must not be lost.
func (s *Service) Push(input Input) {
	for !s.ring.TryPush(input) && s.ctx.Err() == nil {
		time.Sleep(pushPause)
	}
}

// HandOverAll sends all keys to the peers and waits until they have them or ctx
// ends. Outcomes that are being sent are waited for too.
func (s *Service) HandOverAll(ctx context.Context) {
	done := make(chan struct{})
	s.Push(stopped{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	for s.sending.Load() > 0 && ctx.Err() == nil {
		time.Sleep(handOverPoll)
	}
}

// Claim claims a key for a request. It returns a number for Finish if the claim
// is held, and otherwise the outcome of the request.
func (s *Service) Claim(ctx context.Context, key messenger.Key, fingerprint [32]byte, deadline time.Time) (uint64, recorder.Outcome) {
	result := make(chan Output, 1)
	id := s.add(s.waiters, result)
	s.Push(ClaimWanted{Request: id, Key: key, Fingerprint: fingerprint, Deadline: deadline})
	select {
	case out := <-result:
		return id, outcomeOf(out)
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	if s.take(s.waiters, id) != nil {
		s.Push(CallerGone{Request: id})
	} else if outcomeOf(<-result) == nil {
		s.Finish(id, recorder.Cancelled{})
	}
	return 0, recorder.Cancelled{}
}

// Finish ends a request whose claim is held.
func (s *Service) Finish(id uint64, outcome recorder.Outcome) {
	s.Push(OutcomeKnown{Request: id, Outcome: outcome})
}

// AnswerClaim answers another gateway's claim.
func (s *Service) AnswerClaim(ctx context.Context, req messenger.ClaimRequest) (messenger.ClaimAnswer, error) {
	out, err := s.call(ctx, func(id uint64) Input { return ClaimAsked{Call: id, Request: req} })
	if answer, ok := out.(AnswerClaim); ok {
		return answer.Answer, nil
	}
	return messenger.ClaimAnswer{}, err
}

// AnswerRecord records another gateway's outcome.
func (s *Service) AnswerRecord(req messenger.RecordRequest) { s.Push(RecordAsked{Request: req}) }

// AnswerHandOver answers another gateway's hand-over.
func (s *Service) AnswerHandOver(ctx context.Context, req messenger.HandOverRequest) (messenger.HandOverAnswer, error) {
	out, err := s.call(ctx, func(id uint64) Input { return HandOverAsked{Call: id, Request: req} })
	if answer, ok := out.(AnswerHandOver); ok {
		return answer.Answer, nil
	}
	return messenger.HandOverAnswer{}, err
}

func (s *Service) call(ctx context.Context, input func(id uint64) Input) (Output, error) {
	answer := make(chan Output, 1)
	id := s.add(s.calls, answer)
	defer s.take(s.calls, id)
	s.Push(input(id))
	select {
	case out := <-answer:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, context.Canceled
	}
}

func outcomeOf(out Output) recorder.Outcome {
	if decided, ok := out.(Decided); ok {
		return decided.Outcome
	}
	return nil
}

func (s *Service) add(to map[uint64]chan Output, c chan Output) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	to[s.next] = c
	return s.next
}

func (s *Service) take(from map[uint64]chan Output, id uint64) chan Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := from[id]
	delete(from, id)
	return c
}

func (s *Service) perform(output Output) {
	switch out := output.(type) {
	case Held:
		if waiter := s.take(s.waiters, out.Request); waiter != nil {
			waiter <- out
			return
		}
		// The caller has gone and CallerGone is on its way.
		for _, more := range s.machine.Step(s.clock.Now(), OutcomeKnown{Request: out.Request, Outcome: recorder.Cancelled{}}) {
			s.perform(more)
		}
	case Decided:
		if waiter := s.take(s.waiters, out.Request); waiter != nil {
			waiter <- out
		}
	case AnswerClaim:
		if call := s.take(s.calls, out.Call); call != nil {
			call <- out
		}
	case AnswerHandOver:
		if call := s.take(s.calls, out.Call); call != nil {
			call <- out
		}
	case SendClaim:
		s.done.Go(func() { s.sendClaim(out) })
	case SendRecord:
		s.sending.Add(1)
		s.done.Go(func() { s.sendRecord(out) })
	case SendHandOver:
		s.sending.Add(1)
		s.done.Go(func() { s.sendHandOver(out) })
	}
}

func (s *Service) sendClaim(out SendClaim) {
	ctx, cancel := context.WithTimeout(s.ctx, s.machine.settings.Round)
	defer cancel()
	if answer, err := s.sender.Claim(ctx, out.To, out.Claim); err == nil {
		s.Push(ClaimAnswered{From: out.To.Name, Request: out.Request, Attempt: out.Claim.Attempt, Answer: answer})
	}
}

func (s *Service) sendRecord(out SendRecord) {
	defer s.sending.Add(-1)
	ctx, cancel := context.WithTimeout(s.ctx, s.machine.settings.Round)
	defer cancel()
	if err := s.sender.Record(ctx, out.To, out.Request); err == nil {
		s.Push(RecordAnswered{From: out.To.Name, Record: out.Record})
	}
}

func (s *Service) sendHandOver(out SendHandOver) {
	defer s.sending.Add(-1)
	ctx, cancel := context.WithTimeout(s.ctx, handOverTimeout)
	defer cancel()
	answer, err := s.sender.HandOver(ctx, out.To, out.Request)
	if err == nil && out.Request.Copy {
		s.Push(HandOverAnswered{From: out.To.Name, Cursor: out.Request.Cursor, Answer: answer})
	}
}
