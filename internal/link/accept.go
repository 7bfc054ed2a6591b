package link

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// acceptPause is the wait after a failed accept, for example when file descriptors have run out.
const acceptPause = 50 * time.Millisecond

func (m *Manager) acceptLoop() {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.limited.Log(slog.LevelError, "accept", "cannot accept peers", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		m.admitConn(conn)
	}
}

// admitConn greets a connection unless too many have not said Hello.
func (m *Manager) admitConn(conn net.Conn) {
	select {
	case m.handshakes <- struct{}{}:
	default:
		_ = conn.Close()
		m.countGarbage(conn, newError(ErrTooManyHandshakes, "%d handshakes", maxHandshakes))
		return
	}
	m.goroutines.Go(func() {
		defer func() { <-m.handshakes }()
		raw := newCountedConn(conn, &m.stats)
		stop := context.AfterFunc(m.ctx, func() { _ = raw.Close() })
		defer stop()
		if err := m.serve(raw); err != nil {
			_ = raw.Close()
			m.countGarbage(conn, err)
		}
	})
}

// countGarbage counts and logs a refused connection; a duplicate is a normal event.
func (m *Manager) countGarbage(conn net.Conn, err error) {
	if errors.Is(err, ErrDuplicate) {
		return
	}
	m.stats.garbage.Add(1)
	m.limited.Log(slog.LevelWarn, "garbage", "connection refused", "from", conn.RemoteAddr(), "error", err)
}

// serve exchanges Hellos on an accepted connection and opens the link.
func (m *Manager) serve(raw *countedConn) error {
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return errors.Trace(err)
	}
	conn, err := m.secureAccepted(raw)
	if err != nil {
		return err
	}
	h, err := receiveHello(conn)
	if err != nil {
		return err
	}
	if err := m.checkHello(conn, h); err != nil {
		return err
	}
	version, noVersion := m.negotiate(h)
	answer := m.hello(h.Name, h.LinkID)
	answer.Duplicate = noVersion == nil && !m.wouldAdmit(h)
	if err := sendHello(conn, answer); err != nil {
		return errors.Annotate(err, "send Hello")
	}
	if noVersion != nil {
		return noVersion
	}
	if answer.Duplicate {
		return newError(ErrDuplicate, "dialed by %s", h.Name)
	}
	l, err := m.openLink(conn, raw, h, version, false)
	if err != nil {
		return err
	}
	if !m.installAccepted(l, h) {
		l.close()
		return newError(ErrDuplicate, "link to %s came up meanwhile", h.Name)
	}
	return nil
}

func (m *Manager) wouldAdmit(h *wire.Hello) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p := m.peers[h.Name]
	if p == nil {
		return len(m.peers) < maxPeers
	}
	return p.admit(m.cfg.Name, h)
}

// installAccepted decides again, as another link may have come up since wouldAdmit.
func (m *Manager) installAccepted(l *link, h *wire.Hello) bool {
	m.mu.Lock()
	p := m.peers[h.Name]
	if p == nil {
		p = newPeer(h.Name)
	}
	if m.closing || !p.admit(m.cfg.Name, h) {
		m.mu.Unlock()
		return false
	}
	m.peers[h.Name] = p
	old := m.setCurrent(p, l)
	m.mu.Unlock()
	m.activate(l, old)
	return true
}
