package director

import (
	"context"
	"time"

	"github.com/redwingledge/redwingledge/control/services/replicator"
	"github.com/redwingledge/redwingledge/shared/modules/log"
)

// replacementCheckPeriod is the time between two checks whether the vote of a replica has passed to another one, which
// takes two commits.
const replacementCheckPeriod = 20 * time.Millisecond

// awaitReplacement returns once a committed change survives the losses that the settings allow. While the vote of a replica
// that is gone is still to pass to another one, fewer are survived. It returns ErrOutcomeUnknown if ctx ends before, or if
// this replica leads no longer.
func (s *Service) awaitReplacement(ctx context.Context) error {
	if isDone, err := s.checkReplacement(); isDone {
		return err
	}
	began := s.clock.Now()
	ticks := s.clock.Subscribe("replacement of a voter", replacementCheckPeriod)
	defer ticks.Cancel()
	for {
		select {
		case <-ticks.C:
		case <-ctx.Done():
			s.logger.Info("change is not acknowledged yet: a replica has to be replaced as a voter", "waited", s.clock.Now().Sub(began), log.FieldError, ctx.Err())
			return replicator.ErrOutcomeUnknown{Reason: "the vote of a replica has not passed to another one in time"}
		}
		if isDone, err := s.checkReplacement(); isDone {
			s.logger.Info("acknowledgement waited until a replica was replaced as a voter", "waited", s.clock.Now().Sub(began), log.FieldError, err)
			return err
		}
	}
}

// checkReplacement reports whether the wait for a replacement ends, and with which error.
func (s *Service) checkReplacement() (isDone bool, err error) {
	status := s.replica.Status()
	if status.Role != replicator.RoleLeader {
		return true, replicator.ErrOutcomeUnknown{Reason: "another replica leads since the change was committed"}
	}
	return !status.IsReplacementPending, nil
}
