package log

import (
	"expvar"
	"io"
	"sync"

	"github.com/redwingledge/redwingledge/shared/modules/buffer"
)

// ringLines bounds the lines that wait for the writer. At 300 bytes a line they
// take 150 KB.
const ringLines = 512

// Writer passes lines on to a slower writer without ever blocking. Lines that find
// its ring full are dropped and counted.
type Writer struct {
	ring    *buffer.Ring[[]byte]
	dropped *expvar.Int
	done    sync.WaitGroup
}

// NewWriter starts the goroutine that writes to out. Dropped lines are added to
// the counter.
func NewWriter(out io.Writer, dropped *expvar.Int) *Writer {
	w := &Writer{ring: buffer.NewRing[[]byte](ringLines), dropped: dropped}
	w.done.Go(func() {
		for {
			line, ok := w.ring.Pop()
			if !ok {
				return
			}
			// A writer that fails has nobody else to tell.
			_, _ = out.Write(line)
		}
	})
	return w
}

// Write queues a copy of a line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.ring.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and ends the goroutine.
func (w *Writer) Close() {
	w.ring.Close()
	w.done.Wait()
}
