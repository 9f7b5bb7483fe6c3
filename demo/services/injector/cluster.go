package injector

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/redwingledge/redwingledge/demo/services/starter"
	"github.com/redwingledge/redwingledge/shared/modules/reserver"
)

const (
	token        = "disturber-token"
	startTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// maxAddressAttempts bounds the attempts to bind a free address before another process
	// does.
	maxAddressAttempts = 5
)

// Replica is one control replica. Its addresses stay the same across restarts.
type Replica struct {
	Name string
	// Address is the address of the relay, where other replicas reach this one.
	Address  netip.AddrPort
	Operator netip.AddrPort
	Relay    *Relay

	admin, listen netip.AddrPort
	process       *starter.Process
}

// Cluster is a set of control processes. Its methods must not be called
// concurrently, except Run and SendOperatorRequest.
type Cluster struct {
	// Programs is the folder with the binaries control and rwctl. Folder gets the data and
	// logs.
	Programs, Folder string
	Replicas         []*Replica
}

// Start runs a cluster of 3 replicas, waits until all of them vote, and applies a declaration.
// After an error it also returns the cluster, so that the caller can stop it.
func Start(ctx context.Context, programs, folder string) (*Cluster, error) {
	c := &Cluster{Programs: programs, Folder: folder}
	for range 3 {
		if _, err := c.NewReplica(); err != nil {
			return c, err
		}
	}
	if err := os.WriteFile(c.tokenFile(), []byte(token), 0o600); err != nil {
		return c, fmt.Errorf("write the token: %w", err)
	}
	names := []string{c.Replicas[0].Name, c.Replicas[1].Name, c.Replicas[2].Name}
	for _, r := range c.Replicas {
		if err := c.StartReplica(r, names, true); err != nil {
			return c, err
		}
	}
	if err := c.WaitConverged(ctx, names...); err != nil {
		return c, err
	}
	path := filepath.Join(folder, "declaration.yaml")
	if err := os.WriteFile(path, []byte(c.declaration()), 0o600); err != nil {
		return c, fmt.Errorf("write the declaration: %w", err)
	}
	answer, err := c.SendOperatorRequest(ctx, "first", "apply", path)
	if err != nil || answer.Plan == nil {
		return c, fmt.Errorf("apply the declaration: %v: %w", answer.Refusal, err)
	}
	_, err = c.SendOperatorRequest(ctx, "second", "confirm", answer.Plan.ID)
	return c, err
}

// NewReplica adds a replica with a name, addresses and a running relay, but starts no process.
func (c *Cluster) NewReplica() (*Replica, error) {
	var free []netip.AddrPort
	var relay *Relay
	for attempt := 1; relay == nil; attempt++ {
		var err error
		if free, err = reserver.Addresses(4); err != nil {
			return nil, err
		}
		// Another process may bind the address after it was found to be free.
		if relay, err = NewRelay(free[0], free[1]); err != nil && attempt == maxAddressAttempts {
			return nil, err
		}
	}
	r := &Replica{Name: fmt.Sprintf("control-%d", len(c.Replicas)+1), Address: free[0], listen: free[1], Operator: free[2], admin: free[3], Relay: relay}
	c.Replicas = append(c.Replicas, r)
	return r, nil
}

// StartReplica starts the process of a replica, which knows the named replicas. With create, the
// process may create the cluster.
func (c *Cluster) StartReplica(r *Replica, names []string, create bool) error {
	data := c.DataFolder(r)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return fmt.Errorf("create the data folder: %w", err)
	}
	sum := sha256.Sum256([]byte(token))
	args := []string{
		"--name", r.Name, "--data-folder", data, "--grpc-address", r.listen.String(), "--operator-address", r.Operator.String(),
		"--bootstrap-token-sha256", hex.EncodeToString(sum[:]), "--heartbeat", "50ms", "--election-timeout", "500ms",
		"--snapshot-entries", "100", "--keep-entries", "20",
	}
	for _, other := range c.Replicas {
		if slices.Contains(names, other.Name) {
			args = append(args, "--replica", other.Name+"="+other.Address.String())
		}
	}
	if create {
		args = append(args, "--create-cluster")
	}
	process, err := starter.Start(r.Name, filepath.Join(c.Programs, "control"), c.Folder, r.admin, args...)
	if err != nil {
		return err
	}
	r.process = process
	return nil
}

