package receiver_test

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingledge/redwingledge/entry/routers/receiver"
	"github.com/redwingledge/redwingledge/entry/services/coordinator"
	"github.com/redwingledge/redwingledge/shared/models/announcer"
	"github.com/redwingledge/redwingledge/shared/models/cataloger"
	"github.com/redwingledge/redwingledge/shared/modules/reporter"
)

const (
	token = "secret of sack-orders"
	path  = "/v1/announcements/sack-orders/host-1"
	body  = `{"service":"sack-orders","host":"host-1","address":"10.9.0.1:80","data_centre":"kano-a","slots":2,` +
		`"connections":2000,"incarnation":7,"sequence":1,"state":"ready"}`
)

// fakeAnnouncer records announcements and returns a fixed answer.
type fakeAnnouncer struct {
	applied []announcer.Announcement
	answer  coordinator.Answered
	err     error
}

func (f *fakeAnnouncer) Announce(_ context.Context, a announcer.Announcement) (coordinator.Answered, error) {
	f.applied = append(f.applied, a)
	return f.answer, f.err
}

func (f *fakeAnnouncer) Lease() time.Duration { return 10 * time.Second }

func hash(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func catalog() *cataloger.Catalog {
	return &cataloger.Catalog{
		Version: 1, DataCentres: []cataloger.DataCentre{{Name: "kano-a"}, {Name: "kano-b"}},
		Services: []cataloger.Service{
			{Name: "sack-orders", DataCentres: []string{"kano-a"}, TokenSHA256: hash(token)},
			{Name: "manifest-desk", TokenSHA256: hash("other")},
			{Name: "no-token"},
		},
	}
}

func put(path, body string) *http.Request {
	r := httptest.NewRequest(http.MethodPut, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+token)
	return r
}

func withCertificate(r *http.Request, name string) *http.Request {
	r.Header.Del("Authorization")
	cert := &x509.Certificate{Subject: pkix.Name{CommonName: name}}
	r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}, VerifiedChains: [][]*x509.Certificate{{cert}}}
	return r
}

// Guards against an announcement that is altered before it is applied, and against a
// response without the lease.
func TestValidAnnouncementIsApplied(t *testing.T) {
	t.Parallel()
	for name, r := range map[string]*http.Request{
		"token":               put(path, body),
		"service certificate": withCertificate(put(path, body), "sack-orders"),
		"host certificate":    withCertificate(put(path, body), "sack-orders/host-1"),
	} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeAnnouncer{}
			w := httptest.NewRecorder()
			receiver.NewHandler(fake, catalog, reporter.NewCounters()).ServeHTTP(w, r)
			require.Equal(t, http.StatusOK, w.Code, w.Body)
			require.JSONEq(t, `{"lease_seconds":10}`, w.Body.String())
			require.Len(t, fake.applied, 1)
			encoded, err := json.Marshal(fake.applied[0])
			require.NoError(t, err)
			require.JSONEq(t, body, string(encoded))
		})
	}
}

// Guards against invalid announcements that are applied, and against refusals without a
// complete problem document.
func TestInvalidAnnouncementIsRefused(t *testing.T) {
	t.Parallel()
	edit := func(old, replacement string) string { return strings.Replace(body, old, replacement, 1) }
	header := func(name, value string) *http.Request {
		r := put(path, body)
		r.Header.Set(name, value)
		return r
	}
	get := put(path, body)
	get.Method = http.MethodGet
	for name, c := range map[string]struct {
		request *http.Request
		status  int
		reason  string
	}{
		"method":              {get, 405, "method_not_allowed"},
		"path":                {put("/v2/x", body), 404, "path_not_found"},
		"unknown service":     {put("/v1/announcements/nobody/host-1", body), 404, "service_not_exist"},
		"no token":            {header("Authorization", ""), 401, "credentials_missing"},
		"basic":               {header("Authorization", "Basic eDp5"), 401, "credentials_missing"},
		"wrong token":         {header("Authorization", "Bearer wrong"), 403, "token_wrong"},
		"hash as token":       {header("Authorization", "Bearer "+hash(token)), 403, "token_wrong"},
		"token of another":    {header("Authorization", "Bearer other"), 403, "token_wrong"},
		"service has none":    {put("/v1/announcements/no-token/host-1", edit("sack-orders", "no-token")), 403, "token_wrong"},
		"certificate of host": {withCertificate(put(path, body), "sack-orders/host-2"), 401, "credentials_missing"},
		"certificate of peer": {withCertificate(put(path, body), "entry-1"), 401, "credentials_missing"},
		"media type":          {header("Content-Type", "text/plain"), 415, "media_type_unsupported"},
		"too large":           {put(path, edit(`{`, `{`+strings.Repeat(" ", receiver.MaxBodyBytes))), 413, "body_too_large"},
		"not JSON":            {put(path, "slots: 2"), 400, "body_invalid"},
		"empty":               {put(path, ""), 400, "body_invalid"},
		"unknown field":       {put(path, edit(`"slots"`, `"weight":9,"slots"`)), 400, "body_invalid"},
		"two values":          {put(path, body+body), 400, "body_invalid"},
		"other host":          {put("/v1/announcements/sack-orders/host-2", body), 400, "body_invalid"},
		"no slots":            {put(path, edit(`"slots":2`, `"slots":0`)), 400, "body_invalid"},
		"bad address":         {put(path, edit("10.9.0.1:80", "10.9.0.1")), 400, "body_invalid"},
		"bad state":           {put(path, edit(`"ready"`, `"fine"`)), 400, "body_invalid"},
		"data centre":         {put(path, edit("kano-a", "kano-b")), 403, "data_centre_not_allowed"},
		"unknown data centre": {put(path, edit("kano-a", "kano-z")), 403, "data_centre_not_allowed"},
	} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeAnnouncer{}
			requireProblem(t, receiver.NewHandler(fake, catalog, reporter.NewCounters()), c.request, c.status, c.reason)
			require.Empty(t, fake.applied)
		})
	}
}

