package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/demo/services/starter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver"
)

// controlName is the name of the only control replica.
const controlName = "control-1"

// commandTimeout bounds one call of rwctl.
const commandTimeout = 20 * time.Second

// startControl runs a single control replica.
func (s *System) startControl(ctx context.Context) error {
	addresses, err := reserver.Addresses(3)
	if err != nil {
		return err
	}
	admin, replica, operator := addresses[0], addresses[1], addresses[2]
	data := filepath.Join(s.settings.Folder, "control-data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return fmt.Errorf("create the data folder: %w", err)
	}
	if _, err := s.writeFile("token", operatorToken); err != nil {
		return err
	}
	s.operator, s.replica = operator, replica
	process, err := starter.Start(controlName, s.program("control"), s.settings.Folder, admin,
		"--name", controlName, "--replica", controlName+"="+replica.String(), "--data-folder", data, "--create-cluster",
		"--operator-address", operator.String(), "--bootstrap-token-sha256", hashToken(operatorToken))
	if err != nil {
		return err
	}
	s.control = process
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return process.WaitReady(ctx)
}

// Run runs rwctl and returns its standard output.
func (s *System) Run(ctx context.Context, arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	arguments = append([]string{"--control", s.operator.String(), "--token-file", filepath.Join(s.settings.Folder, "token")}, arguments...)
	command := exec.CommandContext(ctx, s.program("rwctl"), arguments...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	if err := command.Run(); err != nil {
		return stdout.String(), fmt.Errorf("rwctl %s: %w: %s", strings.Join(arguments, " "), err, stderr.String())
	}
	return stdout.String(), nil
}

// plan is the part of the JSON output of a plan that the demonstration reads.
type plan struct {
	Plan struct {
		ID       string `json:"id"`
		Sections []struct {
			Title string `json:"title"`
			Text  string `json:"text"`
		} `json:"sections"`
	} `json:"plan"`
}

// String returns the plan in the form that operators read.
func (p plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan %s\n", p.Plan.ID)
	for _, section := range p.Plan.Sections {
		fmt.Fprintf(&b, "%s\n%s\n", section.Title, section.Text)
	}
	return b.String()
}

// Change runs the given rwctl command, passes the resulting plan to show, and confirms the
// plan.
func (s *System) Change(ctx context.Context, show func(string), arguments ...string) error {
	text, err := s.Run(ctx, append(arguments, "--output", "json")...)
	if err != nil {
		return err
	}
	var created plan
	if err := json.Unmarshal([]byte(text), &created); err != nil {
		return fmt.Errorf("read the plan: %w: %s", err, text)
	}
	show(created.String())
	confirmed, err := s.Run(ctx, "confirm", created.Plan.ID)
	if err != nil {
		return err
	}
	show(confirmed)
	return nil
}

// Apply plans and confirms a declaration.
func (s *System) Apply(ctx context.Context, show func(string), declaration string) error {
	path, err := s.writeFile("declaration.yaml", declaration)
	if err != nil {
		return err
	}
	return s.Change(ctx, show, "apply", path)
}

// Declaration returns the declaration of the demonstration: a service for each kind of flow, in
// the data centres kano-a and kano-b.
func (s *System) Declaration(kinds []FlowKind) string {
	var b strings.Builder
	b.WriteString("data_centres:\n")
	for _, name := range []string{"kano-a", "kano-b"} {
		fmt.Fprintf(&b, "  - name: %s\n    region: %s\n", name, region)
	}
	b.WriteString("services:\n")
	for _, kind := range append(slices.Clone(kinds), GatewayFlowKind()) {
		protocol := "udp"
		if kind.IsTCP {
			protocol = "tcp"
		}
		fmt.Fprintf(&b, "  - name: %s\n    kind: flow\n    protocol: %s\n    addresses: [\"%s\"]\n    token_sha256: %s\n",
			kind.Service, protocol, kind.Address, hashToken(serviceToken))
	}
	fmt.Fprintf(&b, "  - name: %s\n    kind: request\n    token_sha256: %s\n", requestService, hashToken(serviceToken))
	fmt.Fprintf(&b, "gateways:\n  - name: %s\n    data_centre: kano-a\n    address: %s\n", gatewayName, s.gatewayAddresses.peer)
	b.WriteString("entries:\n")
	for i := range declaredEntries {
		name := entryName(i)
		fmt.Fprintf(&b, "  - name: %s\n    data_centre: %s\n    address: %s\n", name, dataCentre(i), s.addresses[name].grpc)
	}
	fmt.Fprintf(&b, "control:\n  - name: %s\n    data_centre: kano-a\n    address: %s\n    operator_address: %s\n", controlName, s.replica, s.operator)
	fmt.Fprintf(&b, "operators:\n  - name: %s\n    role: confirmer\n    token_sha256: %s\n", operatorName, hashToken(operatorToken))
	return b.String()
}
