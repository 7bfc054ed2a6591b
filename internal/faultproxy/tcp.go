package faultproxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// TCP is a proxy for TCP connections to one destination. It is safe for concurrent use.
type TCP struct {
	listener    net.Listener
	destination netip.AddrPort
	delay       atomic.Int64
	refuse      atomic.Bool
	accepted    atomic.Uint64
	done        sync.WaitGroup

	mu     sync.Mutex
	conns  map[*tcpPair]struct{}
	closed bool
}

// tcpPair is an accepted connection with the proxy's connection to the destination.
type tcpPair struct {
	in, out net.Conn
	// silent stops all bytes in both directions permanently.
	silent atomic.Bool
}

// ListenTCP starts a proxy to the destination on a free loopback port.
func ListenTCP(destination netip.AddrPort) (*TCP, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &TCP{listener: l, destination: destination, conns: map[*tcpPair]struct{}{}}
	p.done.Go(p.accept)
	return p, nil
}

// Addr returns the address to connect to.
func (p *TCP) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Accepted returns the number of connections accepted so far, including refused ones.
func (p *TCP) Accepted() uint64 { return p.accepted.Load() }

// SetDelay sets a delay for all bytes in both directions.
func (p *TCP) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetRefuse sets whether new connections are closed at once.
func (p *TCP) SetRefuse(on bool) { p.refuse.Store(on) }

// Cut closes all open connections; new ones work.
func (p *TCP) Cut() {
	for _, c := range p.pairs() {
		c.close()
	}
}

// Silence stops the traffic of all open connections permanently: they stay open, but no byte arrives
// any more. New connections work.
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

// accept accepts connections until the listener is closed.
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
	out, err := net.Dial("tcp", p.destination.String())
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
	backwardDone := make(chan struct{})
	go func() {
		defer close(backwardDone)
		defer c.close()
		p.copy(c, in, out)
	}()
	p.copy(c, out, in)
	c.close()
	<-backwardDone
}

// add adds a connection to the open ones; it reports false when the proxy is closed.
func (p *TCP) add(c *tcpPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.conns[c] = struct{}{}
	}
	return !p.closed
}

// remove removes a connection from the open ones.
func (p *TCP) remove(c *tcpPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy copies bytes until an end is closed. Nothing more is read from a silent connection, so that the
// buffers of its sender fill up as with a peer that has disappeared.
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

// waitClosed returns after the proxy has closed the connection. When one end closes a silent
// connection, the other end stays open, as in a network that loses the FIN packet.
func (c *tcpPair) waitClosed() {
	for {
		if c.in.SetReadDeadline(time.Time{}) != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// close closes both connections.
func (c *tcpPair) close() {
	_ = c.in.Close()
	_ = c.out.Close()
}
