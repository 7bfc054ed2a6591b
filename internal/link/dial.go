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

// dialLoop maintains a link to a peer until ctx ends.
func (m *Manager) dialLoop(ctx context.Context, p *peer) {
	var retry backoff
	retry.reset()
	level := slog.LevelInfo
	for ctx.Err() == nil {
		addr, current := m.dialState(p)
		if current != nil && !current.silent.Load() {
			level = slog.LevelInfo
			if !waitFor(ctx, p.wake) {
				return
			}
			retry.reset()
			m.waitAfterLoss(ctx, p, &retry)
			continue
		}
		err := m.dial(ctx, p, addr, current)
		if err == nil {
			retry.reset()
			continue
		}
		if ctx.Err() == nil {
			m.limitedLog.Log(level, "dial", "cannot connect to peer", "peer", p.name, "addr", addr, "error", err)
			// A peer may be down for days, so further failures are logged at the debug level.
			level = slog.LevelDebug
		}
		if sleepOrWake(ctx, retry.wait(), p.wake) {
			retry.reset()
		}
	}
}

// dialState returns the address to dial and the current link, which is nil when there is none.
func (m *Manager) dialState(p *peer) (netip.AddrPort, *link) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return p.addr, p.current
}

// waitAfterLoss waits before the first dial after the loss of a link. For a link that is only silent it
// returns at once, so that a new connection is tried without delay.
func (m *Manager) waitAfterLoss(ctx context.Context, p *peer, retry *backoff) {
	if _, current := m.dialState(p); current == nil {
		sleepOrWake(ctx, retry.wait(), p.wake)
	}
}

// dial tries once to establish a link; replaces is the silent link that the new one replaces, or nil.
func (m *Manager) dial(ctx context.Context, p *peer, addr netip.AddrPort, replaces *link) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.reportRefused(p, addr, replaces)
	}
	if err != nil {
		return errors.Annotate(err, "dial")
	}
	raw := newCountedConn(conn, &m.stats)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	l, err := m.openDialed(raw, p, replaces)
	if err != nil {
		_ = raw.Close()
		return err
	}
	if !m.installDialed(p, l, replaces) {
		l.close()
		return newError(ErrDuplicate, "another link to %s was established meanwhile", p.name)
	}
	return nil
}

// openDialed exchanges Hellos on a dialed connection and opens the link.
func (m *Manager) openDialed(raw *countedConn, p *peer, replaces *link) (*link, error) {
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := m.secureDialed(raw, p.name)
	if err != nil {
		return nil, err
	}
	ownHello := m.ownHello(p.name, rand.Uint64()|1)
	ownHello.LastLinkID = m.lastLinkID(p, replaces)
	if err := sendHello(conn, ownHello); err != nil {
		return nil, errors.Annotate(err, "send Hello")
	}
	answer, err := receiveHello(conn)
	if err != nil {
		return nil, err
	}
	if answer.Name != p.name || answer.LinkID != ownHello.LinkID {
		return nil, newError(ErrWrongPeer, "received an answer from %s instead of %s", answer.Name, p.name)
	}
	version, err := m.negotiate(answer)
	if err != nil {
		return nil, err
	}
	if answer.Duplicate {
		return nil, newError(ErrDuplicate, "reported by %s", p.name)
	}
	return m.openLink(conn, raw, answer, version, true)
}

// lastLinkID returns the id of the link that a new connection replaces, or of the peer's last link.
func (m *Manager) lastLinkID(p *peer, replaces *link) uint64 {
	if replaces != nil {
		return replaces.id
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return p.lastID
}

// installDialed makes a dialed link the peer's link and reports whether it did.
func (m *Manager) installDialed(p *peer, l, replaces *link) bool {
	m.mu.Lock()
	ok := !m.closing && p.wanted && p.admitDialed(m.cfg.Name, l, replaces)
	if !ok {
		m.mu.Unlock()
		return false
	}
	old := m.setCurrent(p, l)
	m.mu.Unlock()
	m.activate(l, old)
	return true
}

// reportRefused reports that no process listens at addr on the peer's machine, and closes the silent
// link, if any. It does neither when the peer's address or link has changed meanwhile.
func (m *Manager) reportRefused(p *peer, addr netip.AddrPort, silent *link) {
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

// checkHello checks that a dialer has another name than this VM, that its Hello is addressed to this VM
// and that its certificate matches its name.
func (m *Manager) checkHello(conn net.Conn, peerHello *wire.Hello) error {
	if peerHello.Name == m.cfg.Name || peerHello.Peer != m.cfg.Name {
		return newError(ErrWrongPeer, "%s dialed %s but reached %s", peerHello.Name, peerHello.Peer, m.cfg.Name)
	}
	return checkCertificateName(conn, peerHello.Name)
}

// waitFor waits for wake. It returns false when ctx ends first.
func waitFor(ctx context.Context, wake <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-wake:
		return true
	}
}

// sleepOrWake waits for d or for wake, whichever comes first, and returns whether it was wake.
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
