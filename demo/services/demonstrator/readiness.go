package demonstrator

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// pauseCounter counts the times that an entry noticed that its process did not run.
	pauseCounter = "membership_thaws"
	// counterPeriod is the interval at which an entry publishes its counters.
	counterPeriod = time.Second
)

// checkEntries makes the fabric send packets to ready entries only, as the health checks of a
// real fabric do.
func (s *System) checkEntries() {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	dropped := uint64(0)
	var previous []string
	for {
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
		var ready []netip.AddrPort
		var unready []string
		for name, entry := range s.runningEntries() {
			isReady, err := entry.CheckReadiness(s.ctx)
			switch {
			case err != nil: // The entry does not run.
			case isReady:
				ready = append(ready, entry.packets)
			default:
				unready = append(unready, name)
			}
		}
		s.fabric.SetEntries(ready)
		if now := s.fabric.Stats().Unready; now > dropped {
			dropped = now
			s.suspect(slices.Concat(previous, unready))
		}
		previous = unready
	}
}

// suspect records entries that reported that they were not ready when packets were dropped
// because no entry was.
func (s *System) suspect(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.suspects[name] = true
	}
}

// CheckReadiness returns an error if packets were dropped because no entry was ready, although
// an entry that still runs had not been paused. After a pause, entries are not ready until their
// state is current, so that packets are dropped if the machine runs none of them for a while.
func (s *System) CheckReadiness(ctx context.Context) error {
	if s.fabric.Stats().Unready == 0 {
		return nil
	}
	if err := sleep(ctx, counterPeriod+healthCheckInterval); err != nil {
		return err
	}
	running := s.runningEntries()
	s.mu.Lock()
	suspects := slices.Sorted(maps.Keys(s.suspects))
	s.mu.Unlock()
	for _, name := range suspects {
		entry, ok := running[name]
		if !ok {
			continue
		}
		pauses, err := entry.Counter(ctx, pauseCounter)
		if err != nil {
			return err
		}
		if pauses == 0 {
			return fmt.Errorf("%d packets were dropped because no entry was ready, although %s was not paused", s.fabric.Stats().Unready, name)
		}
	}
	return nil
}

func (s *System) runningEntries() map[string]*entryProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.entries)
}
