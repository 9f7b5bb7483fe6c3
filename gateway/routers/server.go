package routers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/models/recorder"
	"github.com/redwingledge/redwingledge/gateway/models/viewer"
	"github.com/redwingledge/redwingledge/gateway/services/dispatcher"
	"github.com/redwingledge/redwingledge/shared/modules/drainer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 2 * time.Minute
	// pingTimeout is the time without traffic on an HTTP/2 connection after which a
	// ping is sent, and the time limit for its answer.
	pingTimeout = 15 * time.Second
	maxStreams  = 1000
)

// Claims grants claims on idempotency keys.
type Claims interface {
	Claim(ctx context.Context, key messenger.Key, fingerprint [32]byte, deadline time.Time) (uint64, recorder.Outcome)
	Finish(id uint64, outcome recorder.Outcome)
}

// Settings configure a Server.
type Settings struct {
	Listen netip.AddrPort
	// ClientAccountHeader names the request header with the client account.
	ClientAccountHeader string
	// ClientAccountFromCertificate takes the client account only from the client certificate.
	ClientAccountFromCertificate bool
	DefaultTimeout               time.Duration
	MaxTimeout                   time.Duration
	// MaxBody bounds request bodies, in bytes.
	MaxBody int64
	// MaxKept bounds response bodies that are stored for resends, in bytes.
	MaxKept int
	// MaxRequests bounds the concurrent requests.
	MaxRequests int64
}

// Server serves callers over HTTP/1.1 and HTTP/2 (without TLS: with prior
// knowledge).
type Server struct {
	settings          Settings
	view              func() viewer.View
	claims            Claims
	requestDispatcher *dispatcher.Dispatcher
	clock             timer.Service
	counters          *reporter.Counters
	logger            *slog.Logger
	http              *drainer.Server
	draining          atomic.Bool
	openRequests      atomic.Int64
}

