package forward

import (
	"encoding/binary"
	"net/netip"
)

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	// IP is the address in big-endian order: 10.0.0.1 is 0x0a000001.
	IP uint32
	// Port is below 65536. It has 32 bits so that a Flow has no padding and maps hash it in one piece.
	Port uint32
}

// NewEndpoint returns the endpoint of an IPv4 address and port; ok is false for other addresses.
func NewEndpoint(a netip.AddrPort) (e Endpoint, ok bool) {
	ip := a.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	b := ip.As4()
	return Endpoint{IP: binary.BigEndian.Uint32(b[:]), Port: uint32(a.Port())}, true
}

// AddrPort returns the endpoint in the form that sockets take.
func (e Endpoint) AddrPort() netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.IP)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(e.Port))
}

// String returns the endpoint as address:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Flow identifies a flow by its client and the service address that it was opened to.
type Flow struct {
	Client  Endpoint
	Service Endpoint
}

// Flags are the control flags of a packet.
type Flags uint8

// Flags of a packet.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
	// Relayed marks a packet that another program has forwarded.
	Relayed
)

// Has reports whether all the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Header is the header of a packet that a client sent.
type Header struct {
	Flow  Flow
	Flags Flags
	// Token names the flow's target; 0 when no VM has written one yet.
	Token Token
	Seq   uint32
	// Ack is the number of the next byte that the client expects. In a SYN it is the number of earlier
	// transmissions of the SYN.
	Ack uint32
	// Length is the number of data bytes.
	Length uint16
}

// Opens reports whether the packet asks for a new flow.
func (h *Header) Opens() bool { return h.Flags.Has(SYN) && !h.Flags.Has(ACK) }
