package link

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// acceptPause is the delay after a failed accept, for example when no file descriptor is free.
const acceptPause = 50 * time.Millisecond

func (m *Manager) acceptLoop() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.limitedLog.Log(slog.LevelError, "accept", "cannot accept peer connections", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		m.admitConn(conn)
	}
}

// admitConn starts the handshake of a connection, or closes it when maxHandshakes are in progress.
func (m *Manager) admitConn(conn net.Conn) {
	select {
	case m.handshakes <- struct{}{}:
	default:
		_ = conn.Close()
		m.countRefusedConn(conn, newError(ErrTooManyHandshakes, "%d handshakes in progress", maxHandshakes))
		return
	}
	m.goroutines.Go(func() {
		defer func() { <-m.handshakes }()
		raw := newCountedConn(conn, &m.stats)
		stop := context.AfterFunc(m.ctx, func() { _ = raw.Close() })
		defer stop()
		if err := m.openAccepted(raw); err != nil {
			_ = raw.Close()
			m.countRefusedConn(conn, err)
		}
	})
}

// countRefusedConn counts and logs a refused connection. It ignores duplicates, which occur in normal
// operation when both sides dial.
func (m *Manager) countRefusedConn(conn net.Conn, err error) {
	if errors.Is(err, ErrDuplicate) {
		return
	}
	m.stats.connectionsRefused.Add(1)
	m.limitedLog.Log(slog.LevelWarn, "garbage", "connection refused", "from", conn.RemoteAddr(), "error", err)
}

// openAccepted exchanges Hellos on an accepted connection and opens the link.
func (m *Manager) openAccepted(raw *countedConn) error {
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return errors.Trace(err)
	}
	conn, err := m.secureAccepted(raw)
	if err != nil {
		return err
	}
	peerHello, err := receiveHello(conn)
	if err != nil {
		return err
	}
	if err := m.checkHello(conn, peerHello); err != nil {
		return err
	}
	version, versionErr := m.negotiate(peerHello)
	answer := m.ownHello(peerHello.Name, peerHello.LinkID)
	answer.Duplicate = versionErr == nil && !m.wouldAdmit(peerHello)
	if err := sendHello(conn, answer); err != nil {
		return errors.Annotate(err, "send Hello")
	}
	if versionErr != nil {
		return versionErr
	}
	if answer.Duplicate {
		return newError(ErrDuplicate, "dialed by %s", peerHello.Name)
	}
	l, err := m.openLink(conn, raw, peerHello, version, false)
	if err != nil {
		return err
	}
	if !m.installAccepted(l, peerHello) {
		l.close()
		return newError(ErrDuplicate, "another link to %s was established meanwhile", peerHello.Name)
	}
	return nil
}

// wouldAdmit reports whether a connection with this Hello would become the peer's link now.
func (m *Manager) wouldAdmit(peerHello *wire.Hello) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p := m.peers[peerHello.Name]
	if p == nil {
		return len(m.peers) < maxPeers
	}
	return p.admitAccepted(m.cfg.Name, peerHello)
}

// installAccepted makes an accepted link the peer's link and reports whether it did. It calls
// admitAccepted again because another link may have been established since wouldAdmit.
func (m *Manager) installAccepted(l *link, peerHello *wire.Hello) bool {
	m.mu.Lock()
	p := m.peers[peerHello.Name]
	if p == nil {
		p = newPeer(peerHello.Name)
	}
	if m.closing || !p.admitAccepted(m.cfg.Name, peerHello) {
		m.mu.Unlock()
		return false
	}
	m.peers[peerHello.Name] = p
	old := m.setCurrent(p, l)
	m.mu.Unlock()
	m.activate(l, old)
	return true
}
