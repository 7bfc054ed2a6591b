package carrier

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"

	"github.com/pires/go-proxyproto"
)

// Header is the PROXY header of a datagram. In datagrams to VMs and targets, the source is the client and
// the destination is the service address; in answers the two are swapped.
type Header struct {
	Source, Destination netip.AddrPort
	// Local is true for a datagram that a VM or a target sends on its own behalf, such as a probe. Such a
	// header has no addresses.
	Local bool
}

// headerReader contains the readers for parsing a header, which headerReaders reuses.
type headerReader struct {
	bytes bytes.Reader
	buf   *bufio.Reader
}

var headerReaders = sync.Pool{New: func() any {
	return &headerReader{buf: bufio.NewReaderSize(nil, MaxDatagram)}
}}

// SplitDatagram splits a datagram into its header and its CoAP message, which shares memory with the
// datagram. Errors have KindTooLarge or KindHeader.
func SplitDatagram(datagram []byte) (Header, []byte, error) {
	if len(datagram) > MaxDatagram {
		return Header{}, nil, newError(KindTooLarge, "datagram has %d bytes", len(datagram))
	}
	// The library also accepts the text format of version 1, which is not used in datagrams.
	if len(datagram) < 16 || !bytes.HasPrefix(datagram, proxyproto.SIGV2) {
		return Header{}, nil, newError(KindHeader, "no PROXY v2 header")
	}
	reader := headerReaders.Get().(*headerReader)
	defer headerReaders.Put(reader)
	reader.bytes.Reset(datagram)
	reader.buf.Reset(&reader.bytes)
	parsed, err := proxyproto.Read(reader.buf)
	if err != nil {
		return Header{}, nil, &Error{Kind: KindHeader, Err: err}
	}
	h, err := convertHeader(parsed)
	if err != nil {
		return Header{}, nil, err
	}
	// The last two of the 16 bytes at the start contain the size of the rest of the header.
	size := 16 + int(binary.BigEndian.Uint16(datagram[14:16]))
	if size > len(datagram) {
		return Header{}, nil, newError(KindHeader, "header is truncated")
	}
	return h, datagram[size:], nil
}

// convertHeader converts a header parsed by the proxyproto library. Errors have KindHeader.
func convertHeader(parsed *proxyproto.Header) (Header, error) {
	if parsed.Command.IsLocal() {
		return Header{Local: true}, nil
	}
	src, dst, ok := parsed.UDPAddrs()
	if !ok {
		return Header{}, newError(KindHeader, "transport protocol is %#x", byte(parsed.TransportProtocol))
	}
	h := Header{Source: addrPort(src), Destination: addrPort(dst)}
	if h.Source.Port() == 0 || h.Destination.Port() == 0 {
		return Header{}, newError(KindHeader, "port is 0")
	}
	return h, nil
}

// addrPort returns an address in the form that is used as a key: an IPv4 address is never mapped to IPv6.
func addrPort(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// AppendHeader appends an encoded header to dst. Errors have KindHeader.
func AppendHeader(dst []byte, h Header) ([]byte, error) {
	out := &proxyproto.Header{Version: 2, Command: proxyproto.LOCAL}
	if !h.Local {
		if !h.Source.IsValid() || !h.Destination.IsValid() {
			return dst, newError(KindHeader, "invalid addresses %v, %v", h.Source, h.Destination)
		}
		out.Command = proxyproto.PROXY
		out.TransportProtocol = transport(h)
		out.SourceAddr = net.UDPAddrFromAddrPort(h.Source)
		out.DestinationAddr = net.UDPAddrFromAddrPort(h.Destination)
	}
	b, err := out.Format()
	if err != nil {
		return dst, &Error{Kind: KindHeader, Err: err}
	}
	return append(dst, b...), nil
}

// transport returns UDPv6 when either address is an IPv6 address, and UDPv4 otherwise.
func transport(h Header) proxyproto.AddressFamilyAndProtocol {
	if h.Source.Addr().Unmap().Is4() && h.Destination.Addr().Unmap().Is4() {
		return proxyproto.UDPv4
	}
	return proxyproto.UDPv6
}
