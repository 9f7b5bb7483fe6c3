// Package communicator connects an entry to its peers and to control. It serves the gRPC
// service redwingledge.entry.Peer, runs the state machines for membership, leases and
// configuration in one goroutine, and publishes the resulting view.
package communicator

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/redwingledge/redwingledge/entry/models/messenger"
	"github.com/redwingledge/redwingledge/entry/models/viewer"
	"github.com/redwingledge/redwingledge/entry/services/configurer"
	"github.com/redwingledge/redwingledge/entry/services/coordinator"
	"github.com/redwingledge/redwingledge/entry/services/gossiper"
	"github.com/redwingledge/redwingledge/entry/services/leaser"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/buffer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/modules/transporter"
)

const (
	queueCapacity = 4096
	// senderCount is the number of goroutines that deliver messages, so that peers
	// that do not respond block only some of them.
	senderCount = 16
	// deliverTimeout bounds a delivery. A probe that takes longer counts as failed.
	deliverTimeout = time.Second
	// leavePeriod is the time for gossip to spread that this entry leaves.
	leavePeriod = time.Second
)

// Counters of messages to and from peers.
const (
	counterSent      = "peer_messages_sent"
	counterFailed    = "peer_messages_failed"
	counterDropped   = "peer_messages_dropped"
	counterUnhandled = "peer_messages_unhandled"
)

// Options configure a Service.
type Options struct {
	Name          string
	DataCentre    string
	Region        string
	PacketAddress netip.AddrPort
	// Seeds are gRPC addresses of entries of the region.
	Seeds []netip.AddrPort
	// Control are gRPC addresses of control replicas.
	Control []netip.AddrPort
	Lease   time.Duration
	TLS     *tls.Config
	Seed    uint64

	Timer    timer.Service
	Counters *reporter.Counters
	Logger   *slog.Logger
}

// Service runs the control plane of an entry. Its methods are safe for concurrent use.
type Service struct {
	options Options
	view    *viewer.Builder
	inputs  *buffer.Ring[queuedInput]
	outbox  *buffer.Ring[coordinator.Send]
	pool    *transporter.Pool
	history *configurer.History

	handlersMu sync.RWMutex
	handlers   []handler

	overflowMu sync.Mutex
	overflow   []queuedInput

	loop       *loop
	ticks      *timer.Subscription
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup
}

type handler struct {
	first, last messenger.Kind
	handle      messenger.Handler
}

var _ messenger.Outbox = (*Service)(nil)

