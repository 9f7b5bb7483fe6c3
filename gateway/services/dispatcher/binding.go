package dispatcher

import (
	"crypto/rand"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
)

// HeaderDispatchID names each request to a backend server. One that sends the field back
// with its answer gets further requests on the same connection.
//
// HTTP/1.1 matches answers to requests by their order alone. A second copy of an answer
// would be taken for that to the next request, so that a connection is used again only
// where answers name their request.
const HeaderDispatchID = "Dispatch-Id"

// binding ties the answer to a request.
type binding struct {
	id   string
	pool *pooled
	// isConnected is set once the request may be sent, isReused if its connection has
	// carried another one before.
	isConnected, isReused atomic.Bool
}

// newBinding returns the binding of a request and names the request.
func newBinding(pool *pooled, header http.Header) *binding {
	b := &binding{id: rand.Text(), pool: pool}
	header.Set(HeaderDispatchID, b.id)
	return b
}

func (b *binding) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		b.isReused.Store(info.Reused)
		b.isConnected.Store(true)
	}}
}

// transport returns the transport to use: the one that keeps connections only for a
// backend server that is known to echo.
func (b *binding) transport() *http.Transport {
	if b.pool.echoes.Load() {
		return b.pool.kept
	}
	return b.pool.single
}

// accept reports whether an answer belongs to the request. It learns whether the backend
// server echoes, and hides the field from the caller.
func (b *binding) accept(resp *http.Response) bool {
	echo := resp.Header.Get(HeaderDispatchID)
	resp.Header.Del(HeaderDispatchID)
	if echo == b.id {
		b.pool.echoes.Store(true)
		return true
	}
	if echo == "" {
		b.pool.echoes.Store(false)
	}
	b.pool.kept.CloseIdleConnections()
	// The first answer on a connection can only be that to its only request, unless it
	// names another one.
	return echo == "" && !b.isReused.Load()
}

// pooled are the connections to an address.
type pooled struct {
	// kept holds connections for later requests, single closes each after one.
	kept, single *http.Transport
	// echoes is set while the backend server names the request in its answers.
	echoes atomic.Bool
}

func newPooled(addr netip.AddrPort) *pooled {
	p := &pooled{kept: newTransport(addr), single: newTransport(addr)}
	p.single.DisableKeepAlives = true
	return p
}
