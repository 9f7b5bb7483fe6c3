package injector

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/redwingledge/redwingledge/demo/services/starter"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

// hostCount is the number of backend servers that the changes of MeasureStartup
// drain and undrain.
const hostCount = 500

// answerPollInterval is the pause between two requests after a start.
const answerPollInterval = 5 * time.Millisecond

// Startup is the result of MeasureStartup.
type Startup struct {
	// FirstAnswerTime is the time from the start of the process to its first answer as leader,
	// including the election.
	FirstAnswerTime time.Duration
	// DataBytes is the size of the data file in bytes.
	DataBytes int64
	// ChangesTime is the time that all changes took together.
	ChangesTime time.Duration
}

// singleReplica is a cluster of one replica with default settings.
type singleReplica struct {
	*Cluster
	replica *Replica
	pool    *transporter.Pool
}

// MeasureStartup makes changes, each a plan and a confirmation, on a single replica with
// default settings. It then kills the replica and measures its restart.
func MeasureStartup(ctx context.Context, programs, folder string, changes int) (Startup, error) {
	s := &singleReplica{Cluster: &Cluster{Programs: programs, Folder: folder}, pool: transporter.NewPool(nil)}
	defer s.pool.Close()
	var err error
	if s.replica, err = s.NewReplica(); err != nil {
		return Startup{}, err
	}
	defer s.Stop()
	if err := s.start(); err != nil {
		return Startup{}, err
	}
	if err := s.waitUntilLeading(ctx); err != nil {
		return Startup{}, err
	}
	began := time.Now()
	if err := s.makeChanges(ctx, changes); err != nil {
		return Startup{}, err
	}
	result := Startup{ChangesTime: time.Since(began)}
	s.replica.Kill()
	info, err := os.Stat(filepath.Join(s.DataFolder(s.replica), "control.db"))
	if err != nil {
		return result, fmt.Errorf("find the data file: %w", err)
	}
	result.DataBytes = info.Size()
	began = time.Now()
	if err := s.start(); err != nil {
		return result, err
	}
	err = s.waitUntilLeading(ctx)
	result.FirstAnswerTime = time.Since(began)
	return result, err
}

func (s *singleReplica) start() error {
	r := s.replica
	if err := os.MkdirAll(s.DataFolder(r), 0o700); err != nil {
		return fmt.Errorf("create the data folder: %w", err)
	}
	sum := sha256.Sum256([]byte(token))
	process, err := starter.Start(r.Name, filepath.Join(s.Programs, "control"), s.Folder, r.admin,
		"--name", r.Name, "--replica", r.Name+"="+r.listen.String(), "--data-folder", s.DataFolder(r), "--create-cluster",
		"--operator-address", r.Operator.String(), "--bootstrap-token-sha256", hex.EncodeToString(sum[:]))
	r.process = process
	return err
}

// waitUntilLeading waits until the replica answers as leader.
func (s *singleReplica) waitUntilLeading(ctx context.Context) error {
	for ctx.Err() == nil {
		status, err := call[operator.GetStatusRequest, operator.Status](ctx, s, operator.MethodGetStatus, operator.GetStatusRequest{})
		if err == nil && !status.NotLeader {
			return nil
		}
		s.pool.Disconnect(s.replica.Operator)
		time.Sleep(answerPollInterval)
	}
	return ctx.Err()
}

var errRefused = errors.New("control refused a request")

func (s *singleReplica) makeChanges(ctx context.Context, changes int) error {
	if changes == 0 {
		return nil
	}
	s.replica.Address = s.replica.listen
	if err := s.change(ctx, 0, operator.Apply{Declaration: []byte(s.declaration())}); err != nil {
		return err
	}
	for i := range changes - 1 {
		id := announcer.ID{Service: "manifest-desk", Host: "host-" + strconv.Itoa(i%hostCount)}
		var intent operator.Intent = operator.Drain{ID: id}
		if i/hostCount%2 == 1 {
			intent = operator.Undrain{ID: id}
		}
		if err := s.change(ctx, i+1, intent); err != nil {
			return err
		}
	}
	return nil
}

func (s *singleReplica) change(ctx context.Context, number int, intent operator.Intent) error {
	id := strconv.Itoa(number)
	created, err := call[operator.CreatePlanRequest, operator.PlanResponse](ctx, s, operator.MethodCreatePlan, operator.CreatePlanRequest{RequestID: id, Intent: operator.Wrap(intent)})
	if err != nil {
		return err
	}
	if created.Plan == nil {
		return fmt.Errorf("%w: %+v", errRefused, created)
	}
	confirmed, err := call[operator.ConfirmPlanRequest, operator.PlanResponse](ctx, s, operator.MethodConfirmPlan, operator.ConfirmPlanRequest{RequestID: "c" + id, PlanID: created.Plan.ID})
	if err == nil && confirmed.Refusal != nil {
		return fmt.Errorf("%w: %+v", errRefused, *confirmed.Refusal)
	}
	return err
}

func call[Req, Resp any](ctx context.Context, s *singleReplica, method string, request Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(transporter.WithBearerToken(ctx, token), startTimeout)
	defer cancel()
	response, err := transporter.Call[Req, Resp](ctx, s.pool, s.replica.Operator, method, &request)
	if err != nil {
		var zero Resp
		return zero, err
	}
	return *response, nil
}