// New returns a Service that does nothing until Start.
func New(options Options) *Service {
	if options.Lease == 0 {
		options.Lease = leaser.DefaultLease
	}
	s := &Service{
		options: options,
		view:    viewer.NewBuilder(),
		inputs:  buffer.NewRing[queuedInput](queueCapacity),
		outbox:  buffer.NewRing[coordinator.Send](queueCapacity),
		pool:    transporter.NewPool(options.TLS),
		history: configurer.NewHistory(),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, name := range []string{counterSent, counterFailed, counterDropped, counterUnhandled} {
		options.Counters.Int(name)
	}
	return s
}

// View returns the current view.
func (s *Service) View() *viewer.View { return s.view.Get() }

// RegisterHandler registers handle for messages of the kinds first to last, inclusive.
// It must be called before Start.
func (s *Service) RegisterHandler(first, last messenger.Kind, handle messenger.Handler) {
	s.handlersMu.Lock()
	defer s.handlersMu.Unlock()
	s.handlers = append(s.handlers, handler{first: first, last: last, handle: handle})
}

// Send queues messages for the named live entry. It returns false if there is no such
// entry or the queue is full.
func (s *Service) Send(to string, messages ...messenger.Message) bool {
	member, ok := s.View().GetMember(to)
	if !ok {
		return false
	}
	self, _ := s.View().GetMember(s.options.Name)
	return s.outbox.TryPush(coordinator.Send{To: member.Address, Envelope: messenger.Envelope{
		From: s.options.Name, Incarnation: self.Incarnation, Messages: messages,
	}})
}

// Observe reports the responses and failures of a backend server that the packet path
// has counted since the last report. It returns false if the report was dropped.
func (s *Service) Observe(id announcer.ID, responses, failures uint32) bool {
	return s.inputs.TryPush(queuedInput{input: coordinator.Observed{ID: id, Responses: responses, Failures: failures}})
}

// ErrBusy reports that an announcement could not be queued.
type ErrBusy struct{}

// Error returns the message of the error.
func (ErrBusy) Error() string { return "the entry is too busy to take announcements" }

// Announce applies a validated announcement. It returns ErrBusy if the queue is full
// or the service stops, and an error if ctx ends first.
func (s *Service) Announce(ctx context.Context, a announcer.Announcement) (coordinator.Answered, error) {
	reply := make(chan coordinator.Answered, 1)
	if !s.inputs.TryPush(queuedInput{input: coordinator.AnnouncementReceived{Announcement: a}, reply: reply}) {
		return coordinator.Answered{}, ErrBusy{}
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return coordinator.Answered{}, fmt.Errorf("announce %s: %w", a.ID, ctx.Err())
	case <-s.ctx.Done():
		return coordinator.Answered{}, ErrBusy{}
	}
}

// Lease returns the duration of a lease.
func (s *Service) Lease() time.Duration { return s.options.Lease }

// GRPCService returns the gRPC service to be served on the gRPC address.
func (s *Service) GRPCService() *transporter.Service {
	service := transporter.NewService(messenger.PeerService)
	transporter.Handle(service, "Deliver", s.deliver)
	transporter.Handle(service, "Fetch", s.fetch)
	return service
}

// Start joins the membership. The gRPC server must already be bound to address.
func (s *Service) Start(address netip.AddrPort) {
	now := s.options.Timer.Now()
	s.loop = newLoop(s, address, now)
	s.ticks = s.options.Timer.Subscribe("membership", gossiper.TickPeriod)
	s.goroutines.Go(s.loop.run)
	s.goroutines.Go(s.forwardTicks)
	for range senderCount {
		s.goroutines.Go(s.sendQueued)
	}
}

func (s *Service) random() *rand.Rand { return rand.New(rand.NewPCG(s.options.Seed, 0)) }

func (s *Service) forwardTicks() {
	for {
		select {
		case <-s.ticks.C:
			s.inputs.TryPush(queuedInput{input: coordinator.Tick{}})
		case <-s.ctx.Done():
			return
		}
	}
}

// Leave tells the peers that this entry leaves. It returns after leavePeriod, which
// gives the gossip time to spread, or when ctx ends. Messages are still answered until
// Stop.
func (s *Service) Leave(ctx context.Context) {
	ticks := s.options.Timer.Subscribe("leave", leavePeriod)
	defer ticks.Cancel()
	s.options.Logger.Info("leaving the membership")
	s.enqueueReliably(queuedInput{input: coordinator.Leave{}})
	select {
	case <-ticks.C:
	case <-ctx.Done():
	}
}

// Stop ends all goroutines of the service and closes its connections.
func (s *Service) Stop() {
	if s.ticks != nil {
		s.ticks.Cancel()
	}
	s.cancel()
	s.inputs.Close()
	s.outbox.Close()
	s.goroutines.Wait()
	s.pool.Close()
}

// deliver handles an envelope from a peer.
func (s *Service) deliver(ctx context.Context, env *messenger.Envelope) (*messenger.DeliverResponse, error) {
	if env.From == "" {
		return nil, status.Error(codes.InvalidArgument, "the envelope names no sender")
	}
	if err := s.authorize(ctx, env.From); err != nil {
		return nil, err
	}
	var membershipMessages []messenger.Message
	for _, msg := range env.Messages {
		if messenger.IsMembership(msg.Kind()) {
			membershipMessages = append(membershipMessages, msg)
		} else {
			s.dispatch(env.From, msg)
		}
	}
	if len(membershipMessages) > 0 {
		env.Messages = membershipMessages
		if !s.inputs.TryPush(queuedInput{input: coordinator.EnvelopeReceived{Envelope: *env}}) {
			return nil, status.Error(codes.ResourceExhausted, "the membership queue is full")
		}
	}
	return &messenger.DeliverResponse{}, nil
}

func (s *Service) dispatch(from string, msg messenger.Message) {
	s.handlersMu.RLock()
	defer s.handlersMu.RUnlock()
	for _, h := range s.handlers {
		if msg.Kind() >= h.first && msg.Kind() <= h.last {
			h.handle(from, msg)
			return
		}
	}
	s.options.Counters.Int(counterUnhandled).Add(1)
}

// authorize checks that the certificate of a peer matches its name, and that the
// configuration declares an entry of this name, if it declares any entries. The second
// check is needed because certificates of backend servers may come from the same
// authority. Without TLS all peers are accepted.
func (s *Service) authorize(ctx context.Context, from string) error {
	if s.options.TLS == nil {
		return nil
	}
	name := transporter.PeerCommonName(ctx)
	if name == "" || (from != "" && name != from) {
		return status.Errorf(codes.PermissionDenied, "certificate is for %q, not for %q", name, from)
	}
	catalog := s.View().Catalog
	if catalog == nil || len(catalog.Entries) == 0 || slices.ContainsFunc(catalog.Entries, func(e cataloger.Member) bool { return e.Name == name }) {
		return nil
	}
	return status.Errorf(codes.PermissionDenied, "the configuration does not declare entry %q", name)
}

// fetch returns the configuration to a peer if it is newer than the one it knows.
func (s *Service) fetch(ctx context.Context, req *messenger.FetchRequest) (*messenger.FetchResponse, error) {
	if err := s.authorize(ctx, ""); err != nil {
		return nil, err
	}
	return s.history.Answer(req.Known), nil
}
