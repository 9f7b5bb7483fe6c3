package main

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

// Guards against invalid settings that are accepted, or reported only one at a time.
func TestSettings(t *testing.T) {
	t.Parallel()
	parse := func(args ...string) error { return setting.Parse(new(settings), args, "control", "", io.Discard) }
	good := []string{"--name=b", "--replica=b=127.0.0.1:2,a=127.0.0.1:1,c=127.0.0.1:3", "--data-folder=x"}
	var s settings
	require.NoError(t, setting.Parse(&s, good, "control", "", io.Discard))
	require.Equal(t, "127.0.0.1:2", s.GRPCAddress.String())
	require.Equal(t, "a", s.replicationSettings().Peers[0].Name)

	err := parse("--name=d", "--replica=a=127.0.0.1:1,b=127.0.0.1:1", "--data-folder=", "--heartbeat=1ms",
		"--election-timeout=1ms", "--trust-disk-after=1ms", "--snapshot-entries=1", "--keep-entries=2", "--max-data-size=1")
	for _, name := range []string{"name", "replica", "data-folder", "heartbeat", "election-timeout", "trust-disk-after", "snapshot-entries", "keep-entries", "max-data-size"} {
		require.ErrorContains(t, err, "--"+name+":")
	}
	err = parse("--name=a", "--replica=a=192.0.2.1:1", "--data-folder=x")
	require.ErrorContains(t, err, "--grpc-address: 192.0.2.1:1 is not a loopback address")
}
