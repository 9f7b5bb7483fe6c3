// Package responder simulates backend servers of flows: it answers TCP and UDP packets with its
// own name and resets TCP flows that it does not know.
package responder

import (
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/redwingledge/redwingledge/demo/modules/framer"
)

// Answer is the payload of every reply.
type Answer struct {
	Service string `json:"service"`
	Host    string `json:"host"`
	Request string `json:"request"`
}

// Network carries the packets of a backend server.
type Network interface {
	Send(segment framer.Segment) error
}

// Server is a backend server with one address. It is safe for concurrent use.
type Server struct {
	service, host string
	address       netip.AddrPort
	network       Network

	mu    sync.Mutex
	flows map[netip.AddrPort]struct{}

	opened, resets, misaddressed, failed atomic.Uint64
}

// NewServer returns a backend server that sends through network.
func NewServer(service, host string, address netip.AddrPort, network Network) *Server {
	return &Server{service: service, host: host, address: address, network: network, flows: make(map[netip.AddrPort]struct{})}
}

// Receive answers one packet.
func (s *Server) Receive(segment framer.Segment) {
	if segment.Destination != s.address {
		s.misaddressed.Add(1)
		return
	}
	reply := framer.Segment{IsTCP: segment.IsTCP, Source: s.address, Destination: segment.Source}
	if segment.IsTCP && !s.answerTCP(segment, &reply) {
		return
	}
	if !reply.RST && len(segment.Payload) > 0 {
		payload, err := json.Marshal(Answer{Service: s.service, Host: s.host, Request: string(segment.Payload)})
		if err != nil {
			s.failed.Add(1)
			return
		}
		reply.Payload = payload
	}
	if err := s.network.Send(reply); err != nil {
		s.failed.Add(1)
	}
}

// Stats are counts of flows and packets.
type Stats struct {
	// Opened counts SYNs of new flows, Resets counts packets of unknown TCP flows, and
	// Misaddressed counts packets for another address. Open is the number of open flows.
	Opened, Resets, Misaddressed, Open uint64
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Opened: s.opened.Load(), Resets: s.resets.Load(), Misaddressed: s.misaddressed.Load(), Open: uint64(len(s.flows))}
}

// answerTCP fills the flags of the reply and reports whether there is one.
func (s *Server) answerTCP(segment framer.Segment, reply *framer.Segment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.flows[segment.Source]
	length := uint32(len(segment.Payload))
	reply.ACK = true
	reply.Sequence = segment.Acknowledgement
	switch {
	case segment.RST:
		delete(s.flows, segment.Source)
		return false
	case segment.SYN:
		if !known {
			s.opened.Add(1)
			s.flows[segment.Source] = struct{}{}
		}
		reply.SYN = true
		reply.Acknowledgement = segment.Sequence + 1
	case !known:
		s.resets.Add(1)
		reply.ACK, reply.RST = false, true
	case segment.FIN:
		delete(s.flows, segment.Source)
		reply.FIN = true
		reply.Acknowledgement = segment.Sequence + 1
	default:
		reply.Acknowledgement = segment.Sequence + length
		return length > 0
	}
	return true
}
