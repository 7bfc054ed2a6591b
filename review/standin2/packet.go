//go:build review

package main

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
)

// Sizes in bytes: the packet's header, and the host id before a packet to a host.
const (
	headerSize = 32
	prefixSize = 8
	maxFrame   = prefixSize + headerSize + 1200
)

// Flags of packets.
const (
	flagFIN = 1
	flagACK = 2
	flagSYN = 4
	flagRST = 128
)

// packet is a packet of a flow, in the layout of PROTOCOL.md.
type packet struct {
	seq, ack, sum uint32
	src, dst      netip.AddrPort
	echo          uint32
	flags         byte
	data          []byte
}

var errPacket = errors.New("not a packet")

// sumKey is part of the sum, so that only clients and hosts can write a valid one.
var sumKey = []byte("review")

// checksum covers all fields except sum and echo.
func (p *packet) checksum() uint32 {
	b := p.header()
	clear(b[8:12])
	clear(b[24:28])
	return crc32.ChecksumIEEE(append(append(b, p.data...), sumKey...))
}

func (p *packet) header() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data)+len(sumKey))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint32(b[8:], p.sum)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[12:], src[:])
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint16(b[20:], p.src.Port())
	binary.BigEndian.PutUint16(b[22:], p.dst.Port())
	binary.BigEndian.PutUint32(b[24:], p.echo)
	b[28] = p.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(p.data)))
	return b
}

func (p *packet) encode() []byte {
	p.sum = p.checksum()
	return append(p.header(), p.data...)
}

func decode(b []byte) (*packet, error) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[30:])) != len(b)-headerSize {
		return nil, errPacket
	}
	b = append([]byte(nil), b...)
	addr := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]), sum: binary.BigEndian.Uint32(b[8:]),
		src: addr(12, 20), dst: addr(16, 22), echo: binary.BigEndian.Uint32(b[24:]), flags: b[28], data: b[headerSize:],
	}, nil
}
