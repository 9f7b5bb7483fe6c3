// Package watcher holds the current view of a gateway and passes each new one to its
// subscribers.
package watcher

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// retryInterval is the wait before the next attempt after the source has failed.
const retryInterval = 500 * time.Millisecond

// Service follows a view source in one goroutine.
type Service struct {
	source     viewer.Source
	clock      timer.Service
	logger     *slog.Logger
	onView     []func(viewer.View)
	current    atomic.Pointer[viewer.View]
	changedAt  atomic.Pointer[time.Time]
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// NewService returns a Service that calls each function with each new view. Run starts it.
func NewService(source viewer.Source, clock timer.Service, logger *slog.Logger, onView ...func(viewer.View)) *Service {
	ctx, stop := context.WithCancel(context.Background())
	s := &Service{source: source, clock: clock, logger: logger, onView: onView, ctx: ctx, stop: stop}
	s.current.Store(&viewer.View{})
	return s
}

// Run starts the goroutine that follows the source.
func (s *Service) Run() {
	s.goroutines.Go(func() {
		failing := false
		for s.ctx.Err() == nil {
			view, err := s.source.Watch(s.ctx, s.View().Version)
			if err != nil {
				if !failing && s.ctx.Err() == nil {
					s.logger.Warn("view source failed; the last view stays in force", "error", err)
				}
				failing = true
				s.waitToRetry()
				continue
			}
			if failing {
				s.logger.Info("view source works again")
			}
			failing = false
			s.publish(view)
		}
	})
}

func (s *Service) waitToRetry() {
	select {
	case <-time.After(retryInterval):
	case <-s.ctx.Done():
	}
}

func (s *Service) publish(view viewer.View) {
	now := s.clock.Now()
	s.current.Store(&view)
	s.changedAt.Store(&now)
	for _, f := range s.onView {
		f(view)
	}
}

// View returns the current view. Before the first one it is empty and has version 0.
func (s *Service) View() viewer.View { return *s.current.Load() }

// Age returns the time since the view last changed, or 0 before the first view.
func (s *Service) Age() time.Duration {
	if t := s.changedAt.Load(); t != nil {
		return s.clock.Now().Sub(*t)
	}
	return 0
}

// Close stops following the source and waits for the goroutine.
func (s *Service) Close() {
	s.stop()
	s.goroutines.Wait()
}