// DataFolder returns the folder with the durable state of a replica.
func (c *Cluster) DataFolder(r *Replica) string { return filepath.Join(c.Folder, r.Name+"-data") }

// Kill ends the process of a replica with SIGKILL.
func (r *Replica) Kill() {
	if r.process != nil {
		r.process.Kill()
		r.process = nil
	}
}

// Signal sends a signal to the process of a replica.
func (r *Replica) Signal(signal syscall.Signal) error { return r.process.Signal(signal) }

// Stop ends all processes and relays.
func (c *Cluster) Stop() {
	for _, r := range c.Replicas {
		r.Kill()
	}
	for _, r := range c.Replicas {
		r.Relay.Close()
	}
}

// Vars are the variables that a replica publishes under /debug/vars.
type Vars struct {
	Role     string `json:"replica_role"`
	Verified bool   `json:"replica_verified"`
	Failed   bool   `json:"replica_failed"`
	Voters   int    `json:"replica_voters"`
	Members  int    `json:"replica_members"`
	Applied  uint64 `json:"replica_applied_index"`
	Last     uint64 `json:"replica_last_index"`
	Leader   string `json:"replica_leader"`
	// DataBytes is the size of the data file in bytes.
	DataBytes int64 `json:"replica_data_bytes"`
}

// Vars reads the published variables of a replica.
func (r *Replica) Vars(ctx context.Context) (Vars, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.admin.String()+"/debug/vars", nil)
	if err != nil {
		return Vars{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Vars{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Vars Vars `json:"redwingledge"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return Vars{}, fmt.Errorf("read the counters of %s: %w", r.Name, err)
	}
	return body.Vars, nil
}

// WaitConverged waits until the named replicas are the only members, all vote, follow one
// leader and lag at most 2 entries behind the log of the first. It returns an error after
// startTimeout.
func (c *Cluster) WaitConverged(ctx context.Context, names ...string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		problem := c.checkConverged(ctx, names)
		if problem == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("replicas have not converged: %w: %w", problem, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

var errNotConverged = errors.New("replica has not converged")

func (c *Cluster) checkConverged(ctx context.Context, names []string) error {
	var first Vars
	for i, name := range names {
		v, err := c.Get(name).Vars(ctx)
		if err != nil {
			return err
		}
		if i == 0 {
			first = v
		}
		if !v.Verified || v.Failed || v.Voters != len(names) || v.Members != len(names) || v.Leader == "" || v.Leader != first.Leader || v.Applied+2 < first.Last {
			return fmt.Errorf("%w: %s has %+v", errNotConverged, name, v)
		}
	}
	return nil
}

// Get returns a replica by name.
func (c *Cluster) Get(name string) *Replica {
	return c.Replicas[slices.IndexFunc(c.Replicas, func(r *Replica) bool { return r.Name == name })]
}

func (c *Cluster) tokenFile() string { return filepath.Join(c.Folder, "token") }

func (c *Cluster) declaration() string {
	var b strings.Builder
	b.WriteString("data_centres: [{name: kano-a, region: ng-north}]\nservices: [{name: manifest-desk, addresses: [\"192.0.2.10:443\"]}]\ncontrol:\n")
	for _, r := range c.Replicas {
		fmt.Fprintf(&b, "  - {name: %s, data_centre: kano-a, address: %q, operator_address: %q}\n", r.Name, r.Address, r.Operator)
	}
	sum := sha256.Sum256([]byte(token))
	fmt.Fprintf(&b, "operators: [{name: amina, role: confirmer, token_sha256: %x}]\n", sum)
	return b.String()
}
