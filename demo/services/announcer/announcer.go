// Package announcer announces stand-in backend servers to the entries over HTTP,
// as the owner of a backend server would.
package announcer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	shared "github.com/redwingledge/redwingledge/shared/models/announcer"
)

// renewPeriod is well below the lease of 10 s.
const renewPeriod = 2 * time.Second

// Announcer keeps one backend server announced. It is safe for concurrent use.
type Announcer struct {
	token   string
	entries func() []netip.AddrPort

	mu           sync.Mutex
	announcement shared.Announcement
}

// New returns an Announcer that sends to one of the entries at a time.
func New(announcement shared.Announcement, token string, entries func() []netip.AddrPort) *Announcer {
	return &Announcer{announcement: announcement, token: token, entries: entries}
}

// SetState announces another state at once.
func (a *Announcer) SetState(ctx context.Context, state shared.State) error {
	a.mu.Lock()
	a.announcement.State = state
	a.mu.Unlock()
	return a.Announce(ctx)
}

// Run renews the announcement until ctx ends. A failed renewal is tried again at
// another entry.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = a.Announce(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Announce sends the announcement to the entries in random order until one takes
// it. It returns the last error.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	a.announcement.Sequence++
	announcement := a.announcement
	a.mu.Unlock()
	entries := a.entries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	err := fmt.Errorf("announce %s: no entry is known", announcement.ID)
	for _, entry := range entries {
		if err = a.send(ctx, entry, announcement); err == nil {
			return nil
		}
	}
	return err
}

func (a *Announcer) send(ctx context.Context, entry netip.AddrPort, announcement shared.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body, err := json.Marshal(announcement)
	if err != nil {
		return fmt.Errorf("encode the announcement of %s: %w", announcement.ID, err)
	}
	url := fmt.Sprintf("http://%s/v1/announcements/%s/%s", entry, announcement.Service, announcement.Host)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announce %s: %w", announcement.ID, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("announce %s: %w", announcement.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
		return fmt.Errorf("announce %s: entry %s answered %s: %s", announcement.ID, entry, response.Status, text)
	}
	return nil
}
