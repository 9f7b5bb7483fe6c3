package dispatcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/services/leaser"
)

const (
	chunkSize = 32 << 10
	// chunkCount bounds what is buffered for a caller that reads slowly: 1 MiB.
	// The slot is returned once the response has been read from the backend
	// server.
	chunkCount = 32
	// writeStall is how long a caller may not read at all before its
	// connection is aborted, so that it cannot hold a slot.
	writeStall = 10 * time.Second
)

// chunk is a piece of a response body. The last one has an error: io.EOF at the
// regular end.
type chunk struct {
	data []byte
	err  error
}

// pass copies the response to the caller.
func (d *Dispatcher) pass(ctx context.Context, w http.ResponseWriter, t try, keep int, onAbort func(recorder.Outcome)) recorder.Outcome {
	readCtx, stopReading := context.WithCancel(ctx)
	defer stopReading()
	chunks := make(chan chunk, chunkCount)
	go d.readBody(readCtx, t, chunks)

	first := receive(ctx, chunks)
	if first.err != nil && !errors.Is(first.err, io.EOF) {
		return d.bodyFailed(ctx)
	}
	kept := recorder.Response{Status: t.response.StatusCode, Header: keptHeader(t.response.Header)}
	copyHeader(w.Header(), t.response.Header)
	w.Header().Set(recorder.HeaderOutcome, recorder.ValueCompleted)
	w.WriteHeader(t.response.StatusCode)
	controller := http.NewResponseController(w)
	for c := first; ; c = receive(ctx, chunks) {
		if len(kept.Body)+len(c.data) <= keep {
			kept.Body = append(kept.Body, c.data...)
		} else {
			kept.NotKept, kept.Body = true, nil
		}
		if err := writeChunk(w, controller, c, len(chunks) == 0); err != nil {
			onAbort(recorder.Cancelled{MayHaveRun: true})
			panic(http.ErrAbortHandler)
		}
		if errors.Is(c.err, io.EOF) {
			copyTrailer(w.Header(), t.response.Trailer)
			_ = controller.SetWriteDeadline(time.Time{})
			return recorder.Completed{Response: kept}
		}
		if c.err != nil {
			// Ending the handler would make the response look complete.
			d.counters.Int("responses_truncated").Add(1)
			onAbort(d.bodyFailed(ctx))
			panic(http.ErrAbortHandler)
		}
	}
}

// receive returns the next chunk. The channel is closed without a last chunk if
// reading was stopped.
func receive(ctx context.Context, chunks <-chan chunk) chunk {
	c, ok := <-chunks
	if !ok {
		return chunk{err: errors.Join(errReadingStopped, ctx.Err())}
	}
	return c
}

var errReadingStopped = errors.New("reading the response was stopped")

func (d *Dispatcher) bodyFailed(ctx context.Context) recorder.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return recorder.Cancelled{MayHaveRun: true}
	case ctx.Err() != nil:
		return recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamTimeout}
	default:
		return recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}
	}
}

// readBody reads the response, returns the slot, and retires the connections
// of a backend server that failed during the response.
func (d *Dispatcher) readBody(ctx context.Context, t try, chunks chan<- chunk) {
	latency := d.clock.Now().Sub(t.started)
	result := leaser.ResultAnswered
	if t.response.StatusCode == http.StatusServiceUnavailable {
		result = leaser.ResultShed
	}
	defer close(chunks)
	defer func() {
		_ = t.response.Body.Close()
		d.slots.Return(t.slot, result, latency)
	}()
	for {
		buf := make([]byte, chunkSize)
		n, err := t.response.Body.Read(buf)
		if err != nil && !errors.Is(err, io.EOF) {
			result = leaser.ResultUnused
			if ctx.Err() == nil {
				result = leaser.ResultFailed
				d.pool.Retire(t.slot.Address)
			}
		}
		select {
		case chunks <- chunk{data: buf[:n], err: err}:
		case <-ctx.Done():
			result = leaser.ResultUnused
			return
		}
		if err != nil {
			return
		}
	}
}

func writeChunk(w http.ResponseWriter, controller *http.ResponseController, c chunk, flush bool) error {
	if len(c.data) == 0 {
		return nil
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeStall))
	if _, err := w.Write(c.data); err != nil {
		return err
	}
	if flush && c.err == nil {
		return controller.Flush()
	}
	return nil
}

// hopByHop are the header fields of one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

func copyHeader(dst, src http.Header) {
	h := src.Clone()
	removeHopByHop(h)
	for name, values := range h {
		dst[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		dst["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// keptHeader returns the header fields that a resend gets.
func keptHeader(src http.Header) http.Header {
	h := src.Clone()
	removeHopByHop(h)
	h.Del("Content-Length")
	return h
}

func copyTrailer(dst, trailer http.Header) {
	for name, values := range trailer {
		dst[http.TrailerPrefix+name] = values
	}
}

func cutQuery(path string) (string, string, bool) { return strings.Cut(path, "?") }
