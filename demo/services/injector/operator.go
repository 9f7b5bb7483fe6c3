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

// Exit codes of rwctl that SendOperatorRequest handles.
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
// it is answered.
func (c *Cluster) SendOperatorRequest(ctx context.Context, requestID string, args ...string) (operator.PlanResponse, error) {
	args = append(args, "--request-id", requestID)
	for {
		stdout, code, err := c.Run(ctx, args...)
		if code == exitNoAnswer && ctx.Err() == nil {
			continue
		}
		if err != nil && code != exitRefused && code != exitStale {
			return operator.PlanResponse{}, err
		}
		var answer operator.PlanResponse
		if err := json.Unmarshal(stdout, &answer); err != nil {
			return operator.PlanResponse{}, fmt.Errorf("read the answer: %w: %s", err, stdout)
		}
		return answer, nil
	}
}

// GetStatus requests the status and retries until it is answered.
func (c *Cluster) GetStatus(ctx context.Context) (operator.Status, error) {
	for {
		stdout, code, err := c.Run(ctx, "status")
		if code == exitNoAnswer && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return operator.Status{}, err
		}
		var status operator.Status
		if err := json.Unmarshal(stdout, &status); err != nil {
			return operator.Status{}, fmt.Errorf("read the status: %w", err)
		}
		return status, nil
	}
}
