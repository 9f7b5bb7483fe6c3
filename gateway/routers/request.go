// Package routers holds the servers of a gateway: HTTP for callers and gRPC for
// other gateways.
package routers

import (
	"crypto/sha256"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/messenger"
	"github.com/redwingledge/redwingledge/gateway/services/dispatcher"
)

// HeaderIdempotencyKey names the header with the key of a non-idempotent
// request (draft-ietf-httpapi-idempotency-key-header).
const HeaderIdempotencyKey = "Idempotency-Key"

// maxKeyLength bounds keys and names of client accounts, in bytes, because claims store
// both.
const maxKeyLength = 255

// anonymousAccount is the client account of requests that name none.
const anonymousAccount = "anonymous"

var (
	errMalformedTimeout = errors.New("Request-Timeout is not a positive number of seconds")
	errMalformedKey     = errors.New("Idempotency-Key must have 1 to 255 bytes and occur once")
	errMalformedAccount = errors.New("the member name is longer than 255 bytes")
	errBodyTooLarge     = errors.New("the request body is too large")
)

// parsedRequest is a request with its body, key and fingerprint.
type parsedRequest struct {
	dispatcher.Request
	key         messenger.Key
	hasKey      bool
	fingerprint [32]byte
}

// splitService returns the first path segment and the rest, both escaped.
func splitService(r *http.Request) (service, rest string) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/")
	service, rest, _ = strings.Cut(path, "/")
	rest = "/" + rest
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return service, rest
}

// parse reads the request with its whole body before it is queued, so that a caller
// that sends slowly does not occupy a slot.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, arrived time.Time) (parsedRequest, error) {
	service, path := splitService(r)
	account, err := s.clientAccount(r)
	if err != nil {
		return parsedRequest{}, err
	}
	timeout, err := s.timeout(r)
	if err != nil {
		return parsedRequest{}, err
	}
	p := parsedRequest{Request: dispatcher.Request{
		Service: service, ClientAccount: account, Method: r.Method, Path: path, Host: r.Host, Header: r.Header,
		Arrived: arrived, Deadline: arrived.Add(timeout),
		Repeatable: isIdempotent(r.Method), NoRetry: !isIdempotent(r.Method),
	}}
	if keys := r.Header.Values(HeaderIdempotencyKey); len(keys) > 0 && !isIdempotent(r.Method) {
		if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyLength {
			return parsedRequest{}, errMalformedKey
		}
		p.hasKey, p.NoRetry = true, false
		p.key = messenger.Key{Service: service, ClientAccount: account, Key: keys[0]}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	if p.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBody)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return parsedRequest{}, errBodyTooLarge
		}
		return parsedRequest{}, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	p.fingerprint = fingerprint(r, path, p.Body)
	return p, nil
}

// clientAccount returns the client account in whose name the request is sent: the common
// name of the client certificate if the settings say so, or else the value of the
// configured header.
func (s *Server) clientAccount(r *http.Request) (string, error) {
	name := r.Header.Get(s.settings.ClientAccountHeader)
	if s.settings.ClientAccountFromCertificate {
		name = ""
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			name = r.TLS.PeerCertificates[0].Subject.CommonName
		}
	}
	if len(name) > maxKeyLength {
		return "", errMalformedAccount
	}
	if name == "" {
		return anonymousAccount, nil
	}
	return name, nil
}

func (s *Server) timeout(r *http.Request) (time.Duration, error) {
	value := r.Header.Get(dispatcher.HeaderTimeout)
	if value == "" {
		return s.settings.DefaultTimeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0, errMalformedTimeout
	}
	if seconds >= s.settings.MaxTimeout.Seconds() {
		return s.settings.MaxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// isIdempotent reports whether a second run of a request with this method has
// the same effect as the first (RFC 9110, section 9.2.2).
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// fingerprint hashes the method, path, content type and body of a request. A key that is
// used again with another fingerprint belongs to another request.
func fingerprint(r *http.Request, path string, body []byte) [32]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+path+"\x00"+r.Header.Get("Content-Type")+"\x00")
	_, _ = h.Write(body)
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}
