package link

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// yamuxWriteTimeout ends a session whose connection takes no bytes; it also bounds a ping.
const yamuxWriteTimeout = 5 * time.Second

// link is an established connection to a peer.
type link struct {
	m           *Manager
	peer        core.VMName
	id          uint64
	incarnation core.Incarnation
	version     wire.Version
	// dialed is true when this VM dialed the connection.
	dialed bool

	raw     *countedConn
	session *yamux.Session
	streams [numStreams]*yamux.Stream
	queues  [numStreams]*queue

	// silent is true while nothing is received.
	silent atomic.Bool
	// retired is true once another link has replaced this one; it is then only read.
	retired atomic.Bool
	pinging atomic.Bool
	// readers is the number of streams that are read.
	readers atomic.Int32
	// drainUntil is the time, in Unix nanoseconds, until which received messages of a lost link are
	// still delivered.
	drainUntil atomic.Int64
	closed     chan struct{}
	closeOnce  sync.Once
}

// openLink starts yamux on a connection whose Hellos were exchanged.
func (m *Manager) openLink(conn net.Conn, raw *countedConn, h *wire.Hello, version wire.Version, dialed bool) (*link, error) {
	l := &link{
		m:           m,
		peer:        h.Name,
		id:          h.LinkID,
		incarnation: h.Incarnation,
		version:     version,
		dialed:      dialed,
		raw:         raw,
		closed:      make(chan struct{}),
	}
	for kind := range numStreams {
		l.queues[kind] = newQueue(kind)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, errors.Trace(err)
	}
	if err := l.openSession(&joiningConn{Conn: conn}); err != nil {
		return nil, errors.Annotate(err, "open streams")
	}
	return l, nil
}

func (l *link) openSession(conn net.Conn) (err error) {
	config := yamux.DefaultConfig()
	// Heartbeats and the monitor's pings show whether the peer is alive; yamux's own pings would only
	// add traffic.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = yamuxWriteTimeout
	config.LogOutput = io.Discard
	if l.dialed {
		l.session, err = yamux.Client(conn, config)
	} else {
		l.session, err = yamux.Server(conn, config)
	}
	if err != nil {
		return err
	}
	if err := l.openStreams(); err != nil {
		_ = l.session.Close()
		return err
	}
	return nil
}

func (l *link) openStreams() (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	for kind := range numStreams {
		if l.dialed {
			l.streams[kind], err = l.session.OpenStream()
		} else {
			l.streams[kind], err = l.session.AcceptStreamWithContext(ctx)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// run starts the link's goroutines. They end when the link is closed.
func (l *link) run() {
	l.readers.Store(int32(numStreams))
	for kind := range numStreams {
		l.m.goroutines.Go(func() { l.read(kind) })
		l.m.goroutines.Go(func() { l.write(kind) })
	}
	l.m.goroutines.Go(l.monitor)
}

// send queues an encoded message.
func (l *link) send(msg core.Message) bool {
	data, err := wire.Encode(msg, l.version)
	if err != nil {
		l.m.stats.unencodable.Add(1)
		l.m.limited.Log(slog.LevelError, "encode", "message dropped", "peer", l.peer, "error", err)
		return false
	}
	f := frame{data: appendFrame(make([]byte, 0, len(data)+4), data), traffic: isTraffic(msg)}
	if !l.queues[streamOf(msg)].push(f) {
		l.m.stats.queueFull.Add(1)
		l.m.limited.Log(slog.LevelWarn, "queue", "message dropped, queue full", "peer", l.peer)
		return false
	}
	return true
}

// write sends the frames of a queue, as many at once as fit in a chunk.
func (l *link) write(kind streamKind) {
	defer l.lost()
	q := l.queues[kind]
	for {
		select {
		case <-l.closed:
			return
		case <-q.filled:
		}
		for frames := q.take(); len(frames) > 0; frames = q.take() {
			if err := l.writeFrames(kind, frames); err != nil {
				return
			}
			q.sent(frames)
		}
	}
}

func (l *link) writeFrames(kind streamKind, frames []frame) error {
	data := frames[0].data
	for _, f := range frames[1:] {
		data = append(data, f.data...)
	}
	for len(data) > 0 {
		n := min(len(data), writeChunk)
		if _, err := l.streams[kind].Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	for _, f := range frames {
		l.m.stats.sent(f.traffic).add(len(f.data))
	}
	return nil
}

// read delivers the messages of a stream. A peer that closes ends its streams one by one: the link is
// closed after the last one, because yamux drops what is unread when a session is closed.
func (l *link) read(kind streamKind) {
	err := l.readMessages(kind)
	ended := l.readers.Add(-1) == 0
	if errors.Is(err, io.EOF) && !l.session.IsClosed() && !ended {
		return
	}
	l.lost()
}

// readMessages delivers messages until reading fails.
func (l *link) readMessages(kind streamKind) error {
	r := bufio.NewReader(l.streams[kind])
	var buf []byte
	for {
		envelope, size, err := readFrame(r, buf, kind.frameLimit())
		if errors.Is(err, wire.ErrTooLarge) {
			l.m.stats.invalid.Add(1)
			l.m.limited.Log(slog.LevelWarn, "frame", "link closed, bad frame", "peer", l.peer, "error", err)
		}
		if err != nil {
			return err
		}
		if cap(envelope) <= wire.MaxSize {
			buf = envelope
		}
		l.receive(envelope, size)
	}
}

func (l *link) receive(envelope []byte, size int) {
	msg, err := wire.Decode(envelope)
	if errors.Is(err, wire.ErrUnknownKind) {
		l.m.stats.unknownKinds.Add(1)
		l.m.limited.Log(slog.LevelWarn, "unknown", "message dropped", "peer", l.peer, "error", err)
		return
	}
	if err != nil {
		l.m.stats.invalid.Add(1)
		l.m.limited.Log(slog.LevelWarn, "invalid", "message dropped", "peer", l.peer, "error", err)
		return
	}
	l.m.stats.received(isTraffic(msg)).add(size)
	if l.isClosed() && time.Now().UnixNano() > l.drainUntil.Load() {
		return
	}
	l.m.cfg.OnMessage(core.PeerMessage{From: l.peer, Msg: msg})
}

func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// lost ends the link after an error. What the other streams have received is still delivered.
func (l *link) lost() {
	l.drainUntil.CompareAndSwap(0, time.Now().Add(drainTime).UnixNano())
	l.close()
}

// close ends the link at once. The raw connection goes first, as closing yamux or TLS would wait for a
// connection that takes no bytes.
func (l *link) close() {
	l.drainUntil.CompareAndSwap(0, 1)
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.raw.Close()
		_ = l.session.Close()
		for _, q := range l.queues {
			waiting, _ := q.state()
			l.m.stats.lostInQueue.Add(uint64(waiting))
		}
		l.m.linkEnded(l)
	})
}

// flushed reports whether all queued messages were handed to the kernel.
func (l *link) flushed() bool {
	for _, q := range l.queues {
		if _, busy := q.state(); busy {
			return false
		}
	}
	return true
}

// finish ends this side's sending; the peer closes the link once it has read everything. The TCP
// connection stays open in both directions, since yamux answers the peer until then, and a failed
// write would reset the connection.
func (l *link) finish() {
	for _, stream := range l.streams {
		_ = stream.Close()
	}
}
