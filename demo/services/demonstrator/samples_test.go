package demonstrator_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against settings that are missing from the sample files, and sample settings that no
// longer exist.
func TestSamplesShowEverySetting(t *testing.T) {
	t.Parallel()
	for _, program := range []string{"control", "entry", "gateway", "rwctl"} {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			help, err := exec.Command(filepath.Join(programs, program), "--help").Output()
			require.NoError(t, err)
			sample, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "samples", program+".env"))
			require.NoError(t, err)
			settings := unique(regexp.MustCompile(`\$(REDWINGLEDGE_[A-Z0-9_]+)`).FindAllSubmatch(help, -1))
			shown := unique(regexp.MustCompile(`(?m)^#?(REDWINGLEDGE_[A-Z0-9_]+)=`).FindAllSubmatch(sample, -1))
			require.NotEmpty(t, settings)
			require.Equal(t, settings, shown)
		})
	}
}

func unique(matches [][][]byte) map[string]bool {
	names := make(map[string]bool)
	for _, match := range matches {
		names[string(match[1])] = true
	}
	return names
}
