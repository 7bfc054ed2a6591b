package link

import (
	"log/slog"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// setCurrent makes l the link of a peer and returns the link that it replaces, or nil. The caller holds
// Manager.mu.
func (m *Manager) setCurrent(p *peer, l *link) *link {
	old := p.current
	p.current = l
	if old != nil && old.incarnation != l.incarnation {
		m.addEvent(p.name, core.LinkDown)
	}
	if old == nil || old.incarnation != l.incarnation {
		m.addEvent(p.name, core.LinkUp)
	}
	return old
}

// activate reports a new link, starts it and ends the link that it replaces. Messages in transit on the
// old link are read for retireGrace, unless the peer's process that sent them has ended.
func (m *Manager) activate(l, old *link) {
	m.deliverEvents()
	if old != nil {
		m.stats.linksReplaced.Add(1)
		m.limitedLog.Log(slog.LevelInfo, "replaced", "link replaced", "peer", l.peer)
	}
	l.run()
	switch {
	case old == nil:
	case old.incarnation != l.incarnation:
		old.close()
	default:
		old.retired.Store(true)
		m.goroutines.Go(func() { old.retire() })
	}
}

// retire closes a replaced link after retireGrace.
func (l *link) retire() {
	timer := time.NewTimer(retireGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.closed:
	case <-l.manager.ctx.Done():
	}
	l.close()
}

// linkEnded reports the loss of a peer's current link and wakes the dialer. A link that is not the peer's
// current one, such as a replaced link, is ignored.
func (m *Manager) linkEnded(l *link) {
	m.mu.Lock()
	p := m.peers[l.peer]
	if p == nil || p.current != l {
		m.mu.Unlock()
		return
	}
	p.current = nil
	p.lastID = l.id
	if p.wanted {
		p.wakeUp()
	} else {
		delete(m.peers, l.peer)
	}
	m.addEvent(l.peer, core.LinkDown)
	m.mu.Unlock()
	m.deliverEvents()
}

// wakeDialer makes the dialer try a new connection while the silent link still exists.
func (m *Manager) wakeDialer(l *link) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if p := m.peers[l.peer]; p != nil && p.current == l {
		p.wakeUp()
	}
}

// addEvent queues an event. The caller holds Manager.mu, so that events have the order of the changes.
func (m *Manager) addEvent(name core.VMName, state core.LinkState) {
	m.events = append(m.events, core.LinkEvent{Peer: name, State: state})
}

// deliverEvents calls OnLink for the queued events. When it returns, all events that were queued before
// the call have been delivered.
func (m *Manager) deliverEvents() {
	m.deliverMu.Lock()
	defer m.deliverMu.Unlock()
	m.mu.Lock()
	events := m.events
	m.events = nil
	m.mu.Unlock()
	for _, e := range events {
		m.cfg.OnLink(e)
	}
}
