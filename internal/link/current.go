package link

import (
	"log/slog"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// setCurrent makes l the link of a peer and returns the one that it replaces. The lock is held.
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

// activate reports a new link, starts it and ends the one that it replaces. Messages that are still
// on the way over the old one are read for retireGrace, unless they come from an ended process.
func (m *Manager) activate(l, old *link) {
	m.deliverEvents()
	if old != nil {
		m.stats.replaced.Add(1)
		m.limited.Log(slog.LevelInfo, "replaced", "link replaced", "peer", l.peer)
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
	case <-l.m.ctx.Done():
	}
	l.close()
}

// linkEnded reports the loss of a link that was current and wakes the dialer.
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

// wakeDialer makes the dialer try a fresh connection next to a silent link.
func (m *Manager) wakeDialer(l *link) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if p := m.peers[l.peer]; p != nil && p.current == l {
		p.wakeUp()
	}
}

// addEvent queues an event. The lock is held, so that the order of events is that of the changes.
func (m *Manager) addEvent(name core.VMName, state core.LinkState) {
	m.events = append(m.events, core.LinkEvent{Peer: name, State: state})
}

// deliverEvents calls OnLink for all queued events; when it returns they are delivered.
func (m *Manager) deliverEvents() {
	m.delivering.Lock()
	defer m.delivering.Unlock()
	m.mu.Lock()
	events := m.events
	m.events = nil
	m.mu.Unlock()
	for _, e := range events {
		m.cfg.OnLink(e)
	}
}
