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

// yamuxWriteTimeout is the time after which a session is closed when its connection accepts no bytes. It
// also bounds the wait for the answer to a ping.
const yamuxWriteTimeout = 5 * time.Second

// link is an established connection to a peer.
type link struct {
	manager     *Manager
	peer        core.VMName
	id          uint64
	incarnation core.Incarnation
	version     wire.Version
	// dialed is true when this VM dialed the connection.
	dialed bool

	// raw is the TCP connection below TLS and yamux.
	raw     *countedConn
	session *yamux.Session
	streams [numStreams]*yamux.Stream
	queues  [numStreams]*queue

	// silent is true when nothing has been received for silentAfter.
	silent atomic.Bool
	// retired is true once another link has replaced this one; messages are then only received on it.
	retired atomic.Bool
	pinging atomic.Bool
	// readers is the number of streams that are still read.
	readers atomic.Int32
	// deliverUntil is the time, in Unix nanoseconds, until which received messages of a lost link are
	// still delivered.
	deliverUntil atomic.Int64
	closed       chan struct{}
	closeOnce    sync.Once
}

// openLink starts yamux on a connection after the exchange of Hellos.
func (m *Manager) openLink(conn net.Conn, raw *countedConn, peerHello *wire.Hello, version wire.Version, dialed bool) (*link, error) {
	l := &link{
		manager:     m,
		peer:        peerHello.Name,
		id:          peerHello.LinkID,
		incarnation: peerHello.Incarnation,
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
	if err := l.openSession(&coalescingConn{Conn: conn}); err != nil {
		return nil, errors.Annotate(err, "open streams")
	}
	return l, nil
}

func (l *link) openSession(conn net.Conn) (err error) {
	config := yamux.DefaultConfig()
	// Heartbeats and the monitor's pings show whether the connection works; yamux's keepalive would only
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
		l.manager.goroutines.Go(func() { l.read(kind) })
		l.manager.goroutines.Go(func() { l.write(kind) })
	}
	l.manager.goroutines.Go(l.monitor)
}

// send encodes and queues a message and returns whether it was queued.
func (l *link) send(msg core.Message) bool {
	data, err := wire.Encode(msg, l.version)
	if err != nil {
		l.manager.stats.unencodable.Add(1)
		l.manager.limitedLog.Log(slog.LevelError, "encode", "message not sent", "peer", l.peer, "error", err)
		return false
	}
	f := frame{data: appendFrame(make([]byte, 0, len(data)+4), data), traffic: isTraffic(msg)}
	if !l.queues[streamOf(msg)].push(f) {
		l.manager.stats.queueFull.Add(1)
		l.manager.limitedLog.Log(slog.LevelWarn, "queue", "message dropped because the queue is full", "peer", l.peer)
		return false
	}
	return true
}

// write sends the frames of a queue, up to a chunk at a time.
func (l *link) write(kind streamKind) {
	defer l.closeAfterError()
	q := l.queues[kind]
	for {
		select {
		case <-l.closed:
			return
		case <-q.ready:
		}
		for frames := q.take(); len(frames) > 0; frames = q.take() {
			if err := l.writeFrames(kind, frames); err != nil {
				return
			}
			q.release(frames)
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
		l.manager.stats.sent(f.traffic).add(len(f.data))
	}
	return nil
}

// read delivers the messages of a stream. A closing peer closes its streams one after the other. The link
// is closed only after the last stream has ended, because closing a yamux session discards unread data.
func (l *link) read(kind streamKind) {
	err := l.readMessages(kind)
	ended := l.readers.Add(-1) == 0
	if errors.Is(err, io.EOF) && !l.session.IsClosed() && !ended {
		return
	}
	l.closeAfterError()
}

// readMessages delivers messages until reading fails.
func (l *link) readMessages(kind streamKind) error {
	r := bufio.NewReader(l.streams[kind])
	var buf []byte
	for {
		envelope, size, err := readFrame(r, buf, kind.frameLimit())
		if errors.Is(err, wire.ErrTooLarge) {
			l.manager.stats.invalid.Add(1)
			l.manager.limitedLog.Log(slog.LevelWarn, "frame", "link closed because of an invalid frame", "peer", l.peer, "error", err)
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
		l.manager.stats.unknownKinds.Add(1)
		l.manager.limitedLog.Log(slog.LevelWarn, "unknown", "received message dropped", "peer", l.peer, "error", err)
		return
	}
	if err != nil {
		l.manager.stats.invalid.Add(1)
		l.manager.limitedLog.Log(slog.LevelWarn, "invalid", "received message dropped", "peer", l.peer, "error", err)
		return
	}
	l.manager.stats.received(isTraffic(msg)).add(size)
	if l.isClosed() && time.Now().UnixNano() > l.deliverUntil.Load() {
		return
	}
	l.manager.cfg.OnMessage(core.PeerMessage{From: l.peer, Msg: msg})
}

func (l *link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// closeAfterError closes the link after an error. Messages that other streams have received are still
// delivered for lateDeliveryTime.
func (l *link) closeAfterError() {
	l.deliverUntil.CompareAndSwap(0, time.Now().Add(lateDeliveryTime).UnixNano())
	l.close()
}

// close closes the link at once. Unless closeAfterError has set a time for late deliveries, no further
// message is delivered. The TCP connection is closed first, because closing yamux or TLS would block on a
// connection that accepts no bytes.
func (l *link) close() {
	l.deliverUntil.CompareAndSwap(0, 1)
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.raw.Close()
		_ = l.session.Close()
		for _, q := range l.queues {
			waiting, _ := q.state()
			l.manager.stats.lostInQueue.Add(uint64(waiting))
		}
		l.manager.linkEnded(l)
	})
}

// flushed reports whether all queued messages have been written to the connection.
func (l *link) flushed() bool {
	for _, q := range l.queues {
		if _, busy := q.state(); busy {
			return false
		}
	}
	return true
}

// closeStreams closes the streams for sending; the peer closes the link once it has read everything. The
// TCP connection stays open in both directions, because yamux still answers the peer until then and a
// failed write would reset the connection.
func (l *link) closeStreams() {
	for _, stream := range l.streams {
		_ = stream.Close()
	}
}
