package profiler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/bench/modules/tabulator"
	"github.com/redwingledge/redwingledge/control/models/storer"
	"github.com/redwingledge/redwingledge/control/services/planner"
	"github.com/redwingledge/redwingledge/entry/models/differ"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/models/observer"
	"github.com/redwingledge/redwingledge/shared/models/operator"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// singleReplica is a Proposer without peers: it syncs each command to disk and commits it at once.
type singleReplica struct {
	machine *planner.Machine
	store   *storer.Store
	index   uint64
	bytes   int
	// storeTime is the total time spent on storing commands.
	storeTime time.Duration
}

// Propose stores and applies a command.
func (r *singleReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.index++
	r.bytes += len(command)
	start := time.Now()
	entry := storer.Entry{Index: r.index, Term: 1, Kind: storer.EntryCommand, Data: command}
	if err := r.store.Save(&storer.Batch{Entries: []storer.Entry{entry}}); err != nil {
		return nil, err
	}
	r.storeTime += time.Since(start)
	return r.machine.Apply(r.index, command), nil
}

// ReadBarrier returns at once.
func (r *singleReplica) ReadBarrier(context.Context) error { return nil }

// Status reports this replica as the leader.
func (r *singleReplica) Status() planner.Status {
	return planner.Status{Replica: "control-1", IsLeader: true, Leader: "control-1"}
}

// measureChanges alternately drains and undrains one backend server. Each change is planned and
// confirmed.
func measureChanges(sizes, changes []int, folder string) (string, error) {
	table := tabulator.Table{
		Title: "Configuration changes: drains and undrains, each planned and confirmed, at one replica",
		Columns: []string{
			"services", "changes", "catalog KB", "bytes of a delta for entries", "log bytes per change", "file KB after", "file growth per change (KB)",
			"CPU ms per change without storing", "ms per change to store and sync", "snapshot KB",
		},
	}
	add := func(size, count int) error {
		if err := addChanges(&table, size, count, filepath.Join(folder, fmt.Sprintf("control-%d-%d", size, count))); err != nil {
			return fmt.Errorf("measure %d changes with %d services: %w", count, size, err)
		}
		return nil
	}
	for _, size := range sizes {
		if err := add(size, changes[0]); err != nil {
			return "", err
		}
	}
	for _, count := range changes[1:] {
		if err := add(sizes[0], count); err != nil {
			return "", err
		}
	}
	return table.String(), nil
}

func addChanges(table *tabulator.Table, size, changes int, folder string) error {
	store, _, err := storer.Open(storer.Settings{Folder: folder})
	if err != nil {
		return err
	}
	defer func() {
		_ = store.Close()
		_ = os.RemoveAll(folder)
	}()
	machine := planner.NewMachine()
	replica := &singleReplica{machine: machine, store: store}
	clock := timer.NewFake(time.Unix(1_700_000_000, 0))
	service := planner.NewService(replica, machine, clock, rand.NewChaCha8([32]byte{1}))
	host := announcer.ID{Service: "service-0", Host: "host-0"}
	if err := applyChange(service, 0, operator.Apply{Declaration: makeDeclaration(size)}); err != nil {
		return err
	}
	service.AddLoadReport(observer.Report{Reporter: "entry-0", Period: 10 * time.Second, Servers: []observer.ServerLoad{
		{ID: host, DataCentre: "dc-0", Ready: true, Slots: 2, Connections: 2000, Flows: 100, NewFlows: 2},
		{ID: announcer.ID{Service: "service-0", Host: "host-1"}, DataCentre: "dc-1", Ready: true, Slots: 2, Connections: 2000, Flows: 100, NewFlows: 2},
	}})
	before, err := store.Size()
	if err != nil {
		return err
	}
	delta, err := measureDelta(machine.Catalog(), host)
	if err != nil {
		return err
	}
	replica.bytes, replica.storeTime = 0, 0
	start := time.Now()
	for i := range changes {
		var intent operator.Intent = operator.Drain{ID: host}
		if i%2 == 1 {
			intent = operator.Undrain{ID: host}
		}
		if err := applyChange(service, i+1, intent); err != nil {
			return err
		}
	}
	elapsed := time.Since(start) - replica.storeTime
	after, err := store.Size()
	if err != nil {
		return err
	}
	catalog, err := cbor.Marshal(machine.Catalog())
	if err != nil {
		return fmt.Errorf("encode the catalog: %w", err)
	}
	snapshot, err := machine.Snapshot()
	if err != nil {
		return err
	}
	per := float64(changes)
	table.Add(size, changes, float64(len(catalog))/1000, delta, float64(replica.bytes)/per, float64(after)/1000, float64(after-before)/1000/per,
		elapsed.Seconds()*1000/per, replica.storeTime.Seconds()*1000/per, float64(len(snapshot))/1000)
	return nil
}

// measureDelta returns the encoded size in bytes of the drain of a backend server in the form in
// which entries fetch changes, without the overhead of the call.
func measureDelta(base cataloger.Catalog, host announcer.ID) (int, error) {
	next := base
	next.Version++
	next.Drained = []announcer.ID{host}
	delta, ok := differ.Diff(&base, &next)
	if !ok {
		return 0, errors.New("the change has no delta")
	}
	data, err := cbor.Marshal(delta)
	if err != nil {
		return 0, fmt.Errorf("encode a delta: %w", err)
	}
	return len(data), nil
}

// applyChange creates a plan for an intent and confirms it.
func applyChange(service *planner.Service, number int, intent operator.Intent) error {
	identity := planner.Identity{Name: "amina", Bootstrap: number == 0}
	ctx := context.Background()
	answer, err := service.CreatePlan(ctx, identity, operator.CreatePlanRequest{RequestID: fmt.Sprintf("plan-%d", number), Intent: operator.Wrap(intent)})
	if err != nil {
		return err
	}
	if answer.Refusal != nil {
		return fmt.Errorf("plan %d was refused: %s", number, answer.Refusal.Message)
	}
	answer, err = service.ConfirmPlan(ctx, identity, operator.ConfirmPlanRequest{RequestID: fmt.Sprintf("confirm-%d", number), PlanID: answer.Plan.ID})
	if err != nil {
		return err
	}
	if answer.Refusal != nil {
		return fmt.Errorf("confirmation %d was refused: %s", number, answer.Refusal.Message)
	}
	return nil
}

// makeDeclaration returns a declaration with the given number of services, each with one address,
// and with as many entries and as many gateways, at most designNodes of each.
func makeDeclaration(services int) []byte {
	var b strings.Builder
	b.WriteString("data_centres:\n")
	for i := range 6 {
		fmt.Fprintf(&b, "  - {name: dc-%d, region: region-%d}\n", i, i%2)
	}
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - {name: service-%d, addresses: [\"10.1.%d.%d:443\"]}\n", i, i/250, i%250+1)
	}
	for _, role := range []struct {
		name string
		port int
	}{{"entries", 7101}, {"gateways", 7201}} {
		fmt.Fprintf(&b, "%s:\n", role.name)
		for i := range min(services, designNodes) {
			fmt.Fprintf(&b, "  - {name: %s-%d, data_centre: dc-%d, address: \"10.2.%d.%d:%d\"}\n", role.name, i, i%6, i/250, i%250+1, role.port)
		}
	}
	b.WriteString("control:\n  - {name: control-1, data_centre: dc-0, address: 10.3.0.1:7301, operator_address: 10.3.0.1:7311}\n")
	b.WriteString("operators:\n  - {name: amina, role: confirmer}\n")
	return []byte(b.String())
}
