package main

import (
	"net/netip"
	"time"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/gateway/routers"
	"github.com/redwingledge/redwingledge/gateway/services/claimer"
	"github.com/redwingledge/redwingledge/gateway/services/dispatcher"
	"github.com/redwingledge/redwingledge/gateway/services/granter"
	"github.com/redwingledge/redwingledge/gateway/services/hedger"
	"github.com/redwingledge/redwingledge/gateway/services/queuer"
	"github.com/redwingledge/redwingledge/gateway/services/scheduler"
	"github.com/redwingledge/redwingledge/shared/modules/runner"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
)

type settings struct {
	runner.CommonSettings `embed:""`

	announceSettings `embed:""`

	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`

	Name        string           `name:"name" env:"REDWINGLEDGE_NAME" required:"" help:"Name of this gateway in the configuration."`
	HTTPAddress netip.AddrPort   `name:"http-address" env:"REDWINGLEDGE_HTTP_ADDRESS" default:"127.0.0.1:8080" help:"IP:PORT for callers; HTTP/1.1 and HTTP/2."`
	PeerAddress netip.AddrPort   `name:"peer-address" env:"REDWINGLEDGE_PEER_ADDRESS" default:"127.0.0.1:8081" help:"IP:PORT for other gateways; gRPC."`
	Entries     []netip.AddrPort `name:"entry" env:"REDWINGLEDGE_ENTRIES" help:"IP:PORT of the gRPC address of an entry to follow; repeat it for several, nearest first."`
	ViewFile    string           `name:"view-file" env:"REDWINGLEDGE_VIEW_FILE" placeholder:"FILE" help:"JSON file with gateways, services and backend servers, instead of entries; changes are followed."`

	ClientAccountHeader          string        `name:"member-header" env:"REDWINGLEDGE_MEMBER_HEADER" default:"Member" help:"Request header that names the client account."`
	ClientAccountFromCertificate bool          `name:"member-from-certificate" env:"REDWINGLEDGE_MEMBER_FROM_CERTIFICATE" help:"Take the client account from the common name of the client certificate, and ignore the header."`
	DefaultTimeout               time.Duration `name:"default-timeout" env:"REDWINGLEDGE_DEFAULT_TIMEOUT" default:"30s" help:"Deadline of requests without Request-Timeout."`
	MaxTimeout                   time.Duration `name:"max-timeout" env:"REDWINGLEDGE_MAX_TIMEOUT" default:"60s" help:"Longest deadline of a request, at most 60s."`
	MaxBody                      int64         `name:"max-body" env:"REDWINGLEDGE_MAX_BODY" default:"8388608" help:"Largest request body, in bytes."`
	MaxKept                      int           `name:"max-kept" env:"REDWINGLEDGE_MAX_KEPT" default:"65536" help:"Largest response body that is kept for resends, in bytes."`
	MaxRequests                  int64         `name:"max-requests" env:"REDWINGLEDGE_MAX_REQUESTS" default:"10000" help:"Most requests open at a time."`
	QueuePerAccount              int           `name:"queue-per-member" env:"REDWINGLEDGE_QUEUE_PER_MEMBER" default:"100" help:"Most waiting requests of one client account of a service."`
	QueueTotal                   int           `name:"queue-total" env:"REDWINGLEDGE_QUEUE_TOTAL" default:"5000" help:"Most waiting requests of a service."`
	RetryShare                   float64       `name:"retry-share" env:"REDWINGLEDGE_RETRY_SHARE" default:"0.1" help:"Most retries for each request, 0 to 0.1."`
	SecondSendShare              float64       `name:"second-send-share" env:"REDWINGLEDGE_SECOND_SEND_SHARE" default:"0" help:"Most second attempts for each request, 0 to 0.1; 0 switches them off. A request with an idempotent method that gets no response in the usual time is sent to a second backend server as well."`

	Lease         time.Duration `name:"slot-lease" env:"REDWINGLEDGE_SLOT_LEASE" default:"2s" help:"Duration of a slot lease; the same at all gateways."`
	ViewSpread    time.Duration `name:"view-spread" env:"REDWINGLEDGE_VIEW_SPREAD" default:"3s" help:"Longest time until all gateways have a new view; the same at all gateways."`
	ClaimLifetime time.Duration `name:"claim-lifetime" env:"REDWINGLEDGE_CLAIM_LIFETIME" default:"15m" help:"How long an outcome is kept for resends; the same at all gateways."`
	ClaimRound    time.Duration `name:"claim-round" env:"REDWINGLEDGE_CLAIM_ROUND" default:"1s" help:"Longest time for one try to claim a key; the same at all gateways."`
	ClaimKeys     int           `name:"claim-keys" env:"REDWINGLEDGE_CLAIM_KEYS" default:"200000" help:"Most keys kept; further keys are refused."`
	ClaimBytes    int           `name:"claim-bytes" env:"REDWINGLEDGE_CLAIM_BYTES" default:"134217728" help:"Most bytes of kept responses; further responses are kept without body."`
	FirstStart    bool          `name:"first-start" env:"REDWINGLEDGE_FIRST_START" help:"Assert that no gateway of the region has served requests within the claim lifetime. Without it, gateways that all start at once accept no keys for one claim lifetime."`
	DrainDelay    time.Duration `name:"drain-delay" env:"REDWINGLEDGE_DRAIN_DELAY" default:"3s" help:"Time at a stop during which requests are still accepted while readiness is off."`
}

// Check adds a problem for each invalid value.
func (s *settings) Check(problems *setting.Problems) {
	s.CheckCommon(problems)
	problems.CheckListen("http-address", s.HTTPAddress, s.HasCertificates())
	problems.CheckListen("peer-address", s.PeerAddress, s.HasCertificates())
	if s.Name == "" || len(s.Name) > 128 {
		problems.Addf("name", "must have 1 to 128 bytes")
	}
	if (len(s.Entries) == 0) == (s.ViewFile == "") {
		problems.Addf("entry", "set either --entry or --view-file")
	}
	if s.ClientAccountFromCertificate && !s.HasCertificates() {
		problems.Addf("member-from-certificate", "needs --tls-cert, --tls-key and --tls-ca")
	}
	if s.ClientAccountHeader == "" {
		problems.Addf("member-header", "must not be empty")
	}
	positive := func(name string, ok bool) {
		if !ok {
			problems.Addf(name, "must be above 0")
		}
	}
	positive("max-body", s.MaxBody > 0)
	positive("max-requests", s.MaxRequests > 0)
	positive("queue-per-member", s.QueuePerAccount > 0)
	positive("queue-total", s.QueueTotal > 0)
	positive("claim-keys", s.ClaimKeys > 0)
	positive("claim-bytes", s.ClaimBytes > 0)
	positive("claim-round", s.ClaimRound > 0)
	positive("claim-lifetime", s.ClaimLifetime > 0)
	positive("slot-lease", s.Lease >= 100*time.Millisecond)
	positive("view-spread", s.ViewSpread > 0)
	s.checkRanges(problems)
	s.checkAnnounce(problems)
}

func (s *settings) checkRanges(problems *setting.Problems) {
	if s.MaxKept < 0 {
		problems.Addf("max-kept", "must not be negative")
	}
	if s.DrainDelay < 0 {
		problems.Addf("drain-delay", "must not be negative")
	}
	if s.RetryShare < 0 || s.RetryShare > 0.1 {
		problems.Addf("retry-share", "must be 0 to 0.1")
	}
	// The negation also finds NaN.
	if !(s.SecondSendShare >= 0 && s.SecondSendShare <= hedger.MaxShare) {
		problems.Addf("second-send-share", "must be 0 to %g", hedger.MaxShare)
	}
	if s.MaxTimeout <= 0 || s.MaxTimeout > time.Minute {
		problems.Addf("max-timeout", "must be above 0 and at most 60s")
	}
	if s.DefaultTimeout <= 0 || s.DefaultTimeout > s.MaxTimeout {
		problems.Addf("default-timeout", "must be above 0 and at most --max-timeout")
	}
	if s.StopTimeout < s.MaxTimeout+s.DrainDelay {
		problems.Addf("stop-timeout", "must be at least --max-timeout and --drain-delay together, or a stop cuts requests")
	}
}

// config converts the settings to the configuration of a gateway.
func (s *settings) config() routers.Config {
	return routers.Config{
		Name: s.Name,
		HTTP: routers.Settings{
			Listen: s.HTTPAddress, ClientAccountHeader: s.ClientAccountHeader, ClientAccountFromCertificate: s.ClientAccountFromCertificate,
			DefaultTimeout: s.DefaultTimeout, MaxTimeout: s.MaxTimeout,
			MaxBody: s.MaxBody, MaxKept: s.MaxKept, MaxRequests: s.MaxRequests,
		},
		Peer: s.PeerAddress,
		Claims: claimer.Settings{
			Self: s.Name, MaxDeadline: s.MaxTimeout, OutcomeLifetime: s.ClaimLifetime, RoundTimeout: s.ClaimRound, ViewSpread: s.ViewSpread,
			MaxKeys: s.ClaimKeys, MaxBytes: s.ClaimBytes, MaxPending: int(s.MaxRequests), FirstStart: s.FirstStart,
		},
		Slots: scheduler.Settings{
			Self:   s.Name,
			Slots:  granter.Settings{Lease: s.Lease, ViewSpread: s.ViewSpread},
			Queues: queuer.Settings{PerClientAccount: s.QueuePerAccount, Total: s.QueueTotal},
		},
		Attempts:   dispatcher.Settings{RetryShare: s.RetryShare, SecondSendShare: s.SecondSendShare},
		DrainDelay: s.DrainDelay,
	}
}