// Guards against an announcement that is applied although it says something else or two things.
func TestInexactAnnouncementIsRefused(t *testing.T) {
	t.Parallel()
	odd := "/v1/announcements/sack-orders/host-%EF%BF%BD"
	named := func(host string) string { return strings.Replace(body, `"host-1"`, `"`+host+`"`, 1) }
	first := func(field string) string { return strings.Replace(body, `{`, `{`+field+`,`, 1) }
	for name, r := range map[string]*http.Request{
		"a name not in UTF-8":             put(odd, named("host-\xff")),
		"a surrogate in UTF-8":            put("/v1/announcements/sack-orders/host-%EF%BF%BD%EF%BF%BD%EF%BF%BD", named("host-\xed\xa0\x80")),
		"a lone surrogate":                put(odd, named(`host-\ud800`)),
		"a path not in UTF-8":             put("/v1/announcements/sack-orders/host-%ff", named("host-\xff")),
		"slots twice":                     put(path, first(`"slots":9`)),
		"an escaped name twice":           put(path, first(`"\u0073lots":9`)),
		"a field in capitals":             put(path, strings.Replace(body, `"slots"`, `"SLOTS"`, 1)),
		"a field in capitals and another": put(path, first(`"Slots":9`)),
		"a byte order mark":               put(path, "\ufeff"+body),
	} {
		t.Run(name, func(t *testing.T) {
			fake := &fakeAnnouncer{}
			requireProblem(t, receiver.NewHandler(fake, catalog, reporter.NewCounters()), r, http.StatusBadRequest, "body_invalid")
			require.Empty(t, fake.applied)
		})
	}
	t.Run("a replacement character that was sent", func(t *testing.T) {
		fake := &fakeAnnouncer{}
		w := httptest.NewRecorder()
		receiver.NewHandler(fake, catalog, reporter.NewCounters()).ServeHTTP(w, put(odd, named("host-\ufffd")))
		require.Equal(t, http.StatusOK, w.Code, w.Body)
		require.Len(t, fake.applied, 1)
	})
}

func requireProblem(t *testing.T, h http.Handler, r *http.Request, status int, reason string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	require.Equal(t, status, w.Code, w.Body)
	require.Equal(t, "application/problem+json", w.Header().Get("Content-Type"))
	var problem struct {
		Title, Detail, Reason string
		Status                int
	}
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &problem))
	require.Equal(t, status, problem.Status)
	require.Equal(t, reason, problem.Reason)
	require.NotEmpty(t, problem.Title)
	require.NotEmpty(t, problem.Detail)
}

// Guards against a success response for an announcement that the entry did not apply.
func TestUnappliedAnnouncementIsRefused(t *testing.T) {
	t.Parallel()
	counters := reporter.NewCounters()
	handler := func(f *fakeAnnouncer) http.Handler { return receiver.NewHandler(f, catalog, counters) }
	requireProblem(t, handler(&fakeAnnouncer{answer: coordinator.Answered{Stale: true}}), put(path, body), 409, "stale")
	requireProblem(t, handler(&fakeAnnouncer{answer: coordinator.Answered{NotJoined: true}}), put(path, body), 503, "not_joined")
	taken := coordinator.Answered{AddressOwner: announcer.ID{Service: "manifest-desk", Host: "host-9"}}
	requireProblem(t, handler(&fakeAnnouncer{answer: taken}), put(path, body), 409, "address_in_use")
	requireProblem(t, handler(&fakeAnnouncer{err: errors.New("busy")}), put(path, body), 503, "busy")
	none := func() *cataloger.Catalog { return nil }
	requireProblem(t, receiver.NewHandler(&fakeAnnouncer{}, none, counters), put(path, body), 503, "no_configuration")
	require.Equal(t, int64(1), counters.Int("announcements_refused_stale").Value())
}

// Guards against input that causes a panic, input that is accepted although it violates a
// limit, and announcements that change when they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	id := announcer.ID{Service: "sack-orders", Host: "host-1"}
	for _, seed := range []string{body, `{}`, `null`, `[]`, body + " ", strings.ToUpper(body), `{"address":"[::1%eth0]:1"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := receiver.Parse(data, id)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.Equal(t, id, a.ID)
		require.NoError(t, a.Check())
		encoded, err := json.Marshal(a)
		require.NoError(t, err)
		again, err := receiver.Parse(encoded, id)
		require.NoError(t, err)
		require.Equal(t, a, again)
	})
}
