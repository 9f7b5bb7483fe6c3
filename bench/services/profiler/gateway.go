package profiler

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/bench/modules/tabulator"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/claimer"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
)

// measureClaims fills a member of a claim group with keys, and measures the time, memory and
// messages of the claims.
func measureClaims(sizes []int) (string, error) {
	table := tabulator.Table{
		Title:   "Claims at one member of a group",
		Columns: []string{"keys", "µs per claim", "bytes of memory per key", "bytes sent per claim and member"},
	}
	for _, size := range sizes {
		now := time.Unix(1_700_000_000, 0)
		m := claimer.New(claimer.Settings{
			Self: "gateway-0", MaxDeadline: time.Minute, OutcomeLifetime: 15 * time.Minute, RoundTimeout: time.Second, ViewSpread: 3 * time.Second,
			MaxKeys: size + 2, MaxBytes: 1 << 30, MaxPending: 1000, FirstStart: true,
		}, now, rand.New(rand.NewPCG(1, 1)))
		gateways := []viewer.Gateway{{Name: "gateway-0", DataCentre: "kano-a"}, {Name: "gateway-1", DataCentre: "kano-b"}}
		m.Step(now, claimer.ListChanged{Gateways: gateways})
		// After its start a gateway answers no claims until its peers can no longer hold earlier
		// ones.
		for range 60 * 30 {
			now = now.Add(time.Second)
			m.Step(now, claimer.Tick{})
		}
		hashes := listHashes(m, now)
		before, start := heapInUse(), time.Now()
		granted, sentBytes := 0, 0
		for i := range size {
			req := messenger.ClaimRequest{
				Key:     messenger.Key{Service: "sack-orders", ClientAccount: fmt.Sprintf("member-%d", i%100), Key: fmt.Sprintf("%032x", i)},
				Attempt: messenger.Attempt{Gateway: "gateway-1", ID: uint64(i)}, ListHashes: hashes,
			}
			for _, out := range m.Step(now, claimer.ClaimReceived{Call: uint64(i), Request: req}) {
				answer, ok := out.(claimer.AnswerClaim)
				if ok && answer.Answer.Status == messenger.ClaimGranted {
					granted++
				}
				if i == size-1 && ok {
					n, err := encodedBytes(req, answer.Answer)
					if err != nil {
						return "", err
					}
					sentBytes = n
				}
			}
		}
		timePerClaim := time.Since(start) / time.Duration(size)
		if granted != size {
			return "", fmt.Errorf("measure claims: %d of %d were granted", granted, size)
		}
		heapPerKey := float64(heapInUse()-before) / float64(size)
		// This use of m keeps the garbage collector from freeing the keys before the heap is
		// measured.
		if m.Keys() < size {
			return "", fmt.Errorf("measure claims: %d of %d keys are held", m.Keys(), size)
		}
		table.Add(size, float64(timePerClaim.Nanoseconds())/1000, heapPerKey, sentBytes)
	}
	return table.String(), nil
}

// listHashes returns the hashes of the gateway lists that a member uses now. It reads them from a
// claim that it makes the member start.
func listHashes(m *claimer.Machine, now time.Time) []uint64 {
	request := claimer.ClaimRequested{Request: 1, Key: messenger.Key{Key: "probe"}, Deadline: now.Add(time.Second)}
	for _, out := range m.Step(now, request) {
		if send, ok := out.(claimer.SendClaim); ok {
			m.Step(now, claimer.CallerCancelled{Request: 1})
			return send.Claim.ListHashes
		}
	}
	return nil
}

// encodedBytes returns the encoded size of messages plus the overhead of one call.
func encodedBytes(messages ...any) (int, error) {
	sum := gossiper.MessageOverhead
	for _, message := range messages {
		data, err := cbor.Marshal(message)
		if err != nil {
			return 0, fmt.Errorf("encode %T: %w", message, err)
		}
		sum += len(data)
	}
	return sum, nil
}

