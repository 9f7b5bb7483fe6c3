package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN     = 1
	flagACK     = 8
	flagFIN     = 16
	flagRST     = 32
	flagBounced = 128
)

const (
	headerSize  = 34
	maxData     = 1200
	sumKey      = 0x6b2f91d3
	instanceLen = 8
)

// packet is one packet of a flow, as PROTOCOL.md describes it.
type packet struct {
	echo, seq, ack, sum uint32
	flags               byte
	src, dst            netip.AddrPort
	data                []byte
}

// flowKey identifies a flow by the client's end and the route's end.
type flowKey struct{ client, route netip.AddrPort }

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet with its keyed sum.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[20:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[22:26], dst[:])
	binary.BigEndian.PutUint16(b[26:], p.dst.Port())
	copy(b[28:32], src[:])
	binary.BigEndian.PutUint16(b[32:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[12:], keyedSum(b))
	return b
}

// keyedSum covers all bytes but echo, sum, pad and BOUNCED. It is never 0.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	var key [4]byte
	binary.BigEndian.PutUint32(key[:], sumKey)
	h.Write(key[:])
	h.Write(b[4:12])
	h.Write([]byte{b[16] &^ flagBounced})
	h.Write(b[20:])
	return max(h.Sum32(), 1)
}

// decode returns a packet, and whether its sum is that of its sender.
func decode(b []byte) (p packet, sound bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[32:])) {
		return packet{}, false
	}
	p = packet{
		echo: binary.BigEndian.Uint32(b[0:]), seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]),
		sum: binary.BigEndian.Uint32(b[12:]), flags: b[16],
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[28:32])), binary.BigEndian.Uint16(b[20:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[26:])),
		data: append([]byte(nil), b[headerSize:]...),
	}
	return p, p.sum == keyedSum(b)
}
