package main

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

// Guards against a share of second attempts that would double the load.
func TestSecondSendShareOutOfRange(t *testing.T) {
	t.Parallel()
	for _, share := range []string{"-0.01", "0.11", "5", "NaN"} {
		err := setting.Parse(new(settings), []string{"--name=g", "--view-file=v", "--stop-timeout=90s", "--second-send-share=" + share}, "gateway", "", io.Discard)
		require.ErrorContains(t, err, "--second-send-share: must be 0 to 0.1")
	}
}
