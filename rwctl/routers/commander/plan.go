package commander

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/operator"
)

// serverID is the id of a backend server in the form SERVICE/HOST.
type serverID struct{ announcer.ID }

// UnmarshalText parses SERVICE/HOST.
func (i *serverID) UnmarshalText(text []byte) error {
	service, host, ok := strings.Cut(string(text), "/")
	if !ok || service == "" || host == "" {
		return fmt.Errorf("%q is not SERVICE/HOST", text)
	}
	i.ID = announcer.ID{Service: service, Host: host}
	return nil
}

type applyCommand struct {
	planFlags
	File string `arg:"" name:"file" help:"Declaration in YAML, or - for the standard input."`
}

// Run validates the declaration and creates a plan.
func (c *applyCommand) Run(s *session) error {
	declaration, err := readFile(c.File)
	if err != nil {
		return fmt.Errorf("read the declaration: %w", err)
	}
	// Control validates it too. Checking here reports problems with the file name and leaves
	// no line in the audit trail.
	var declarationErr cataloger.ErrDeclaration
	if _, err := cataloger.Parse(declaration); errors.As(err, &declarationErr) {
		for _, p := range declarationErr.Problems {
			fmt.Fprintf(s.stderr, "%s: %s\n", c.File, p)
		}
		return fmt.Errorf("%s has %d faults; nothing was sent", c.File, len(declarationErr.Problems))
	} else if err != nil {
		return err
	}
	return s.createPlan(c.planFlags, operator.Apply{Declaration: declaration})
}

func readFile(name string) ([]byte, error) {
	if name != "-" {
		return os.ReadFile(name)
	}
	return io.ReadAll(io.LimitReader(os.Stdin, cataloger.MaxDeclarationSize+1))
}

type drainCommand struct {
	planFlags
	Server serverID `arg:"" name:"server" help:"Backend server as SERVICE/HOST."`
}

// Run creates a plan.
func (c *drainCommand) Run(s *session) error {
	return s.createPlan(c.planFlags, operator.Drain{ID: c.Server.ID})
}

type undrainCommand struct {
	planFlags
	Server serverID `arg:"" name:"server" help:"Backend server as SERVICE/HOST."`
}

// Run creates a plan.
func (c *undrainCommand) Run(s *session) error {
	return s.createPlan(c.planFlags, operator.Undrain{ID: c.Server.ID})
}

type takeOutCommand struct {
	planFlags
	DataCentre     string `arg:"" name:"data-centre" help:"Name of the data centre."`
	AcceptOverload bool   `name:"accept-overload" help:"Plan it even if it overloads what remains."`
}

// Run creates a plan.
func (c *takeOutCommand) Run(s *session) error {
	return s.createPlan(c.planFlags, operator.TakeOut{DataCentre: c.DataCentre, AcceptOverload: c.AcceptOverload})
}

type bringBackCommand struct {
	planFlags
	DataCentre string `arg:"" name:"data-centre" help:"Name of the data centre."`
}

// Run creates a plan.
func (c *bringBackCommand) Run(s *session) error {
	return s.createPlan(c.planFlags, operator.BringBack{DataCentre: c.DataCentre})
}

type replaceReplicaCommand struct {
	planFlags
	Name            string         `arg:"" name:"name" help:"Name of the replica that leaves."`
	NewName         string         `arg:"" name:"new-name" help:"Name of the replica that takes its place."`
	Address         netip.AddrPort `name:"address" required:"" help:"IP:PORT of the new replica for other replicas."`
	OperatorAddress netip.AddrPort `name:"operator-address" required:"" help:"IP:PORT of the new replica for operators and entries."`
	DataCentre      string         `name:"data-centre" required:"" help:"Data centre of the new replica."`
}

// Run creates a plan.
func (c *replaceReplicaCommand) Run(s *session) error {
	return s.createPlan(c.planFlags, operator.ReplaceReplica{Name: c.Name, Replacement: cataloger.Replica{
		Name: c.NewName, DataCentre: c.DataCentre, Address: c.Address, OperatorAddress: c.OperatorAddress,
	}})
}

type confirmCommand struct {
	changeFlags
	Plan string `arg:"" name:"plan" help:"Id of the plan."`
}

// Run confirms the plan.
func (c *confirmCommand) Run(s *session) error {
	return sendChange(s, c.changeFlags, operator.MethodConfirmPlan, func(id string) operator.ConfirmPlanRequest {
		return operator.ConfirmPlanRequest{RequestID: id, PlanID: c.Plan}
	})
}
