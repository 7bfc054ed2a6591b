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

// Header is the PROXY header of a datagram. Towards VMs and targets the source is the caller and the
// destination is the service address; in answers the two are swapped.
type Header struct {
	Source, Destination netip.AddrPort
	// Local marks a datagram that a VM or a target sends on its own behalf, such as a probe; it has
	// no addresses.
	Local bool
}

// headerReader bundles what parsing a header needs, so that it can be reused.
type headerReader struct {
	bytes bytes.Reader
	buf   *bufio.Reader
}

var headerReaders = sync.Pool{New: func() any {
	return &headerReader{buf: bufio.NewReaderSize(nil, MaxDatagram)}
}}

// SplitDatagram separates a datagram into its header and its CoAP message, which shares memory with
// the datagram. Its errors have KindTooLarge or KindHeader.
func SplitDatagram(datagram []byte) (Header, []byte, error) {
	if len(datagram) > MaxDatagram {
		return Header{}, nil, fail(KindTooLarge, "datagram has %d bytes", len(datagram))
	}
	// The library also accepts version 1, which is text and never part of a datagram here.
	if len(datagram) < 16 || !bytes.HasPrefix(datagram, proxyproto.SIGV2) {
		return Header{}, nil, fail(KindHeader, "no PROXY v2 header")
	}
	r := headerReaders.Get().(*headerReader)
	defer headerReaders.Put(r)
	r.bytes.Reset(datagram)
	r.buf.Reset(&r.bytes)
	parsed, err := proxyproto.Read(r.buf)
	if err != nil {
		return Header{}, nil, &Error{Kind: KindHeader, Err: err}
	}
	h, err := fromLibrary(parsed)
	if err != nil {
		return Header{}, nil, err
	}
	size := 16 + int(binary.BigEndian.Uint16(datagram[14:16]))
	if size > len(datagram) {
		return Header{}, nil, fail(KindHeader, "header is cut off")
	}
	return h, datagram[size:], nil
}

// fromLibrary converts a parsed header.
func fromLibrary(parsed *proxyproto.Header) (Header, error) {
	if parsed.Command.IsLocal() {
		return Header{Local: true}, nil
	}
	src, dst, ok := parsed.UDPAddrs()
	if !ok {
		return Header{}, fail(KindHeader, "transport is %#x", byte(parsed.TransportProtocol))
	}
	h := Header{Source: addrPort(src), Destination: addrPort(dst)}
	if h.Source.Port() == 0 || h.Destination.Port() == 0 {
		return Header{}, fail(KindHeader, "port is 0")
	}
	return h, nil
}

// addrPort returns an address in the form that is used as a key: IPv4 is never mapped to IPv6.
func addrPort(a *net.UDPAddr) netip.AddrPort {
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// AppendHeader appends the wire form of a header to dst. Its errors have KindHeader.
func AppendHeader(dst []byte, h Header) ([]byte, error) {
	out := &proxyproto.Header{Version: 2, Command: proxyproto.LOCAL}
	if !h.Local {
		if !h.Source.IsValid() || !h.Destination.IsValid() {
			return dst, fail(KindHeader, "addresses %v, %v", h.Source, h.Destination)
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

// transport returns UDPv6 when either address needs it.
func transport(h Header) proxyproto.AddressFamilyAndProtocol {
	if h.Source.Addr().Unmap().Is4() && h.Destination.Addr().Unmap().Is4() {
		return proxyproto.UDPv4
	}
	return proxyproto.UDPv6
}
