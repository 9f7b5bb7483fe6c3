package loadsharer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/director"
	"github.com/redwingledge/redwingledge/shared/models/loadsharer"
)

// newReport returns a valid report with the given numbers of groups and servers.
func newReport(groups, servers int) loadsharer.Report {
	r := loadsharer.Report{Entry: "entry-1", DataCentre: "kano-a", Sequence: 1, HasServers: true}
	for i := range groups {
		r.Load.Groups = append(r.Load.Groups, loadsharer.GroupLoad{Service: fmt.Sprint("service-", i), DataCentre: "kano-b", Requests: uint32(i)})
		r.Load.Arrivals = append(r.Load.Arrivals, loadsharer.ServiceArrivals{Service: fmt.Sprint("service-", i), PerSecond: 1000})
	}
	for i := range servers {
		r.Load.Servers = append(r.Load.Servers, loadsharer.ServerLoad{Token: director.Token(70_000 + 3*i), Flows: uint32(i % 32)})
	}
	return r
}

func encodeAndDecode(t *testing.T, load loadsharer.Load) (decoded loadsharer.Load) {
	t.Helper()
	data, err := cbor.Marshal(load)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, &decoded))
	return decoded
}

// Guards against figures that the compact encoding loses, with and without compression, and against
// flows that it rounds by more than 3%, or small ones at all.
func TestEncodingKeepsFigures(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, 64, 256} {
		report := newReport(min(size, 64), size)
		require.NoError(t, report.Check())
		require.Equal(t, report.Load, encodeAndDecode(t, report.Load))
	}
	for _, flows := range []uint32{0, 1, 31, 32, 33, 63, 64, 99, 1023, 1025, 2047, 700_001, 1<<32 - 1} {
		decoded := encodeAndDecode(t, loadsharer.Load{Servers: []loadsharer.ServerLoad{{Token: 1, Flows: flows}}})
		require.InDelta(t, flows, decoded.Servers[0].Flows, float64(flows)/32)
		require.True(t, flows > 32 || decoded.Servers[0].Flows == flows)
	}
}

// Guards against reports that are too long, contradictory or out of range and change sums, and against
// errors that do not name the field.
func TestInvalidMessageIsRefused(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		field  string
		reason loadsharer.Reason
		change func(r *loadsharer.Report)
	}{
		{"entry", loadsharer.ReasonInvalidName, func(r *loadsharer.Report) { r.Entry = "" }},
		{"data centre", loadsharer.ReasonInvalidName, func(r *loadsharer.Report) { r.DataCentre = strings.Repeat("a", 129) }},
		{"sequence", loadsharer.ReasonOutOfRange, func(r *loadsharer.Report) { r.Sequence = 0 }},
		{"service of a group", loadsharer.ReasonInvalidName, func(r *loadsharer.Report) { r.Load.Groups[1].Service = "\xff" }},
		{"groups", loadsharer.ReasonTooLong, func(r *loadsharer.Report) { r.Load = newReport(65, 0).Load }},
		{"groups", loadsharer.ReasonContradictory, func(r *loadsharer.Report) { r.Load.Groups[1] = r.Load.Groups[0] }},
		{"arrivals", loadsharer.ReasonContradictory, func(r *loadsharer.Report) { r.Load.Arrivals[1] = r.Load.Arrivals[0] }},
		{"servers", loadsharer.ReasonTooLong, func(r *loadsharer.Report) { r.Load = newReport(0, 257).Load }},
		{"servers", loadsharer.ReasonContradictory, func(r *loadsharer.Report) { r.Load.Servers[1] = r.Load.Servers[0] }},
		{"servers", loadsharer.ReasonContradictory, func(r *loadsharer.Report) { r.HasServers = false }},
		{"requests of a group", loadsharer.ReasonOutOfRange, func(r *loadsharer.Report) { r.Load.Groups[0].Requests = 1<<20 + 1 }},
		{"arrivals per second", loadsharer.ReasonOutOfRange, func(r *loadsharer.Report) { r.Load.Arrivals[0].PerSecond = 1<<32 - 1 }},
		{"flows of a server", loadsharer.ReasonOutOfRange, func(r *loadsharer.Report) { r.Load.Servers[0].Flows = 1 << 31 }},
	} {
		report := newReport(2, 2)
		c.change(&report)
		var invalid loadsharer.ErrInvalid
		require.ErrorAs(t, report.Check(), &invalid, c.field)
		require.Equal(t, loadsharer.ErrInvalid{Field: c.field, Rule: invalid.Rule, Reason: c.reason}, invalid)
		require.ErrorContains(t, invalid, c.field+": ")
	}
	require.Error(t, loadsharer.Summary{Age: -1}.Check())
	require.Error(t, loadsharer.Summary{Load: newReport(0, 1).Load}.Check(), "servers in a summary that says it has none")
	require.Error(t, loadsharer.Summary{HasServers: true, Load: newReport(0, loadsharer.MaxSummaryServers+1).Load}.Check())
}

// Guards against unreadable input that ends the process. What can be read must have one encoding that
// gives the same load.
func FuzzLoad(f *testing.F) {
	for _, load := range []loadsharer.Load{{}, newReport(3, 2).Load, newReport(64, 256).Load} {
		data, err := cbor.Marshal(load)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var load loadsharer.Load
		if err := cbor.Unmarshal(data, &load); err == nil {
			require.Equal(t, load, encodeAndDecode(t, load))
		}
	})
}
