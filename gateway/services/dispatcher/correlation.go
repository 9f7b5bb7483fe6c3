package dispatcher

import (
	"crypto/rand"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"

	"github.com/redwingledge/redwingledge/shared/modules/timer"
)

// HeaderDispatchID carries an identifier for each request to a backend server. A backend server
// that echoes the field in its response gets further requests on the same connection.
//
// HTTP/1.1 matches responses to requests by their order only, so a duplicate of a response
// would be taken for the response to the next request. Connections are therefore reused only
// where responses identify their request.
const HeaderDispatchID = "Dispatch-Id"

// correlation matches a response to its request.
type correlation struct {
	id    string
	conns *addrConns
	// isConnected is set once the request may have been sent. isReused is set if its connection
	// has carried an earlier request.
	isConnected, isReused atomic.Bool
}

// newCorrelation returns the correlation of a request and sets HeaderDispatchID in the header
// of the request.
func newCorrelation(conns *addrConns, header http.Header) *correlation {
	c := &correlation{id: rand.Text(), conns: conns}
	header.Set(HeaderDispatchID, c.id)
	return c
}

func (c *correlation) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.isReused.Store(info.Reused)
		c.isConnected.Store(true)
	}}
}

// transport returns the transport to use. Connections are kept alive only for a backend server
// that is known to echo the identifier.
func (c *correlation) transport() *http.Transport {
	if c.conns.echoesID.Load() {
		return c.conns.keepAlive
	}
	return c.conns.singleUse
}

// acceptResponse reports whether a response belongs to the request. It records whether the
// backend server echoes the identifier, and removes the field from the response to the caller.
func (c *correlation) acceptResponse(resp *http.Response) bool {
	echo := resp.Header.Get(HeaderDispatchID)
	resp.Header.Del(HeaderDispatchID)
	if echo == c.id {
		c.conns.echoesID.Store(true)
		return true
	}
	if echo == "" {
		c.conns.echoesID.Store(false)
	}
	c.conns.keepAlive.CloseIdleConnections()
	// A response without an identifier on a new connection can only belong to the one request
	// that the connection has carried.
	return echo == "" && !c.isReused.Load()
}

// addrConns are the connections to one address.
type addrConns struct {
	// keepAlive keeps connections for later requests. singleUse closes each connection after
	// one request.
	keepAlive, singleUse *http.Transport
	// echoesID is set while the backend server echoes HeaderDispatchID in its responses.
	echoesID atomic.Bool
}

func newAddrConns(clock timer.Service, addr netip.AddrPort) *addrConns {
	c := &addrConns{keepAlive: newTransport(clock, addr), singleUse: newTransport(clock, addr)}
	c.singleUse.DisableKeepAlives = true
	return c
}
