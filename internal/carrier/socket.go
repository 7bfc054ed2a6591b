package carrier

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
)

// SocketBuffer is the size in bytes that a Socket requests for the kernel's receive and send buffers. The
// default of most systems has space for only about a hundred datagrams, fewer than a burst of
// retransmissions.
const SocketBuffer = 4 << 20

// Counters holds the numbers of datagrams and received bytes of a Socket since it was opened.
type Counters struct {
	Received, Sent         uint64
	ReceivedBytes          uint64
	Oversized, WriteErrors uint64
}

// Socket is a UDP socket with counters. It is safe for concurrent use.
type Socket struct {
	conn                          *net.UDPConn
	addr                          netip.AddrPort
	received, sent, receivedBytes atomic.Uint64
	oversized, writeErrors        atomic.Uint64
}

// Listen opens a socket on the given address; port 0 selects a free port.
func Listen(addr netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	// The kernel limits the buffer sizes without an error; smaller buffers still work.
	_ = conn.SetReadBuffer(SocketBuffer)
	_ = conn.SetWriteBuffer(SocketBuffer)
	return &Socket{conn: conn, addr: addrPort(conn.LocalAddr().(*net.UDPAddr))}, nil
}

// Addr returns the address that the socket is bound to.
func (s *Socket) Addr() netip.AddrPort { return s.addr }

// Serve calls handle for every datagram until ctx ends or the socket is closed. The data is valid only
// during the call. Datagrams larger than MaxDatagram are counted and dropped. Several goroutines may call
// Serve on the same socket. It returns nil when the socket was closed.
func (s *Socket) Serve(ctx context.Context, handle func(data []byte, from netip.AddrPort)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	// The buffer has one byte more than the limit, so that a datagram that is too large is detected.
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error may be a pending ICMP error of an earlier write, which does not affect later reads.
			var op *net.OpError
			if errors.As(err, &op) {
				continue
			}
			return err
		}
		if n > MaxDatagram {
			s.oversized.Add(1)
			continue
		}
		s.received.Add(1)
		s.receivedBytes.Add(uint64(n))
		handle(buf[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

// Write sends a datagram and counts it, or counts the error that it returns.
func (s *Socket) Write(data []byte, to netip.AddrPort) error {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.writeErrors.Add(1)
		return err
	}
	s.sent.Add(1)
	return nil
}

// Counters returns the current counts.
func (s *Socket) Counters() Counters {
	return Counters{
		Received:      s.received.Load(),
		Sent:          s.sent.Load(),
		ReceivedBytes: s.receivedBytes.Load(),
		Oversized:     s.oversized.Load(),
		WriteErrors:   s.writeErrors.Load(),
	}
}

// Close closes the socket, which makes Serve return.
func (s *Socket) Close() error { return s.conn.Close() }
