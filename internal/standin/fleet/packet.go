package fleet

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
)

// headerSize is the size of a packet's header, prefixSize that of the target's numeric id before it, in bytes.
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

// packet is a packet of a flow. token is the field "echo" of the platform's format, which both ends return.
type packet struct {
	seq, ack, sum uint32
	src, dst      netip.AddrPort
	token         uint32
	flags         byte
	data          []byte
}

var errPacket = errors.New("not a packet")

// checksumKey is included in the checksum. The forwarder does not have it, so it cannot write a packet with a
// valid sum.
var checksumKey = []byte("stand-in")

// checksum returns the checksum of all fields except sum and token.
func (p *packet) checksum() uint32 {
	b := p.encodeHeader()
	clear(b[8:12])
	clear(b[24:28])
	return crc32.ChecksumIEEE(append(append(b, p.data...), checksumKey...))
}

func (p *packet) encodeHeader() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data)+len(checksumKey))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint32(b[8:], p.sum)
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[12:], src[:])
	copy(b[16:], dst[:])
	binary.BigEndian.PutUint16(b[20:], p.src.Port())
	binary.BigEndian.PutUint16(b[22:], p.dst.Port())
	binary.BigEndian.PutUint32(b[24:], p.token)
	b[28] = p.flags
	binary.BigEndian.PutUint16(b[30:], uint16(len(p.data)))
	return b
}

// encode sets the sum and returns the encoded packet.
func (p *packet) encode() []byte {
	p.sum = p.checksum()
	return append(p.encodeHeader(), p.data...)
}

// decode decodes a packet. Its data shares b's memory.
func decode(b []byte) (*packet, error) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[30:])) != len(b)-headerSize {
		return nil, errPacket
	}
	addr := func(ipOffset, portOffset int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ipOffset:ipOffset+4])), binary.BigEndian.Uint16(b[portOffset:]))
	}
	return &packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]), sum: binary.BigEndian.Uint32(b[8:]),
		src: addr(12, 20), dst: addr(16, 22), token: binary.BigEndian.Uint32(b[24:]), flags: b[28], data: b[headerSize:],
	}, nil
}
