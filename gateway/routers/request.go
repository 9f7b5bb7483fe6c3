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

// maxKeyLength bounds keys and member names, in bytes, because claims keep both.
const maxKeyLength = 255

// anonymousMember is the member of requests that name none.
const anonymousMember = "anonymous"

var (
	errMalformedTimeout = errors.New("Request-Timeout is not a positive number of seconds")
	errMalformedKey     = errors.New("Idempotency-Key must have 1 to 255 bytes and occur once")
	errMalformedMember  = errors.New("the member name is longer than 255 bytes")
	errBodyTooLarge     = errors.New("the request body is too large")
)

// parsed is a request with what the gateway needs to know of it.
type parsed struct {
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

// parse reads the request with its whole body, so that a caller that sends
// slowly holds no slot.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, arrived time.Time) (parsed, error) {
	service, path := splitService(r)
	member, err := s.member(r)
	if err != nil {
		return parsed{}, err
	}
	timeout, err := s.timeout(r)
	if err != nil {
		return parsed{}, err
	}
	p := parsed{Request: dispatcher.Request{
		Service: service, Member: member, Method: r.Method, Path: path, Host: r.Host, Header: r.Header,
		Arrived: arrived, Deadline: arrived.Add(timeout),
		Repeatable: isIdempotent(r.Method), Once: !isIdempotent(r.Method),
	}}
	if keys := r.Header.Values(HeaderIdempotencyKey); len(keys) > 0 && !isIdempotent(r.Method) {
		if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyLength {
			return parsed{}, errMalformedKey
		}
		p.hasKey, p.Once = true, false
		p.key = messenger.Key{Service: service, Member: member, Key: keys[0]}
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	if p.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBody)); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return parsed{}, errBodyTooLarge
		}
		return parsed{}, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	p.fingerprint = fingerprint(r, path, p.Body)
	return p, nil
}

// member returns the customer on whose behalf the request is sent: the common
// name of the client certificate, or else the member header.
func (s *Server) member(r *http.Request) (string, error) {
	name := r.Header.Get(s.settings.MemberHeader)
	if s.settings.MemberFromCertificate {
		name = ""
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			name = r.TLS.PeerCertificates[0].Subject.CommonName
		}
	}
	if len(name) > maxKeyLength {
		return "", errMalformedMember
	}
	if name == "" {
		return anonymousMember, nil
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

// fingerprint identifies what a request asks for: a key that is used with
// another method, path or body belongs to another request.
func fingerprint(r *http.Request, path string, body []byte) [32]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+"\x00"+path+"\x00"+r.Header.Get("Content-Type")+"\x00")
	_, _ = h.Write(body)
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}
