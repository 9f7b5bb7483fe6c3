package log

import (
	"expvar"
	"io"
	"sync"

	"github.com/redwingledge/redwingledge/shared/modules/buffer"
)

// ringLines is the maximum number of queued lines. At 300 bytes per line they take
// 150 KB.
const ringLines = 512

// Writer queues lines for a slower writer and never blocks. If the queue is full, it
// drops and counts the line.
type Writer struct {
	ring    *buffer.Ring[[]byte]
	dropped *expvar.Int
	done    sync.WaitGroup
}

// NewWriter returns a Writer and starts the goroutine that writes its lines to out.
// It counts dropped lines in dropped.
func NewWriter(out io.Writer, dropped *expvar.Int) *Writer {
	w := &Writer{ring: buffer.NewRing[[]byte](ringLines), dropped: dropped}
	w.done.Go(func() {
		for {
			line, ok := w.ring.Pop()
			if !ok {
				return
			}
			// A failed write of a log line cannot be reported anywhere.
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

// Close writes the queued lines and stops the goroutine.
func (w *Writer) Close() {
	w.ring.Close()
	w.done.Wait()
}
