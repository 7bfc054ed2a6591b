package link

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// Manager maintains the links of an entry VM. All methods may be called from any goroutine and from the
// callbacks, except for Close, which waits for callbacks to return.
type Manager struct {
	cfg        Config
	listener   net.Listener
	limitedLog *telemetry.RateLimitedLogger
	stats      stats
	handshakes chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.RWMutex
	peers   map[core.VMName]*peer
	events  []core.LinkEvent
	closing bool

	// deliverMu is held while OnLink is called, which keeps events in order. It is separate from mu so
	// that OnLink may call the Manager's methods.
	deliverMu sync.Mutex
}

// Start opens the peer port and returns a Manager. Errors: ErrConfig, ErrListen.
func Start(cfg Config) (*Manager, error) {
	cfg = cfg.withDefaults()
	if cfg.Name == "" || cfg.Zone == "" || cfg.OnMessage == nil || cfg.OnLink == nil || !cfg.Listen.IsValid() {
		return nil, newError(ErrConfig, "VM %q", cfg.Name)
	}
	listener, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, newError(ErrListen, "%v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:        cfg,
		listener:   listener,
		limitedLog: telemetry.NewRateLimitedLogger(cfg.Log),
		handshakes: make(chan struct{}, maxHandshakes),
		ctx:        ctx,
		cancel:     cancel,
		peers:      map[core.VMName]*peer{},
	}
	if cfg.Credentials == nil {
		cfg.Log.Warn("peer links are not encrypted; create certificates with mangoweir keys and set their files under tls in the settings")
	}
	m.goroutines.Go(m.acceptLoop)
	return m, nil
}

// Addr returns the address of the peer port.
func (m *Manager) Addr() netip.AddrPort {
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Dial maintains a link to a peer until CloseLink. A further call changes the peer's address; an
// existing link is kept.
func (m *Manager) Dial(name core.VMName, addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing || name == m.cfg.Name {
		return
	}
	p := m.peers[name]
	if p == nil {
		if len(m.peers) >= maxPeers {
			m.limitedLog.Log(slog.LevelError, "peers", "peer not dialed because of too many peers", "peer", name)
			return
		}
		p = newPeer(name)
		m.peers[name] = p
	}
	changed := p.addr != addr
	p.addr = addr
	if !p.wanted {
		p.wanted = true
		ctx, cancel := context.WithCancel(m.ctx)
		p.cancel = cancel
		m.goroutines.Go(func() { m.dialLoop(ctx, p) })
		return
	}
	if changed {
		p.wakeUp()
	}
}

// CloseLink closes the link to a peer and stops dialing it. OnLink does not report this.
func (m *Manager) CloseLink(name core.VMName) {
	m.mu.Lock()
	p := m.peers[name]
	if p == nil {
		m.mu.Unlock()
		return
	}
	delete(m.peers, name)
	p.wanted = false
	p.cancel()
	current := p.current
	p.current = nil
	m.mu.Unlock()
	if current != nil {
		current.close()
	}
}

// Send queues a message for a peer and returns whether it was queued. It never blocks. A queued
// message is lost when the link ends before the message is sent.
func (m *Manager) Send(name core.VMName, msg core.Message) bool {
	m.mu.RLock()
	var current *link
	if p := m.peers[name]; p != nil && !m.closing {
		current = p.current
	}
	m.mu.RUnlock()
	if current == nil {
		m.stats.noLink.Add(1)
		return false
	}
	return current.send(msg)
}

// Stats returns the counts since Start.
func (m *Manager) Stats() Stats {
	return m.stats.snapshot(len(m.links()))
}

// links returns the links that are up.
func (m *Manager) links() []*link {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var all []*link
	for _, p := range m.peers {
		if p.current != nil {
			all = append(all, p.current)
		}
	}
	return all
}

// closeWait bounds each of the two waits of Close: first until queued messages are sent, then until peers
// have read them.
const closeWait = 250 * time.Millisecond

// Close sends the queued messages, closes all links and the peer port, and waits for all goroutines.
// Afterwards the dials of peers are refused, which they treat as the end of this VM's process. Close must
// therefore be the last step before the process ends.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closing = true
	m.mu.Unlock()
	m.cancel()
	_ = m.listener.Close()
	links := m.links()
	waitUntil(closeWait, links, (*link).flushed)
	for _, l := range links {
		l.closeStreams()
	}
	waitUntil(closeWait, links, (*link).isClosed)
	for _, l := range links {
		l.close()
	}
	m.goroutines.Wait()
}

// waitUntil waits until done is true for all links that are not closed, at most for d.
func waitUntil(d time.Duration, links []*link, done func(*link) bool) {
	const step = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		all := true
		for _, l := range links {
			all = all && (done(l) || l.isClosed())
		}
		if all {
			return
		}
	}
}