// measureGrants measures an owner from which each gateway requests one slot. The requests go through
// the backend servers of the owner in turn. There are 7 backend servers per gateway, as at the design
// size.
func measureGrants(sizes []int, seed uint64) (string, error) {
	table := tabulator.Table{
		Title:   "Slot grants: a view of all gateways and 7 backend servers for each, one request of each gateway to one owner",
		Columns: []string{"gateways", "backend servers", "ms per view at the owner", "µs per request", "bytes per request and answer", "requests per second of one gateway in use, by the renewal period"},
	}
	for _, size := range sizes {
		view, owned := makeView(size)
		now := time.Unix(1_700_000_000, 0)
		owner := granter.New("gateway-0", granter.Settings{Lease: 2 * time.Second, ViewSpread: 3 * time.Second})
		start := time.Now()
		owner.SetView(now, view)
		viewTime := time.Since(start)
		now = now.Add(500 * time.Millisecond)
		for range 12 {
			owner.Tick(now)
			now = now.Add(500 * time.Millisecond)
		}
		bytes := 0
		start = time.Now()
		for i := range size {
			req := messenger.GrantRequest{
				From: fmt.Sprintf("gateway-%d", i), Epoch: seed, Sequence: 1,
				Demands: []messenger.Demand{{ID: owned[i%len(owned)], Wanted: 1, Report: messenger.Report{Answers: 3, Latency: time.Second}}},
			}
			answer := owner.Grant(now, req)
			if i == size-1 {
				n, err := encodedBytes(req, answer)
				if err != nil {
					return "", err
				}
				bytes = n
			}
		}
		timePerRequest := time.Since(start) / time.Duration(size)
		table.Add(size, len(view.Backends), viewTime.Seconds()*1000, float64(timePerRequest.Nanoseconds())/1000, bytes, measureGrantRequests(view, seed))
	}
	return table.String(), nil
}

// measureGrantRequests returns the requests per second of a gateway that keeps 8 slots in use, one
// for each of 8 owners that have granted it.
func measureGrantRequests(view viewer.View, seed uint64) float64 {
	now := time.Unix(1_700_000_000, 0)
	leases := leaseholder.New("gateway-0", 2*time.Second, rand.New(rand.NewPCG(seed, 1)))
	leases.SetView(view)
	const seconds = 5
	count := 0
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		need := max(0, 8-inUse(leases, view))
		for _, due := range leases.DueRequests(now, map[string]int{"sack-orders": need}, nil) {
			count++
			answer := messenger.GrantAnswer{}
			for _, d := range due.Request.Demands {
				answer.Grants = append(answer.Grants, messenger.Grant{ID: d.ID, Slots: min(d.Wanted, specifier.Slots), Lease: 2 * time.Second})
			}
			leases.HandleAnswer(now, due.To, due.Request.Sequence, answer)
		}
		for range need {
			leases.Take(now, "sack-orders")
		}
	}
	return float64(count) / seconds
}

func inUse(leases *leaseholder.Leases, view viewer.View) int {
	sum := 0
	for _, r := range view.Backends {
		sum += leases.InUse(r.ID)
	}
	return sum
}

// makeView returns a view of gateways and of 7 backend servers for each, and the ids of the backend
// servers that gateway-0 owns.
func makeView(gateways int) (viewer.View, []announcer.ID) {
	d := specifier.Deployments()[0]
	view := viewer.View{Services: []string{"sack-orders"}}
	for i := range gateways {
		view.Gateways = append(view.Gateways, viewer.Gateway{Name: fmt.Sprintf("gateway-%d", i), DataCentre: d.DataCentre(i)})
	}
	var owned []announcer.ID
	for i := range 7 * gateways {
		r := d.Record("sack-orders", i)
		view.Backends = append(view.Backends, r)
		if granter.Owner(view, r) == "gateway-0" {
			owned = append(owned, r.ID)
		}
	}
	return view, owned
}
