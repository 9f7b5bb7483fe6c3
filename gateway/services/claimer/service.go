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
	// TickPeriod is the time between two Ticks of the Machine.
	TickPeriod = 20 * time.Millisecond
	// inputBufferSize limits the inputs that wait for the Machine.
	inputBufferSize = 16384
	// pushRetryInterval is the wait before an input that must not be lost is
	// offered to a full buffer again.
	pushRetryInterval = time.Millisecond
	// handOverTimeout limits the transfer of one page of keys.
	handOverTimeout = 5 * time.Second
	// handOverPollInterval is how often HandOverAll checks whether all sends have
	// ended.
	handOverPollInterval = 5 * time.Millisecond
)

// Sender sends a message to another gateway and waits for the answer.
type Sender interface {
	Claim(ctx context.Context, to viewer.Gateway, req messenger.ClaimRequest) (messenger.ClaimAnswer, error)
	Record(ctx context.Context, to viewer.Gateway, req messenger.RecordRequest) error
	HandOver(ctx context.Context, to viewer.Gateway, req messenger.HandOverRequest) (messenger.HandOverAnswer, error)
}

// Service runs a Machine in one goroutine.
type Service struct {
	machine    *Machine
	clock      timer.Service
	sender     Sender
	inputs     *buffer.Ring[Input]
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	// sendsInFlight counts the records and pages of keys that are being sent.
	sendsInFlight atomic.Int64

	mu      sync.Mutex
	lastID  uint64
	waiters map[uint64]chan Output
	calls   map[uint64]chan Output
}

// NewService returns a Service; Run starts it.
func NewService(machine *Machine, clock timer.Service, sender Sender) *Service {
	ctx, stop := context.WithCancel(context.Background())
	return &Service{
		machine: machine, clock: clock, sender: sender, inputs: buffer.NewRing[Input](inputBufferSize), ctx: ctx, stop: stop,
		waiters: make(map[uint64]chan Output), calls: make(map[uint64]chan Output),
	}
}

// stopRequest is a Stopping input from HandOverAll. done is closed when the
// Machine has processed it.
type stopRequest struct {
	Stopping
	done chan struct{}
}

