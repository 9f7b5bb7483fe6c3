package log_test

import (
	"bytes"
	"expvar"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/shared/modules/log"
)

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

// Guards against a program that blocks because its log output is not read.
func TestWriterNeverBlocks(t *testing.T) {
	t.Parallel()
	const lines = 2000
	out, dropped := &blockedWriter{release: make(chan struct{})}, new(expvar.Int)
	w := log.NewWriter(out, dropped)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the writer blocks")
	}
	close(out.release)
	w.Close()
	written := bytes.Count(out.Bytes(), []byte("\n"))
	require.Equal(t, int64(lines), dropped.Value()+int64(written))
	require.Positive(t, written)
}

// Guards against an unlimited rate of log lines, and against suppressed lines that
// are not counted.
func TestRateLimiter(t *testing.T) {
	t.Parallel()
	limiter, now := log.NewRateLimiter(3), time.Unix(100, 0)
	allowed := 0
	for range 10 {
		if _, ok := limiter.Allow(now); ok {
			allowed++
		}
	}
	require.Equal(t, 3, allowed)
	suppressed, ok := limiter.Allow(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 7, suppressed)
}

func TestRateLimiterDoesNotAllocate(t *testing.T) {
	limiter, now := log.NewRateLimiter(1), time.Unix(100, 0)
	require.Zero(t, testing.AllocsPerRun(100, func() { limiter.Allow(now) }))
}

func BenchmarkRateLimiterSuppressedLine(b *testing.B) {
	limiter, now := log.NewRateLimiter(1), time.Unix(100, 0)
	b.ReportAllocs()
	for b.Loop() {
		limiter.Allow(now)
	}
}
