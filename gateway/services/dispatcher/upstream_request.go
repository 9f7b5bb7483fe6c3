package dispatcher

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/redwingledge/redwingledge/gateway/services/leaseholder"
)

// upstreamBody hides the type of the reader. http.Transport retries requests that have an
// Idempotency-Key after a connection failure, but never one with such a body and without
// GetBody.
type upstreamBody struct{ io.Reader }

// Close does nothing.
func (upstreamBody) Close() error { return nil }

func newUpstreamRequest(req Request, slot leaseholder.Slot, left time.Duration) *http.Request {
	header := req.Header.Clone()
	removeHopByHop(header)
	header.Set(HeaderTimeout, strconv.FormatFloat(max(0, left.Seconds()), 'f', 3, 64))
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps net/http from adding its default
	}
	path, query, _ := cutQuery(req.Path)
	target := &url.URL{Scheme: "http", Host: slot.Address.String(), RawQuery: query}
	if unescaped, err := url.PathUnescape(path); err == nil {
		target.Path, target.RawPath = unescaped, path
	}
	return &http.Request{
		Method: req.Method, URL: target, Host: req.Host, Header: header,
		Body: upstreamBody{bytes.NewReader(req.Body)}, ContentLength: int64(len(req.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}
