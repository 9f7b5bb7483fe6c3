// Package registrant keeps a backend server announced at the entries over HTTP.
package registrant

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
	// renewPeriod is well below the default lease of 10 s.
	renewPeriod = 2 * time.Second
	callTimeout = time.Second
	// maxAnswer bounds the part of an answer that goes into an error.
	maxAnswer = 4096
)

// Options are what a Registrant needs.
type Options struct {
	// Announcement is the first one; its sequence grows with each renewal.
	Announcement announcer.Announcement
	// Token is the bearer token of the service; empty with a client certificate.
	Token string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Entries returns the announce addresses of the entries.
	Entries func() []netip.AddrPort
	Timer   timer.Service
	// Failures counts renewals that no entry took; it may be nil.
	Failures *expvar.Int
}

// Registrant keeps one backend server announced. It is safe for concurrent use.
type Registrant struct {
	options Options
	client  *http.Client
	scheme  string

	// sending is held during an announcement, so that a later one never overtakes
	// it: entries refuse the older sequence as stale.
	sending sync.Mutex

	mu           sync.Mutex
	announcement announcer.Announcement
}

// New returns a Registrant that announces nothing until Announce or Run.
func New(options Options) *Registrant {
	r := &Registrant{options: options, client: &http.Client{}, scheme: "http", announcement: options.Announcement}
	if options.TLS != nil {
		r.scheme = "https"
		r.client.Transport = &http.Transport{TLSClientConfig: options.TLS.Clone()}
	}
	return r
}

// SetState announces another state at once. Renewals carry it from then on, also
// after an error.
func (r *Registrant) SetState(ctx context.Context, state announcer.State) error {
	r.mu.Lock()
	r.announcement.State = state
	r.mu.Unlock()
	return r.Announce(ctx)
}

// Run announces at once and then renews until ctx ends. A failed renewal is tried
// again with the next one.
func (r *Registrant) Run(ctx context.Context) {
	ticks := r.options.Timer.Subscribe("announcement", renewPeriod)
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

// Announce sends the announcement to the entries in random order until one takes
// it. It returns the errors of all entries if none does.
func (r *Registrant) Announce(ctx context.Context) error {
	r.sending.Lock()
	defer r.sending.Unlock()
	r.mu.Lock()
	r.announcement.Sequence++
	announcement := r.announcement
	r.mu.Unlock()
	entries := slices.Clone(r.options.Entries())
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	errs := []error{fmt.Errorf("announce %s: none of %d entries took it", announcement.ID, len(entries))}
	for _, entry := range entries {
		err := r.send(ctx, entry, announcement)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func (r *Registrant) send(ctx context.Context, entry netip.AddrPort, announcement announcer.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
		return fmt.Errorf("entry %s answered %s: %s", entry, response.Status, text)
	}
	return nil
}
