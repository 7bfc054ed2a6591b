package faultproxy

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// maxPeers bounds the senders that a UDP proxy keeps a socket for; packets of more are dropped.
const maxPeers = 4096

// maxPacket is the size of the largest UDP datagram.
const maxPacket = 65535

// UDP is a proxy for datagrams. Each sender gets a socket of its own towards the destination, so that
// answers find their way back. It is safe for concurrent use.
type UDP struct {
	front    *net.UDPConn
	to       netip.AddrPort
	forward  *Impairment
	backward *Impairment
	cut      atomic.Bool
	done     sync.WaitGroup

	mu    sync.Mutex
	peers map[netip.AddrPort]*net.UDPConn
}

// ListenUDP starts a proxy on a free loopback port.
func ListenUDP(to netip.AddrPort, seed uint64) (*UDP, error) {
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &UDP{
		front:    front,
		to:       to,
		forward:  NewImpairment(seed),
		backward: NewImpairment(seed + 1),
		peers:    map[netip.AddrPort]*net.UDPConn{},
	}
	p.done.Go(p.readFront)
	return p, nil
}

// Addr returns the address to send to.
func (p *UDP) Addr() netip.AddrPort { return p.front.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetFaults replaces the faults towards the destination and back.
func (p *UDP) SetFaults(forward, backward Faults) error {
	if err := p.forward.Set(forward); err != nil {
		return err
	}
	return p.backward.Set(backward)
}

// SetCut drops all packets in both directions while it is on.
func (p *UDP) SetCut(on bool) { p.cut.Store(on) }

// Counts returns the decisions towards the destination and back.
func (p *UDP) Counts() (forward, backward Counts) {
	return p.forward.Counts(), p.backward.Counts()
}

// Close stops the proxy and waits for its goroutines.
func (p *UDP) Close() {
	p.forward.Close()
	p.backward.Close()
	_ = p.front.Close()
	p.mu.Lock()
	for _, conn := range p.peers {
		_ = conn.Close()
	}
	p.peers = nil
	p.mu.Unlock()
	p.done.Wait()
}

// readFront hands on packets of senders.
func (p *UDP) readFront() {
	readAll(p.front, func(data []byte, from netip.AddrPort) {
		conn := p.peer(from)
		if conn == nil || p.cut.Load() {
			return
		}
		p.forward.Pass(data, func(b []byte) { _, _ = conn.Write(b) })
	})
}

// peer returns the socket of a sender; nil when there are too many or the proxy is closed.
func (p *UDP) peer(from netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.peers[from]; conn != nil {
		return conn
	}
	if p.peers == nil || len(p.peers) >= maxPeers {
		return nil
	}
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.to))
	if err != nil {
		return nil
	}
	p.peers[from] = conn
	p.done.Go(func() {
		readAll(conn, func(data []byte, _ netip.AddrPort) {
			if !p.cut.Load() {
				p.backward.Pass(data, func(b []byte) { _, _ = p.front.WriteToUDPAddrPort(b, from) })
			}
		})
	})
	return conn
}

// readAll calls handle for each packet until the socket is closed.
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
