// Package watcher keeps the current view of a gateway and passes each new one
// on.
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

// retryPause is the wait after an error of the source.
const retryPause = 500 * time.Millisecond

// Service follows a source in one goroutine.
type Service struct {
	source  viewer.Source
	clock   timer.Service
	logger  *slog.Logger
	onView  []func(viewer.View)
	current atomic.Pointer[viewer.View]
	changed atomic.Pointer[time.Time]
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// NewService returns a Service that calls each function with each new view.
func NewService(source viewer.Source, clock timer.Service, logger *slog.Logger, onView ...func(viewer.View)) *Service {
	ctx, stop := context.WithCancel(context.Background())
	s := &Service{source: source, clock: clock, logger: logger, onView: onView, ctx: ctx, stop: stop}
	s.current.Store(&viewer.View{})
	return s
}

// Run starts to follow the source.
func (s *Service) Run() {
	s.done.Go(func() {
		failing := false
		for s.ctx.Err() == nil {
			view, err := s.source.Watch(s.ctx, s.View().Version)
			if err != nil {
				if !failing && s.ctx.Err() == nil {
					s.logger.Warn("view source failed; the last view stays in force", "error", err)
				}
				failing = true
				s.pause()
				continue
			}
			if failing {
				s.logger.Info("view source works again")
			}
			failing = false
			s.set(view)
		}
	})
}

func (s *Service) pause() {
	select {
	case <-time.After(retryPause):
	case <-s.ctx.Done():
	}
}

func (s *Service) set(view viewer.View) {
	now := s.clock.Now()
	s.current.Store(&view)
	s.changed.Store(&now)
	for _, f := range s.onView {
		f(view)
	}
}

// View returns the current view. Before the first one it is empty, with version
// 0.
func (s *Service) View() viewer.View { return *s.current.Load() }

// Age returns the time since the view last changed, or 0 before the first one.
func (s *Service) Age() time.Duration {
	if t := s.changed.Load(); t != nil {
		return s.clock.Now().Sub(*t)
	}
	return 0
}

// Close stops following the source.
func (s *Service) Close() {
	s.stop()
	s.done.Wait()
}
