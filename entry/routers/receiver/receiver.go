// Package receiver serves the HTTP/JSON endpoint at which backend servers
// announce themselves: PUT /v1/announcements/{service}/{host}.
package receiver

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/entry/services/coordinator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
	"github.com/redwingledge/redwingledge/shared/modules/strictjson"
)

// MaxBodyBytes is the maximum size of the body of an announcement in bytes.
const MaxBodyBytes = 4096

const (
	pattern      = "/v1/announcements/{service}/{host}"
	applyTimeout = time.Second
)

// Announcer applies validated announcements.
type Announcer interface {
	// Announce returns an error if the announcement cannot be applied now.
	Announce(ctx context.Context, a announcer.Announcement) (coordinator.Answered, error)
	// Lease returns how long an announcement stays valid.
	Lease() time.Duration
}

// Answer is the response body for an accepted announcement.
type Answer struct {
	// LeaseSeconds is how long the announcement stays valid, in seconds. A backend
	// server should renew it three times within this time.
	LeaseSeconds float64 `json:"lease_seconds"`
}

// Handler is the http.Handler of the endpoint.
type Handler struct {
	announcer Announcer
	catalog   func() *cataloger.Catalog
	counters  *reporter.Counters
	mux       *http.ServeMux
}

// NewHandler returns a Handler. The function catalog returns the current configuration,
// or nil if none has been received yet.
func NewHandler(a Announcer, catalog func() *cataloger.Catalog, counters *reporter.Counters) *Handler {
	h := &Handler{announcer: a, catalog: catalog, counters: counters, mux: http.NewServeMux()}
	counters.Int(counterAccepted)
	for _, r := range reasons {
		counters.Int(counterRefused + string(r))
	}
	h.mux.HandleFunc("PUT "+pattern, h.put)
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Allow", http.MethodPut)
		h.refuse(w, problem{Status: http.StatusMethodNotAllowed, Reason: reasonMethod, Detail: "use PUT"})
	})
	h.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		h.refuse(w, problem{Status: http.StatusNotFound, Reason: reasonPath, Detail: "use " + pattern})
	})
	return h
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	id := announcer.ID{Service: r.PathValue("service"), Host: r.PathValue("host")}
	catalog := h.catalog()
	if catalog == nil {
		w.Header().Set("Retry-After", "1")
		h.refuse(w, problem{Status: http.StatusServiceUnavailable, Reason: reasonNoConfiguration, Detail: "no configuration has been received yet"})
		return
	}
	service, err := catalog.GetService(id.Service)
	if err != nil {
		h.refuse(w, problem{Status: http.StatusNotFound, Reason: reasonService, Detail: err.Error()})
		return
	}
	if p, ok := authenticate(r, service, id); !ok {
		w.Header().Set("WWW-Authenticate", `Bearer realm="announcements"`)
		h.refuse(w, p)
		return
	}
	a, p, ok := readAnnouncement(w, r, id)
	if !ok {
		h.refuse(w, p)
		return
	}
	if p, ok := checkDataCentre(a, service, catalog); !ok {
		h.refuse(w, p)
		return
	}
	h.apply(w, r, a)
}

// apply passes the announcement to the announcer and writes the result as the response.
func (h *Handler) apply(w http.ResponseWriter, r *http.Request, a announcer.Announcement) {
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	answer, err := h.announcer.Announce(ctx, a)
	switch {
	case err != nil:
		w.Header().Set("Retry-After", "1")
		h.refuse(w, problem{Status: http.StatusServiceUnavailable, Reason: reasonBusy, Detail: err.Error()})
	case answer.NotJoined:
		w.Header().Set("Retry-After", "1")
		h.refuse(w, problem{Status: http.StatusServiceUnavailable, Reason: reasonNotJoined, Detail: "this entry does not know the records yet; use another one"})
	case answer.Stale:
		h.refuse(w, problem{Status: http.StatusConflict, Reason: reasonStale, Detail: "a later announcement is already known"})
	case answer.AddressOwner != announcer.ID{}:
		h.refuse(w, problem{
			Status: http.StatusConflict, Reason: reasonAddress,
			Detail: fmt.Sprintf("address %s belongs to %s", a.Address, answer.AddressOwner),
		})
	default:
		h.counters.Int(counterAccepted).Add(1)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Answer{LeaseSeconds: h.announcer.Lease().Seconds()})
	}
}

