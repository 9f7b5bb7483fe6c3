package main

import (
	"encoding/binary"
	"net/netip"
)

const (
	headerSize = 34
	flagSYN    = 1
	flagACK    = 8
	flagFIN    = 16
	flagRST    = 32
)

// packet is a packet between a client and a host, as PROTOCOL.md lays it out. The keyed sum is left 0.
type packet struct {
	echo, seq, ack uint32
	flags          byte
	src, dst       netip.AddrPort
	data           []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	b[16] = p.flags
	binary.BigEndian.PutUint16(b[20:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[22:], dst[:])
	binary.BigEndian.PutUint16(b[26:], p.dst.Port())
	copy(b[28:], src[:])
	binary.BigEndian.PutUint16(b[32:], uint16(len(p.data)))
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[32:])) {
		return packet{}, false
	}
	return packet{
		echo: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]), flags: b[16],
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[26:])),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[28:32])), binary.BigEndian.Uint16(b[20:])),
		data: append([]byte(nil), b[headerSize:]...),
	}, true
}
