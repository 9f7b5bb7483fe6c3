package cataloger_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
)

const samplePath = "../../../docs/declaration.yaml"

func readSample(t testing.TB) string {
	t.Helper()
	sample, err := os.ReadFile(samplePath)
	require.NoError(t, err)
	return string(sample)
}

// Guards against a sample in the documentation that the parser rejects or reads
// only in part.
func TestParseSample(t *testing.T) {
	t.Parallel()
	c, err := cataloger.Parse([]byte(readSample(t)))
	require.NoError(t, err)
	require.Len(t, c.DataCentres, 3)
	require.Len(t, c.Control, 3)
	require.Equal(t, cataloger.KindRequest, c.Services[1].Kind)
	require.Equal(t, cataloger.SprayRegion, c.Services[1].SprayScope, "an omitted key must have its default value")
	require.Equal(t, "[2001:db8::10]:443", c.Services[0].Addresses[1].String())
	require.True(t, c.Policies.ForbidSelfConfirm)
}

// Guards against a parser that stops at the first problem or reports a wrong line
// number.
func TestParseReportsEveryProblemWithItsLine(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		old, changed string
		line         string
		want         string
	}{
		"unknown key":        {"    protocol: tcp", "    protocoll: tcp", "protocoll: tcp", "is not a known key"},
		"duplicate key":      {"    protocol: tcp", "    kind: request", "kind: request\n    # At", "is already set in line"},
		"duplicate name":     {"name: bello", "name: amina", "name: amina\n    role: planner", "already the name of operators[0]"},
		"process name":       {"name: bello", "name: entry-1", "name: entry-1\n    role", "is also the name of an entry"},
		"unknown centre":     {"[kano-a, kano-b]", "[kano-a, kano-x]", "kano-x", "not one of the declared"},
		"taken address":      {"192.0.2.20:443", "192.0.2.10:443", "- 192.0.2.10:443\n\n", `already belongs to service "manifest-desk"`},
		"two IPv4 addresses": {`"[2001:db8::10]:443"`, "192.0.2.11:443", "192.0.2.11", "one address and port per IP family"},
		"no port":            {"192.0.2.20:443", "192.0.2.20", "192.0.2.20\n", "is not IP:PORT"},
		"wrong role":         {"role: planner", "role: admin", "role: admin", "is not viewer"},
		"no confirmer":       {"role: confirmer", "role: viewer", "operators:\n  - name: amina", "at least one confirmer"},
		"no second planner":  {"role: planner", "role: viewer", "operators:\n  - name: amina", "second planner"},
		"short hash":         {"fb4f4ff1eeccfff060f684315f00554ccd5e60276f90c09d279ce24c82153b43", "59", "token_sha256: 59\n", "SHA-256"},
		"not a list":         {"[kano-a, kano-b]", "kano-a", "data_centres: kano-a", "must be a list"},
		"no value":           {"role: planner", "role:", "role:\n\n# Rules", "has no value"},
		"UDP requests":       {"kind: request", "kind: request\n    protocol: udp", "protocol: udp", "must use tcp"},
		"two replicas":       {"  - name: control-3\n    data_centre: kaduna-a\n    address: 10.3.0.9:7300\n    operator_address: 10.3.0.9:7301\n", "", "control:\n", "1, 3, 5 or 7"},
		"not YAML":           {"    protocol: tcp", "    protocol: [", "", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sample := readSample(t)
			require.Contains(t, sample, tt.old)
			changed := strings.Replace(sample, tt.old, tt.changed, 1)
			_, err := cataloger.Parse([]byte(changed))
			var declaration cataloger.ErrDeclaration
			require.ErrorAs(t, err, &declaration)
			if tt.want == "" {
				return
			}
			before, _, found := strings.Cut(changed, tt.line)
			require.True(t, found)
			require.Len(t, declaration.Problems, 1, "%v", err)
			require.Equal(t, strings.Count(before, "\n")+1, declaration.Problems[0].Line, "%v", err)
			require.Contains(t, declaration.Problems[0].Message, tt.want)
		})
	}
	invalid := strings.NewReplacer("role: planner", "role: admin", "192.0.2.20:443", "192.0.2.20", "kind: request", "kind: batch").Replace(readSample(t))
	_, err := cataloger.Parse([]byte(invalid))
	var declaration cataloger.ErrDeclaration
	require.ErrorAs(t, err, &declaration)
	require.Len(t, declaration.Problems, 3, "%v", err)
}

// Guards against a new declaration that loses what operators have drained and
// taken out, or that keeps it for services that no longer exist.
func TestWithOperatorState(t *testing.T) {
	t.Parallel()
	c, err := cataloger.Parse([]byte(readSample(t)))
	require.NoError(t, err)
	kept, gone := announcer.ID{Service: "sack-orders", Host: "h1"}, announcer.ID{Service: "manifest-desk", Host: "h1"}
	old, err := c.WithDrained(kept, true).WithDrained(gone, true).WithTakenOut("kano-b", true)
	require.NoError(t, err)
	next := c
	next.Services = c.Services[1:]
	next = next.WithOperatorState(old)
	require.Equal(t, []announcer.ID{kept}, next.Drained)
	require.True(t, next.IsTakenOut("kano-b"))
	require.False(t, c.IsTakenOut("kano-b"), "the earlier catalog must not change")
}

// Guards against panics, and against a catalog that Parse accepts although Check
// reports problems.
func FuzzParse(f *testing.F) {
	f.Add(readSample(f))
	f.Add("data_centres: [{name: a, region: b}]\n")
	f.Add("a: &x [*x]\n--- {}\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := cataloger.Parse([]byte(text))
		if err == nil {
			require.Empty(t, c.Check())
			return
		}
		require.True(t, cataloger.IsErrDeclaration(err))
	})
}