// authenticate checks the client certificate or the bearer token (RFC 6750). It returns
// false and the problem to report if neither is valid.
func authenticate(r *http.Request, service cataloger.Service, id announcer.ID) (problem, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		if isCertificateFor(r.TLS.PeerCertificates[0], id) {
			return problem{}, true
		}
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return problem{
			Status: http.StatusUnauthorized, Reason: reasonCredentials,
			Detail: "send the service's bearer token or a client certificate for it",
		}, false
	}
	want, err := hex.DecodeString(service.TokenSHA256)
	sum := sha256.Sum256([]byte(token))
	if err != nil || len(want) != len(sum) || subtle.ConstantTimeCompare(sum[:], want) != 1 {
		return problem{Status: http.StatusForbidden, Reason: reasonToken, Detail: fmt.Sprintf("the token does not belong to service %q", id.Service)}, false
	}
	return problem{}, true
}

// isCertificateFor reports whether the certificate is valid for the backend server: its
// common name is SERVICE, which covers all backend servers of the service, or
// SERVICE/HOST.
func isCertificateFor(c *x509.Certificate, id announcer.ID) bool {
	return c.Subject.CommonName == id.Service || c.Subject.CommonName == id.String()
}

// readAnnouncement reads, decodes and validates the body.
func readAnnouncement(w http.ResponseWriter, r *http.Request, id announcer.ID) (announcer.Announcement, problem, bool) {
	if media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || media != "application/json" {
		return announcer.Announcement{}, problem{
			Status: http.StatusUnsupportedMediaType, Reason: reasonMediaType, Detail: "send Content-Type: application/json",
		}, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return announcer.Announcement{}, problem{
			Status: http.StatusRequestEntityTooLarge, Reason: reasonSize, Detail: fmt.Sprintf("the body has more than %d bytes", MaxBodyBytes),
		}, false
	} else if err != nil {
		return announcer.Announcement{}, problem{Status: http.StatusBadRequest, Reason: reasonBody, Detail: "the body ended early"}, false
	}
	a, err := Parse(body, id)
	if err != nil {
		return announcer.Announcement{}, problem{Status: http.StatusBadRequest, Reason: reasonBody, Detail: err.Error()}, false
	}
	return a, problem{}, true
}

// fieldNames are the names in the body of an announcement.
var fieldNames = []string{
	"service", "host", "address", "data_centre", "slots", "connections", "incarnation", "sequence", "state",
}

// Parse decodes and validates the body of an announcement of the backend server id. It
// returns an error for unknown fields and for data after the JSON value.
func Parse(body []byte, id announcer.ID) (announcer.Announcement, error) {
	var a announcer.Announcement
	if err := strictjson.Check(body); err != nil {
		return announcer.Announcement{}, fmt.Errorf("decode the announcement: %w", err)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return announcer.Announcement{}, fmt.Errorf("decode the announcement: %w", err)
	}
	// A decoder that refuses unknown fields would still ignore the case of names.
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return announcer.Announcement{}, fmt.Errorf("decode the announcement: %w", err)
	}
	for name := range fields {
		if !slices.Contains(fieldNames, name) {
			return announcer.Announcement{}, fmt.Errorf("decode the announcement: unknown field %q", name)
		}
	}
	if a.ID != id {
		return announcer.Announcement{}, fmt.Errorf("the body is for %s, the path for %s", a.ID, id)
	}
	if err := a.Check(); err != nil {
		return announcer.Announcement{}, err
	}
	return a, nil
}

// checkDataCentre checks that the data centre exists and that the service may be served
// there. It returns false and the problem to report otherwise.
func checkDataCentre(a announcer.Announcement, service cataloger.Service, catalog *cataloger.Catalog) (problem, bool) {
	if _, err := catalog.GetDataCentre(a.DataCentre); err != nil {
		return problem{Status: http.StatusForbidden, Reason: reasonDataCentre, Detail: err.Error()}, false
	}
	if len(service.DataCentres) > 0 && !slices.Contains(service.DataCentres, a.DataCentre) {
		return problem{
			Status: http.StatusForbidden, Reason: reasonDataCentre,
			Detail: fmt.Sprintf("service %q may not be served in data centre %q", service.Name, a.DataCentre),
		}, false
	}
	return problem{}, true
}
