package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// TCP is a proxy for connections. It is safe for concurrent use.
type TCP struct {
	listener net.Listener
	to       netip.AddrPort
	delay    atomic.Int64
	refuse   atomic.Bool
	accepted atomic.Uint64
	done     sync.WaitGroup

	mu     sync.Mutex
	conns  map[*tcpPair]struct{}
	closed bool
}

// tcpPair is a connection with its counterpart at the destination.
type tcpPair struct {
	in, out net.Conn
	// silent holds back all bytes, in both directions, for good.
	silent atomic.Bool
}

// ListenTCP starts a proxy on a free loopback port.
func ListenTCP(to netip.AddrPort) (*TCP, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &TCP{listener: l, to: to, conns: map[*tcpPair]struct{}{}}
	p.done.Go(p.accept)
	return p, nil
}

// Addr returns the address to connect to.
func (p *TCP) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Accepted returns the number of connections so far.
func (p *TCP) Accepted() uint64 { return p.accepted.Load() }

// SetDelay adds a delay to all bytes, in both directions.
func (p *TCP) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetRefuse closes new connections at once while it is on.
func (p *TCP) SetRefuse(on bool) { p.refuse.Store(on) }

// Cut closes all connections; new ones work.
func (p *TCP) Cut() {
	for _, c := range p.pairs() {
		c.close()
	}
}

// Silence makes all connections go silent for good: they stay open and no byte arrives any more. New
// ones work.
func (p *TCP) Silence() {
	for _, c := range p.pairs() {
		c.silent.Store(true)
	}
}

// Close stops the proxy, closes all connections and waits for its goroutines.
func (p *TCP) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Cut()
	p.done.Wait()
}

// pairs returns the open connections.
func (p *TCP) pairs() []*tcpPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	pairs := make([]*tcpPair, 0, len(p.conns))
	for c := range p.conns {
		pairs = append(pairs, c)
	}
	return pairs
}

// accept takes connections until the listener is closed.
func (p *TCP) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		if p.refuse.Load() {
			_ = in.Close()
			continue
		}
		p.done.Go(func() { p.serve(in) })
	}
}

// serve connects to the destination and copies in both directions until either side ends.
func (p *TCP) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.to.String())
	if err != nil {
		_ = in.Close()
		return
	}
	c := &tcpPair{in: in, out: out}
	defer c.close()
	if !p.add(c) {
		return
	}
	defer p.remove(c)
	back := make(chan struct{})
	go func() {
		defer close(back)
		defer c.close()
		p.copy(c, in, out)
	}()
	p.copy(c, out, in)
	c.close()
	<-back
}

// add registers a connection; it reports false when the proxy is closed.
func (p *TCP) add(c *tcpPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

// remove forgets a connection.
func (p *TCP) remove(c *tcpPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy copies bytes until an end is closed. A silent connection is read no further, so that its sender
// fills its buffers as it would with a peer that has gone.
func (p *TCP) copy(c *tcpPair, dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if c.silent.Load() {
			c.waitClosed()
			return
		}
		if err != nil {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// waitClosed returns when the proxy closed the connection. An end that its owner closed stays open on
// the other side, as it would without a packet that says so.
func (c *tcpPair) waitClosed() {
	for {
		if c.in.SetReadDeadline(time.Time{}) != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// close closes both ends.
func (c *tcpPair) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}
