package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/setting"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
	"github.com/redwingledge/redwingledge/shared/services/advertiser"
)

// announceSettings announce the gateway as a backend server of a flow service, so that
// entries forward the connections of callers to it.
type announceSettings struct {
	AnnounceTo        []netip.AddrPort `name:"announce-to" env:"REDWINGLEDGE_ANNOUNCE_TO" help:"IP:PORT where entries accept announcements; may be repeated or separated by commas. Without it the gateway announces nothing."`
	AnnounceService   string           `name:"announce-service" env:"REDWINGLEDGE_ANNOUNCE_SERVICE" help:"Name of the flow service whose connections the gateway serves."`
	AnnounceAddress   netip.AddrPort   `name:"announce-address" env:"REDWINGLEDGE_ANNOUNCE_ADDRESS" help:"IP:PORT at which the fabric reaches --http-address; by default that address."`
	AnnounceTokenFile string           `name:"announce-token-file" env:"REDWINGLEDGE_ANNOUNCE_TOKEN_FILE" placeholder:"FILE" help:"File with the token of the service; not needed with a certificate."`
	DataCentre        string           `name:"data-centre" env:"REDWINGLEDGE_DATA_CENTRE" help:"Name of the data centre of this gateway; needed with --announce-to."`
}

func (s *settings) checkAnnounce(problems *setting.Problems) {
	if len(s.AnnounceTo) == 0 {
		return
	}
	for _, address := range s.AnnounceTo {
		if !address.IsValid() || address.Port() == 0 {
			problems.Addf("announce-to", "must be IP:PORT with a port above 0")
		}
	}
	if s.AnnounceService == "" || len(s.AnnounceService) > announcer.MaxNameLength {
		problems.Addf("announce-service", "must have 1 to %d bytes", announcer.MaxNameLength)
	}
	if s.DataCentre == "" || len(s.DataCentre) > announcer.MaxNameLength {
		problems.Addf("data-centre", "must have 1 to %d bytes", announcer.MaxNameLength)
	}
	if !s.AnnounceAddress.IsValid() {
		s.AnnounceAddress = s.HTTPAddress
	}
	if s.AnnounceAddress.Port() == 0 || s.AnnounceAddress.Addr().IsUnspecified() {
		problems.Addf("announce-address", "must be IP:PORT that the fabric can reach")
	}
}

// startAnnouncing announces the gateway repeatedly while it runs. At a stop it announces
// the draining state before requests are refused.
func startAnnouncing(lc fx.Lifecycle, s *settings, config *tls.Config, clock timer.Service, counters *reporter.Counters, logger *slog.Logger) error {
	if len(s.AnnounceTo) == 0 {
		return nil
	}
	token, err := readToken(s.AnnounceTokenFile)
	if err != nil {
		return err
	}
	r := advertiser.New(advertiser.Options{
		Announcement: announcer.Announcement{
			ID: announcer.ID{Service: s.AnnounceService, Host: s.Name}, Address: s.AnnounceAddress, DataCentre: s.DataCentre,
			Slots: min(int(s.MaxRequests), announcer.MaxSlots), Connections: min(int(s.MaxRequests), announcer.MaxConnections),
			Incarnation: uint64(clock.Now().UnixMilli()), State: announcer.StateReady,
		},
		Token: token, TLS: config, Entries: func() []netip.AddrPort { return s.AnnounceTo },
		Timer: clock, Failures: counters.Int("announcements_failed"),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { r.Run(ctx) })
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			running.Wait()
			drain, cancelDrain := context.WithTimeout(stop, drainTimeout)
			defer cancelDrain()
			if err := r.SetState(drain, announcer.StateDraining); err != nil {
				logger.Warn("announcing the draining state to the entries failed", "error", err)
			}
			return nil
		},
	})
	return nil
}

// drainTimeout bounds the announcement of the draining state.
const drainTimeout = 3 * time.Second

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read the token of the service: %w", err)
	}
	return strings.TrimSpace(string(content)), nil
}