// Listen binds the address of a Server.
func Listen(settings Settings, config *tls.Config, view func() viewer.View, claims Claims, requestDispatcher *dispatcher.Dispatcher,
	clock timer.Service, counters *reporter.Counters, logger *slog.Logger,
) (*Server, error) {
	listener, err := net.Listen("tcp", settings.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("bind the HTTP address: %w", err)
	}
	s := &Server{settings: settings, view: view, claims: claims, requestDispatcher: requestDispatcher, clock: clock, counters: counters, logger: logger}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(config == nil)
	server := &http.Server{
		Handler: s, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		HTTP2:    &http.HTTP2Config{MaxConcurrentStreams: maxStreams, SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
		ErrorLog: slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	if config != nil {
		config = config.Clone()
		// Callers need no certificate unless it names the client account.
		if !settings.ClientAccountFromCertificate {
			config.ClientAuth = tls.VerifyClientCertIfGiven
		}
		server.TLSConfig = config
	}
	s.http = drainer.New(server, listener)
	counters.Func("requests_open", func() any { return s.openRequests.Load() })
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort { return netip.MustParseAddrPort(s.http.Addr().String()) }

// Serve serves callers until Shutdown is called.
func (s *Server) Serve() error { return s.http.Serve() }

// Drain asks callers to close their connections after their next response. All
// requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown waits until ctx ends for the open requests, and for the first requests on
// connections that were accepted just before.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("%d requests were aborted at the stop: %w", s.openRequests.Load(), err)
	}
	return nil
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.clock.Now()
	s.counters.Int("requests").Add(1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer s.openRequests.Add(-1)
	if s.openRequests.Add(1) > s.settings.MaxRequests {
		s.reply(w, outcomeBeforeParsing(r, recorder.ReasonQueueFull, time.Second))
		return
	}
	view := s.view()
	if service, _ := splitService(r); !view.HasService(service) {
		reason := recorder.ReasonUnknownService
		if view.Version == 0 {
			reason = recorder.ReasonNoBackend
		}
		s.reply(w, outcomeBeforeParsing(r, reason, 0))
		return
	}
	p, err := s.parse(w, r, arrived)
	if err != nil {
		s.replyMalformed(w, err)
		return
	}
	if !p.hasKey {
		s.finish(w, s.requestDispatcher.Run(r.Context(), w, p.Request, 0, s.countOutcome))
		return
	}
	s.serveKeyed(w, r, p)
}

// outcomeBeforeParsing returns the outcome of a request that is refused before it is
// parsed. If it carries a key, an earlier attempt through any gateway may have run.
func outcomeBeforeParsing(r *http.Request, reason recorder.Reason, retryAfter time.Duration) recorder.Outcome {
	if r.Header.Get(HeaderIdempotencyKey) != "" && !isIdempotent(r.Method) {
		return recorder.FailedMayHaveRun{Reason: reason}
	}
	return recorder.RefusedNotRun{Reason: reason, RetryAfter: retryAfter}
}

func (s *Server) serveKeyed(w http.ResponseWriter, r *http.Request, p parsedRequest) {
	id, outcome := s.claims.Claim(r.Context(), p.key, p.fingerprint, p.Deadline)
	if outcome != nil {
		s.counters.Int("resends").Add(1)
		s.reply(w, outcome)
		return
	}
	// A panic other than http.ErrAbortHandler must not leave the claim without an outcome.
	isFinished := false
	finishClaim := func(outcome recorder.Outcome) {
		if !isFinished {
			isFinished = true
			s.claims.Finish(id, outcome)
		}
	}
	defer func() { finishClaim(recorder.FailedMayHaveRun{Reason: recorder.ReasonUpstreamFailed}) }()
	outcome = s.requestDispatcher.Run(r.Context(), w, p.Request, s.settings.MaxKept, func(o recorder.Outcome) {
		s.countOutcome(o)
		finishClaim(o)
	})
	finishClaim(outcome)
	s.finish(w, outcome)
}

// finish reports the outcome of a request that this gateway dispatched. The response
// of a completed request has already been sent to the caller.
func (s *Server) finish(w http.ResponseWriter, outcome recorder.Outcome) {
	if _, ok := outcome.(recorder.Completed); ok {
		s.countOutcome(outcome)
		return
	}
	s.reply(w, outcome)
}

// reply sends a stored response or a problem document.
func (s *Server) reply(w http.ResponseWriter, outcome recorder.Outcome) {
	s.countOutcome(outcome)
	if problem, ok := recorder.NewProblem(outcome, rand.Int64N); ok {
		problem.Write(w)
		return
	}
	completed, ok := outcome.(recorder.Completed)
	if !ok {
		return
	}
	for name, values := range completed.Response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(recorder.HeaderOutcome, recorder.ValueCompleted)
	w.Header().Set("Content-Length", strconv.Itoa(len(completed.Response.Body)))
	w.WriteHeader(completed.Response.Status)
	_, _ = w.Write(completed.Response.Body)
}

func (s *Server) countOutcome(outcome recorder.Outcome) {
	switch outcome.(type) {
	case recorder.Completed:
		s.counters.Int("outcomes_completed").Add(1)
	case recorder.RefusedNotRun:
		s.counters.Int("outcomes_refused_not_run").Add(1)
	case recorder.FailedMayHaveRun:
		s.counters.Int("outcomes_failed_may_have_run").Add(1)
	case recorder.Cancelled:
		s.counters.Int("outcomes_cancelled").Add(1)
	}
}

func (s *Server) replyMalformed(w http.ResponseWriter, err error) {
	problem, _ := recorder.NewProblem(recorder.RefusedNotRun{Reason: recorder.ReasonBadRequest}, rand.Int64N)
	problem.Detail = err.Error()
	if errors.Is(err, errBodyTooLarge) {
		problem.Status, problem.Title = http.StatusRequestEntityTooLarge, http.StatusText(http.StatusRequestEntityTooLarge)
	}
	s.countOutcome(recorder.RefusedNotRun{})
	problem.Write(w)
}
