package link

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes of a TCP connection and notes when it was last heard.
type countedConn struct {
	net.Conn
	stats *stats
	start time.Time
	// heard is the time of the last bytes received, in nanoseconds since start.
	heard atomic.Int64
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
		c.heard.Store(int64(time.Since(c.start)))
		c.stats.wireReceived.Add(uint64(n))
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.wireSent.Add(uint64(n))
	return n, err
}

// lastHeard returns when bytes were last received, or when the connection began.
func (c *countedConn) lastHeard() time.Time {
	return c.start.Add(time.Duration(c.heard.Load()))
}

// Layout of the yamux frame header.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxTypeData     = 0
	yamuxLengthOffset = 8
)

// joiningConn joins the header and the body of a yamux frame, which yamux writes separately, into
// one write. It saves a TCP segment, and a record with TLS, per message. Only yamux's sender writes
// to it, one write at a time.
type joiningConn struct {
	net.Conn
	header []byte
	buf    []byte
}

func (c *joiningConn) Write(p []byte) (int, error) {
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
