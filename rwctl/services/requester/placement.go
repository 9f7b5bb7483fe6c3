package requester

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/shared/models/explainer"
)

// maxPlacementSize is the maximum length of an entry's answer, in bytes.
const maxPlacementSize = 1 << 20

// FetchPlacement asks the metrics port of an entry what it would do with a new flow to a route. The source may
// be the zero value. It makes one attempt. Errors are ErrNoAnswer if the entry cannot be reached in time, and
// ErrNotAdmitted with the entry's text if it refuses the request.
func FetchPlacement(ctx context.Context, entry, route, source netip.AddrPort, timeout time.Duration) (e explainer.Explanation, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{"route": {route.String()}}
	if source.IsValid() {
		query.Set("source", source.String())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+"/placement?"+query.Encode(), nil)
	if err != nil {
		return e, fmt.Errorf("build the request: %w", err)
	}
	// Entries are reached directly, as control is, whatever proxy the environment names.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return e, ErrNoAnswer{Attempts: 1, Last: err}
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPlacementSize+1))
	if err != nil {
		return e, ErrNoAnswer{Attempts: 1, Last: err}
	}
	if response.StatusCode != http.StatusOK {
		return e, ErrNotAdmitted{Message: fmt.Sprintf("the entry %s answers %s: %s", entry, response.Status, strings.TrimSpace(string(body[:min(len(body), 300)])))}
	}
	if len(body) > maxPlacementSize {
		return e, fmt.Errorf("read the answer of %s: longer than %d bytes", entry, maxPlacementSize)
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return e, fmt.Errorf("read the answer of %s: %w", entry, err)
	}
	return e, nil
}
