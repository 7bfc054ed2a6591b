package faultproxy

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// maxSenders is the maximum number of senders that a UDP proxy has a socket for; packets of further
// senders are dropped.
const maxSenders = 4096

// maxPacket is the size of the read buffer in bytes; the largest UDP datagram fits into it.
const maxPacket = 65535

// UDP is a proxy for datagrams to one destination. It has a separate socket to the destination for each
// sender, so that it can assign answers to senders. It is safe for concurrent use.
type UDP struct {
	listener    *net.UDPConn
	destination netip.AddrPort
	forward     *Impairment
	backward    *Impairment
	cut         atomic.Bool
	done        sync.WaitGroup

	mu      sync.Mutex
	senders map[netip.AddrPort]*net.UDPConn
}

// ListenUDP starts a proxy to the destination on a free loopback port. Its random decisions follow from
// the seed.
func ListenUDP(destination netip.AddrPort, seed uint64) (*UDP, error) {
	listener, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &UDP{
		listener:    listener,
		destination: destination,
		forward:     NewImpairment(seed),
		backward:    NewImpairment(seed + 1),
		senders:     map[netip.AddrPort]*net.UDPConn{},
	}
	p.done.Go(p.readListener)
	return p, nil
}

// Addr returns the address to send to.
func (p *UDP) Addr() netip.AddrPort { return p.listener.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetFaults replaces the faults of datagrams to the destination and of those back to the senders. It
// returns an error when a rate or time is out of range.
func (p *UDP) SetFaults(forward, backward Faults) error {
	if err := p.forward.Set(forward); err != nil {
		return err
	}
	return p.backward.Set(backward)
}

// SetCut sets whether all packets in both directions are dropped.
func (p *UDP) SetCut(on bool) { p.cut.Store(on) }

// Counts returns the counts of datagrams to the destination and of those back to the senders.
func (p *UDP) Counts() (forward, backward Counts) {
	return p.forward.Counts(), p.backward.Counts()
}

// Close stops the proxy and waits for its goroutines.
func (p *UDP) Close() {
	p.forward.Close()
	p.backward.Close()
	_ = p.listener.Close()
	p.mu.Lock()
	for _, conn := range p.senders {
		_ = conn.Close()
	}
	p.senders = nil
	p.mu.Unlock()
	p.done.Wait()
}

// readListener forwards the packets of senders to the destination.
func (p *UDP) readListener() {
	readAll(p.listener, func(data []byte, from netip.AddrPort) {
		conn := p.senderConn(from)
		if conn == nil || p.cut.Load() {
			return
		}
		p.forward.Pass(data, func(b []byte) { _, _ = conn.Write(b) })
	})
}

// senderConn returns the socket for a sender, and opens it when there is none. It returns nil when
// there are too many senders, the socket cannot be opened or the proxy is closed.
func (p *UDP) senderConn(from netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.senders[from]; conn != nil {
		return conn
	}
	if p.senders == nil || len(p.senders) >= maxSenders {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.destination))
	if err != nil {
		return nil
	}
	p.senders[from] = conn
	p.done.Go(func() {
		readAll(conn, func(data []byte, _ netip.AddrPort) {
			if !p.cut.Load() {
				p.backward.Pass(data, func(b []byte) { _, _ = p.listener.WriteToUDPAddrPort(b, from) })
			}
		})
	})
	return conn
}

// readAll calls handle for each packet until the socket is closed; it ignores other read errors.
func readAll(conn *net.UDPConn, handle func([]byte, netip.AddrPort)) {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			handle(buf[:n], from)
		}
	}
}
