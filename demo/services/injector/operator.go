package injector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// answerTimeout limits the wait for the answer to one operator's request. It is the time within
// which replicas must converge after a fault.
const answerTimeout = startTimeout

// Exit codes of rwctl that runUntilAnswered handles.
const (
	exitRefused  = 2
	exitStale    = 3
	exitNoAnswer = 4
)

// Run runs rwctl and returns its standard output and exit code.
func (c *Cluster) Run(ctx context.Context, args ...string) ([]byte, int, error) {
	addresses := make([]string, 0, len(c.Replicas))
	for _, r := range c.Replicas {
		addresses = append(addresses, r.Operator.String())
	}
	args = append([]string{"--control", strings.Join(addresses, ","), "--token-file", c.tokenFile(), "--timeout", "3s", "-o", "json"}, args...)
	command := exec.CommandContext(ctx, filepath.Join(c.Programs, "rwctl"), args...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return stdout.Bytes(), exit.ExitCode(), fmt.Errorf("rwctl %s: %w: %s", strings.Join(args, " "), err, stderr.String())
	}
	return stdout.Bytes(), 0, err
}

// SendOperatorRequest sends an operator's request and retries it with the same request ID until
// it is answered. It returns an error after answerTimeout.
func (c *Cluster) SendOperatorRequest(ctx context.Context, requestID string, args ...string) (operator.PlanResponse, error) {
	stdout, err := c.runUntilAnswered(ctx, append(args, "--request-id", requestID)...)
	if err != nil {
		return operator.PlanResponse{}, err
	}
	var answer operator.PlanResponse
	if err := json.Unmarshal(stdout, &answer); err != nil {
		return operator.PlanResponse{}, fmt.Errorf("read the answer: %w: %s", err, stdout)
	}
	return answer, nil
}

// GetStatus requests the status and retries until it is answered. It returns an error after
// answerTimeout.
func (c *Cluster) GetStatus(ctx context.Context) (operator.Status, error) {
	stdout, err := c.runUntilAnswered(ctx, "status")
	if err != nil {
		return operator.Status{}, err
	}
	var status operator.Status
	if err := json.Unmarshal(stdout, &status); err != nil {
		return operator.Status{}, fmt.Errorf("read the status: %w", err)
	}
	return status, nil
}

// runUntilAnswered runs rwctl until the leader answers, also with a refusal, and returns its
// standard output. Its error after answerTimeout includes that of the last complete run.
func (c *Cluster) runUntilAnswered(ctx context.Context, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var last error
	for {
		stdout, code, err := c.Run(ctx, args...)
		switch {
		case ctx.Err() != nil && err != nil:
			return nil, fmt.Errorf("rwctl %s has no answer: %w", strings.Join(args, " "), errors.Join(ctx.Err(), last))
		case code == exitNoAnswer:
			last = err
		case err != nil && code != exitRefused && code != exitStale:
			return nil, err
		default:
			return stdout, nil
		}
	}
}
