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
	r := &Advertiser{options: options, client: &http.Client{}, scheme: "http", announcement: options.Announcement}
	if options.TLS != nil {
		r.scheme = "https"
		r.client.Transport = &http.Transport{TLSClientConfig: options.TLS.Clone()}
	}
	return r
}

// SetState announces another state immediately. Later renewals use the new state even
// if this announcement fails.
func (r *Advertiser) SetState(ctx context.Context, state announcer.State) error {
	r.mu.Lock()
	r.announcement.State = state
	r.mu.Unlock()
	return r.Announce(ctx)
}

// Run announces the backend server immediately and renews the announcement until ctx
// ends. A failed renewal is not retried before the next interval.
func (r *Advertiser) Run(ctx context.Context) {
	ticks := r.options.Timer.Subscribe("announcement", renewInterval)
	defer ticks.Cancel()
	for {
		if err := r.Announce(ctx); err != nil && ctx.Err() == nil && r.options.Failures != nil {
			r.options.Failures.Add(1)
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
func (r *Advertiser) Announce(ctx context.Context) error {
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	r.mu.Lock()
	r.announcement.Sequence++
	announcement := r.announcement
	r.mu.Unlock()
	entries := slices.Clone(r.options.Entries())
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	errs := []error{fmt.Errorf("announce %s: none of %d entries accepted it", announcement.ID, len(entries))}
	for _, entry := range entries {
		err := r.send(ctx, entry, announcement)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (r *Advertiser) send(ctx context.Context, entry netip.AddrPort, announcement announcer.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(announcement)
	if err != nil {
		return fmt.Errorf("encode the announcement: %w", err)
	}
	url := fmt.Sprintf("%s://%s/v1/announcements/%s/%s", r.scheme, entry, announcement.Service, announcement.Host)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create the request to entry %s: %w", entry, err)
	}
	request.Header.Set("Content-Type", "application/json")
	if r.options.Token != "" {
		request.Header.Set("Authorization", "Bearer "+r.options.Token)
	}
	response, err := r.client.Do(request)
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
