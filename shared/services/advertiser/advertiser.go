// Package advertiser announces a backend server to the entries over HTTP and renews
// the announcement.
package advertiser

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

const (
	// renewInterval is well below the default lease of 10 s, so that a lease survives
	// several failed renewals.
	renewInterval  = 2 * time.Second
	requestTimeout = time.Second
	// maxErrorBodyBytes is the maximum size of a response body in an error message.
	maxErrorBodyBytes = 4096
)

// Options are the settings and dependencies of an Advertiser.
type Options struct {
	// Announcement is the initial announcement. Its sequence increases with each
	// renewal.
	Announcement announcer.Announcement
	// Token is the bearer token of the service. It is empty if a client certificate
	// is used instead.
	Token string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Entries returns the announce addresses of the entries.
	Entries func() []netip.AddrPort
	Timer   timer.Service
	// Failures counts renewals that no entry accepted; it may be nil.
	Failures *expvar.Int
}

// Advertiser announces one backend server and renews the announcement. It is safe for
// concurrent use.
type Advertiser struct {
	options Options
	client  *http.Client
	scheme  string

	// sendMu is held while an announcement is sent, so that a later announcement
	// never overtakes it: entries refuse an older sequence as stale.
	sendMu sync.Mutex

	mu           sync.Mutex
	announcement announcer.Announcement
}

// New returns an Advertiser. It sends nothing until Announce, SetState or Run is
// called.
func New(options Options) *Advertiser {
	a := &Advertiser{options: options, client: &http.Client{}, scheme: "http", announcement: options.Announcement}
	if options.TLS != nil {
		a.scheme = "https"
		a.client.Transport = &http.Transport{TLSClientConfig: options.TLS.Clone()}
	}
	return a
}

// SetState announces another state immediately. Later renewals use the new state even
// if this announcement fails.
func (a *Advertiser) SetState(ctx context.Context, state announcer.State) error {
	a.mu.Lock()
	a.announcement.State = state
	a.mu.Unlock()
	return a.Announce(ctx)
}

// Run announces the backend server immediately and renews the announcement until ctx
// ends. A failed renewal is not retried before the next interval.
func (a *Advertiser) Run(ctx context.Context) {
	ticks := a.options.Timer.Subscribe("announcement", renewInterval)
	defer ticks.Cancel()
	for {
		if err := a.Announce(ctx); err != nil && ctx.Err() == nil && a.options.Failures != nil {
			a.options.Failures.Add(1)
		}
		select {
		case <-ticks.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce sends the announcement to the entries in random order until one accepts
// it. If none does, it returns the errors of all entries.
func (a *Advertiser) Announce(ctx context.Context) error {
	a.sendMu.Lock()
	defer a.sendMu.Unlock()
	a.mu.Lock()
	a.announcement.Sequence++
	announcement := a.announcement
	a.mu.Unlock()
	entries := slices.Clone(a.options.Entries())
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	errs := []error{fmt.Errorf("announce %s: none of %d entries accepted it", announcement.ID, len(entries))}
	for _, entry := range entries {
		err := a.send(ctx, entry, announcement)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (a *Advertiser) send(ctx context.Context, entry netip.AddrPort, announcement announcer.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(announcement)
	if err != nil {
		return fmt.Errorf("encode the announcement: %w", err)
	}
	url := fmt.Sprintf("%s://%s/v1/announcements/%s/%s", a.scheme, entry, announcement.Service, announcement.Host)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create the request to entry %s: %w", entry, err)
	}
	request.Header.Set("Content-Type", "application/json")
	if a.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+a.options.Token)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return fmt.Errorf("call entry %s: %w", entry, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
		return fmt.Errorf("entry %s answered %s: %s", entry, response.Status, text)
	}
	return nil
}
