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
	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
)

const (
	chunkSize = 32 << 10
	// chunkCount limits the data buffered for a caller that reads slowly to 1 MiB. The slot is
	// returned once the whole response has been read from the backend server.
	chunkCount = 32
	// writeTimeout is how long a caller may stop reading before its connection is aborted, so
	// that it cannot hold a slot.
	writeTimeout = 10 * time.Second
)

// chunk is a part of a response body. The last one has an error, which is io.EOF if the body is
// complete.
type chunk struct {
	data []byte
	err  error
}

// forwardResponse copies the response to the caller.
func (d *Dispatcher) forwardResponse(ctx context.Context, w http.ResponseWriter, a attempt, keepLimit int, onAbort func(recorder.Outcome)) recorder.Outcome {
	if a.body == nil {
		a.body = d.startReading(ctx, a)
	}
	defer a.body.stop()
	chunks := a.body.chunks
	first := receiveChunk(ctx, chunks)
	if first.err != nil && !errors.Is(first.err, io.EOF) {
		return d.bodyFailureOutcome(ctx)
	}
	kept := recorder.Response{Status: a.response.StatusCode, Header: keptHeader(a.response.Header)}
	copyHeader(w.Header(), a.response.Header)
	w.Header().Set(recorder.HeaderOutcome, recorder.ValueCompleted)
	w.WriteHeader(a.response.StatusCode)
	controller := http.NewResponseController(w)
	for c := first; ; c = receiveChunk(ctx, chunks) {
		if len(kept.Body)+len(c.data) <= keepLimit {
			kept.Body = append(kept.Body, c.data...)
		} else {
			kept.NotKept, kept.Body = true, nil
		}
		if err := writeChunk(w, controller, c, len(chunks) == 0); err != nil {
			onAbort(recorder.Cancelled{MayHaveRun: true})
			panic(http.ErrAbortHandler)
		}
		if errors.Is(c.err, io.EOF) {
			copyTrailer(w.Header(), a.response.Trailer)
			_ = controller.SetWriteDeadline(time.Time{})
			return recorder.Completed{Response: kept}
		}
		if c.err != nil {
			// If the handler returned, the truncated response would look complete.
			d.counters.Int("responses_truncated").Add(1)
			onAbort(d.bodyFailureOutcome(ctx))
			panic(http.ErrAbortHandler)
		}
	}
}

// receiveChunk returns the next chunk. If reading was stopped, the channel is closed without a
// last chunk, and receiveChunk returns one with an error.
func receiveChunk(ctx context.Context, chunks <-chan chunk) chunk {
	c, ok := <-chunks
	if !ok {
		return chunk{err: errors.Join(errReadingStopped, ctx.Err())}
	}
	return c
}

var errReadingStopped = errors.New("reading the response was stopped")

func (d *Dispatcher) bodyFailureOutcome(ctx context.Context) recorder.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return recorder.Cancelled{MayHaveRun: true}
	case ctx.Err() != nil:
		return recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamTimeout}
	default:
		return recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}
	}
}

// bodyReader is a response body that is read ahead of the caller.
type bodyReader struct {
	chunks chan chunk
	// ready is closed once the body has been read to its end or the chunks fill the buffer. err
	// is then set in the former case, and is io.EOF if the body is complete.
	ready chan struct{}
	err   error
	// stop ends reading and returns the slot.
	stop context.CancelFunc
}

// startReading starts to read the response body.
func (d *Dispatcher) startReading(ctx context.Context, a attempt) *bodyReader {
	ctx, stop := context.WithCancel(ctx)
	r := &bodyReader{chunks: make(chan chunk, chunkCount), ready: make(chan struct{}), stop: stop}
	go d.readBody(ctx, a, r)
	return r
}

// readBody reads the response body, returns the slot, and closes the idle connections to a
// backend server that failed during the response.
func (d *Dispatcher) readBody(ctx context.Context, a attempt, r *bodyReader) {
	latency := d.clock.Now().Sub(a.started)
	result := leaseholder.ResultAnswered
	if a.response.StatusCode == http.StatusServiceUnavailable {
		result = leaseholder.ResultShed
	}
	isReady := false
	setReady := func(err error) {
		if !isReady {
			isReady, r.err = true, err
			close(r.ready)
		}
	}
	defer close(r.chunks)
	defer func() {
		_ = a.response.Body.Close()
		if result == leaseholder.ResultUnused && isOvertaken(ctx) {
			d.returnOvertaken(a.slot, a.isSecond, a.started)
			return
		}
		d.slots.Return(a.slot, result, latency)
	}()
	for {
		buf := make([]byte, chunkSize)
		n, err := a.response.Body.Read(buf)
		if err != nil && !errors.Is(err, io.EOF) {
			result = leaseholder.ResultUnused
			if ctx.Err() == nil {
				result = leaseholder.ResultFailed
				d.pool.CloseIdle(a.slot.Address)
			}
		}
		select {
		case r.chunks <- chunk{data: buf[:n], err: err}:
		case <-ctx.Done():
			result = leaseholder.ResultUnused
			setReady(ctx.Err())
			return
		}
		if err != nil || len(r.chunks) == chunkCount {
			setReady(err)
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
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(c.data); err != nil {
		return err
	}
	if flush && c.err == nil {
		return controller.Flush()
	}
	return nil
}

// hopByHop are the header fields that apply to one connection only (RFC 9110, section 7.6.1).
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

// keptHeader returns the header fields that are stored for resends.
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
