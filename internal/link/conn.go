package link

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes of a TCP connection and records when bytes were last received.
type countedConn struct {
	net.Conn
	stats *stats
	start time.Time
	// lastReceivedNanos is when bytes were last received, in nanoseconds since start.
	lastReceivedNanos atomic.Int64
}

func newCountedConn(c net.Conn, s *stats) *countedConn {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBuffer)
	}
	return &countedConn{Conn: c, stats: s, start: time.Now()}
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceivedNanos.Store(int64(time.Since(c.start)))
		c.stats.wireReceived.Add(uint64(n))
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.wireSent.Add(uint64(n))
	return n, err
}

// lastReceived returns when bytes were last received, or start when none were.
func (c *countedConn) lastReceived() time.Time {
	return c.start.Add(time.Duration(c.lastReceivedNanos.Load()))
}

// Layout of the yamux frame header.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxTypeData     = 0
	yamuxLengthOffset = 8
)

// coalescingConn combines the header and the body of a yamux frame, which yamux writes separately, into
// one write. This saves a TCP segment per message, and a TLS record when TLS is used. Only yamux's send
// goroutine writes to it, one write at a time.
type coalescingConn struct {
	net.Conn
	header []byte
	buf    []byte
}

func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.header) == 0 && hasBody(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	header := len(c.header)
	c.buf = append(append(c.buf[:0], c.header...), p...)
	c.header = c.header[:0]
	n, err := c.Conn.Write(c.buf)
	return max(n-header, 0), err
}

// hasBody reports whether p is the header of a frame whose body follows in the next write.
func hasBody(p []byte) bool {
	return len(p) == yamuxHeaderSize &&
		p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}
