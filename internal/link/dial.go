package link

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// dialLoop keeps a link to a peer until ctx ends.
func (m *Manager) dialLoop(ctx context.Context, p *peer) {
	var b backoff
	b.reset()
	level := slog.LevelInfo
	for ctx.Err() == nil {
		addr, cur := m.dialState(p)
		if cur != nil && !cur.silent.Load() {
			level = slog.LevelInfo
			if !waitFor(ctx, p.wake) {
				return
			}
			b.reset()
			m.waitAfterLoss(ctx, p, &b)
			continue
		}
		err := m.dial(ctx, p, addr, cur)
		if err == nil {
			b.reset()
			continue
		}
		if ctx.Err() == nil {
			m.limited.Log(level, "dial", "peer not reached", "peer", p.name, "addr", addr, "error", err)
			// A peer may be away for days; only the first failure is worth a line by default.
			level = slog.LevelDebug
		}
		if sleepOrWake(ctx, b.wait(), p.wake) {
			b.reset()
		}
	}
}

func (m *Manager) dialState(p *peer) (netip.AddrPort, *link) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return p.addr, p.current
}

// waitAfterLoss waits before the first attempt after a loss; a silent link is probed at once.
func (m *Manager) waitAfterLoss(ctx context.Context, p *peer, b *backoff) {
	if _, cur := m.dialState(p); cur == nil {
		sleepOrWake(ctx, b.wait(), p.wake)
	}
}

// dial tries to establish a link; replaces is the silent link that it is meant to replace, or nil.
func (m *Manager) dial(ctx context.Context, p *peer, addr netip.AddrPort, replaces *link) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.refused(p, addr, replaces)
	}
	if err != nil {
		return errors.Annotate(err, "dial")
	}
	raw := newCountedConn(conn, &m.stats)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	l, err := m.greetDialed(raw, p, replaces)
	if err != nil {
		_ = raw.Close()
		return err
	}
	if !m.installDialed(p, l, replaces) {
		l.close()
		return newError(ErrDuplicate, "link to %s came up meanwhile", p.name)
	}
	return nil
}

// greetDialed exchanges Hellos on a dialed connection and opens the link.
func (m *Manager) greetDialed(raw *countedConn, p *peer, replaces *link) (*link, error) {
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := m.secureDialed(raw, p.name)
	if err != nil {
		return nil, err
	}
	own := m.hello(p.name, rand.Uint64()|1)
	own.LastLinkID = m.lastLinkID(p, replaces)
	if err := sendHello(conn, own); err != nil {
		return nil, errors.Annotate(err, "send Hello")
	}
	answer, err := receiveHello(conn)
	if err != nil {
		return nil, err
	}
	if answer.Name != p.name || answer.LinkID != own.LinkID {
		return nil, newError(ErrWrongPeer, "%s answers for %s", answer.Name, p.name)
	}
	version, err := m.negotiate(answer)
	if err != nil {
		return nil, err
	}
	if answer.Duplicate {
		return nil, newError(ErrDuplicate, "answer of %s", p.name)
	}
	return m.openLink(conn, raw, answer, version, true)
}

func (m *Manager) lastLinkID(p *peer, replaces *link) uint64 {
	if replaces != nil {
		return replaces.id
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return p.lastID
}

func (m *Manager) installDialed(p *peer, l, replaces *link) bool {
	m.mu.Lock()
	ok := !m.closing && p.wanted && p.keep(m.cfg.Name, l, replaces)
	if !ok {
		m.mu.Unlock()
		return false
	}
	old := m.setCurrent(p, l)
	m.mu.Unlock()
	m.activate(l, old)
	return true
}

// refused reports that the peer's machine runs no process at addr. A link that was silent is over
// then. The report is left out when another link came up meanwhile.
func (m *Manager) refused(p *peer, addr netip.AddrPort, silent *link) {
	m.stats.dialsRefused.Add(1)
	m.mu.Lock()
	if !p.wanted || p.addr != addr || p.current != silent {
		m.mu.Unlock()
		return
	}
	if silent != nil {
		p.current = nil
		p.lastID = silent.id
		m.addEvent(p.name, core.LinkDown)
	}
	m.addEvent(p.name, core.LinkRefused)
	m.mu.Unlock()
	if silent != nil {
		silent.close()
	}
	m.deliverEvents()
}

// checkHello checks that a dialer is a peer and means this VM.
func (m *Manager) checkHello(conn net.Conn, h *wire.Hello) error {
	if h.Name == m.cfg.Name || h.Peer != m.cfg.Name {
		return newError(ErrWrongPeer, "%s dials %s at %s", h.Name, h.Peer, m.cfg.Name)
	}
	return checkName(conn, h.Name)
}

// waitFor returns false when ctx ended first.
func waitFor(ctx context.Context, wake <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return true
	}
}

// sleepOrWake waits for d and returns whether it was woken before.
func sleepOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-wake:
		return true
	}
}