// Run starts the goroutines of the service and returns.
func (s *Service) Run() {
	s.goroutines.Go(func() {
		for {
			input, ok := s.inputs.Pop()
			if !ok {
				return
			}
			step := input
			stop, isStop := input.(stopRequest)
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
	s.goroutines.Go(func() {
		sub := s.clock.Subscribe("claimer", TickPeriod)
		defer sub.Cancel()
		for {
			select {
			case <-s.ctx.Done():
				return
			case <-sub.C:
				s.inputs.TryPush(Tick{})
			}
		}
	})
}

// Close stops the goroutines and waits until they have ended.
func (s *Service) Close() {
	s.stop()
	s.inputs.Close()
	s.goroutines.Wait()
}

// Push passes an input that must not be lost to the Machine. It waits while the
// input buffer is full, unless the service is closed.
func (s *Service) Push(input Input) {
	for !s.inputs.TryPush(input) && s.ctx.Err() == nil {
		time.Sleep(pushRetryInterval)
	}
}

// HandOverAll sends all keys to the peers and waits until these sends have ended
// or ctx ends. It also waits for the outcomes that are being sent.
func (s *Service) HandOverAll(ctx context.Context) {
	done := make(chan struct{})
	s.Push(stopRequest{done: done})
	select {
	case <-done:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	for s.sendsInFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(handOverPollInterval)
	}
}

// Claim claims a key for a request. It returns an ID for Finish and no outcome
// if the claim is held, and otherwise the outcome of the request.
func (s *Service) Claim(ctx context.Context, key messenger.Key, fingerprint [32]byte, deadline time.Time) (uint64, recorder.Outcome) {
	result := make(chan Output, 1)
	id := s.register(s.waiters, result)
	s.Push(ClaimRequested{Request: id, Key: key, Fingerprint: fingerprint, Deadline: deadline})
	select {
	case out := <-result:
		return id, outcomeOf(out)
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	if s.unregister(s.waiters, id) != nil {
		s.Push(CallerCancelled{Request: id})
	} else if outcomeOf(<-result) == nil {
		s.Finish(id, recorder.Cancelled{})
	}
	return 0, recorder.Cancelled{}
}

// Finish ends a request whose claim is held.
func (s *Service) Finish(id uint64, outcome recorder.Outcome) {
	s.Push(OutcomeKnown{Request: id, Outcome: outcome})
}

// AnswerClaim answers another gateway's claim request.
func (s *Service) AnswerClaim(ctx context.Context, req messenger.ClaimRequest) (messenger.ClaimAnswer, error) {
	out, err := s.call(ctx, func(id uint64) Input { return ClaimReceived{Call: id, Request: req} })
	if answer, ok := out.(AnswerClaim); ok {
		return answer.Answer, nil
	}
	return messenger.ClaimAnswer{}, err
}

// AnswerRecord stores an outcome or a release that another gateway sent.
func (s *Service) AnswerRecord(req messenger.RecordRequest) { s.Push(RecordReceived{Request: req}) }

// AnswerHandOver answers another gateway's push of keys or request for a copy.
func (s *Service) AnswerHandOver(ctx context.Context, req messenger.HandOverRequest) (messenger.HandOverAnswer, error) {
	out, err := s.call(ctx, func(id uint64) Input { return HandOverReceived{Call: id, Request: req} })
	if answer, ok := out.(AnswerHandOver); ok {
		return answer.Answer, nil
	}
	return messenger.HandOverAnswer{}, err
}

func (s *Service) call(ctx context.Context, input func(id uint64) Input) (Output, error) {
	answer := make(chan Output, 1)
	id := s.register(s.calls, answer)
	defer s.unregister(s.calls, id)
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
	if decided, ok := out.(RequestDecided); ok {
		return decided.Outcome
	}
	return nil
}

func (s *Service) register(channels map[uint64]chan Output, c chan Output) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	channels[s.lastID] = c
	return s.lastID
}

func (s *Service) unregister(channels map[uint64]chan Output, id uint64) chan Output {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := channels[id]
	delete(channels, id)
	return c
}

func (s *Service) perform(output Output) {
	switch out := output.(type) {
	case ClaimHeld:
		if waiter := s.unregister(s.waiters, out.Request); waiter != nil {
			waiter <- out
			return
		}
		// The caller no longer waits. Its CallerCancelled is still queued and does not
		// end a request whose claim is held.
		for _, more := range s.machine.Step(s.clock.Now(), OutcomeKnown{Request: out.Request, Outcome: recorder.Cancelled{}}) {
			s.perform(more)
		}
	case RequestDecided:
		if waiter := s.unregister(s.waiters, out.Request); waiter != nil {
			waiter <- out
		}
	case AnswerClaim:
		if call := s.unregister(s.calls, out.Call); call != nil {
			call <- out
		}
	case AnswerHandOver:
		if call := s.unregister(s.calls, out.Call); call != nil {
			call <- out
		}
	case SendClaim:
		s.goroutines.Go(func() { s.sendClaim(out) })
	case SendRecord:
		s.sendsInFlight.Add(1)
		s.goroutines.Go(func() { s.sendRecord(out) })
	case SendHandOver:
		s.sendsInFlight.Add(1)
		s.goroutines.Go(func() { s.sendHandOver(out) })
	}
}

func (s *Service) sendClaim(out SendClaim) {
	ctx, cancel := context.WithTimeout(s.ctx, s.machine.settings.RoundTimeout)
	defer cancel()
	if answer, err := s.sender.Claim(ctx, out.To, out.Claim); err == nil {
		s.Push(ClaimAnswered{From: out.To.Name, Request: out.Request, Attempt: out.Claim.Attempt, Answer: answer})
	}
}

func (s *Service) sendRecord(out SendRecord) {
	defer s.sendsInFlight.Add(-1)
	ctx, cancel := context.WithTimeout(s.ctx, s.machine.settings.RoundTimeout)
	defer cancel()
	if err := s.sender.Record(ctx, out.To, out.Request); err == nil {
		s.Push(RecordAcknowledged{From: out.To.Name, Record: out.Record})
	}
}

func (s *Service) sendHandOver(out SendHandOver) {
	defer s.sendsInFlight.Add(-1)
	ctx, cancel := context.WithTimeout(s.ctx, handOverTimeout)
	defer cancel()
	answer, err := s.sender.HandOver(ctx, out.To, out.Request)
	if err == nil && out.Request.WantsPage {
		s.Push(HandOverAnswered{From: out.To.Name, Cursor: out.Request.Cursor, Answer: answer})
	}
}
