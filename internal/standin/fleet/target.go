package fleet

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"
)

// idleTimeout is the time after which a target closes an idle TCP connection, as in the site files.
const idleTimeout = 12 * time.Second

// Target is a target: a process at an address, which may be started again.
type Target struct {
	fleet     *Fleet
	ID        string
	Zone      string
	Service   string
	addr      netip.AddrPort
	numericID uint64

	mu          sync.Mutex
	conn        *net.UDPConn
	tcp         *net.TCPListener
	startMillis int64
	flows       map[netip.AddrPort]*targetFlow
	// drainingAt is when the store acknowledged that the target drains, zero before.
	drainingAt    time.Time
	coldUntil     time.Time
	coldFlowTimes []time.Time
	alive         bool
	// lastFault is when the target was last killed.
	lastFault time.Time
	// fullUntil is the time until which the target is full, see SetFull.
	fullUntil time.Time
	stop      chan struct{}
}

// targetFlow is a target's state of a flow. Target.flows contains it by the client's address and port.
type targetFlow struct {
	dst       netip.AddrPort
	clientSeq uint32 // next expected
	seq       uint32 // next to send
	token     uint32
	open      bool
	// answered is true when the target has answered a request of the flow.
	answered bool
	response *packet
}

// Start starts an incarnation of the target. It is cold for ColdStart if cold is set.
func (t *Target) Start(cold bool) error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.addr))
	if err != nil {
		return err
	}
	tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(t.addr))
	if err != nil {
		_ = udp.Close()
		return err
	}
	t.mu.Lock()
	t.conn, t.tcp, t.alive, t.stop = udp, tcp, true, make(chan struct{})
	t.flows = map[netip.AddrPort]*targetFlow{}
	t.startMillis = time.Now().UnixMilli()
	t.drainingAt, t.coldFlowTimes, t.coldUntil, t.fullUntil = time.Time{}, nil, time.Time{}, time.Time{}
	if cold {
		t.coldUntil = time.Now().Add(ColdStart)
	}
	stop := t.stop
	t.mu.Unlock()
	go t.accept(tcp, stop)
	go t.receive(udp)
	go t.sendHeartbeats(stop)
	return nil
}

// Kill ends the incarnation without a drain.
func (t *Target) Kill() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	t.alive = false
	t.lastFault = time.Now()
	close(t.stop)
	_ = t.conn.Close()
	_ = t.tcp.Close()
}

// Drain writes to the store that the target drains. The target runs until Leave is called, which should be
// more than DrainBound later.
func (t *Target) Drain() {
	t.mu.Lock()
	if !t.alive || !t.drainingAt.IsZero() {
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	t.publish(true)
	t.mu.Lock()
	t.drainingAt = time.Now()
	t.mu.Unlock()
}

// Leave ends a drained target and removes its entry.
func (t *Target) Leave() {
	t.Kill()
	t.fleet.Store.Remove(kindTargets, t.ID)
}

// Alive reports whether the target runs.
func (t *Target) Alive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive
}

// accept accepts TCP connections and keeps each until it has been idle for idleTimeout or the incarnation
// ends. It resets them while the target is full.
func (t *Target) accept(l *net.TCPListener, stop chan struct{}) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return
		}
		if t.full() {
			_ = conn.SetLinger(0)
			_ = conn.Close()
			continue
		}
		go func() {
			defer conn.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
				// Clients send no data on the connection.
				_, _ = conn.Read(make([]byte, 1))
			}()
			select {
			case <-stop:
			case <-ended:
			}
		}()
	}
}

// sendHeartbeats renews the target's entry until the incarnation ends.
func (t *Target) sendHeartbeats(stop chan struct{}) {
	for {
		t.mu.Lock()
		draining := !t.drainingAt.IsZero()
		t.mu.Unlock()
		t.publish(draining)
		select {
		case <-stop:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// publish writes and renews the target's entry. The store ignores a write of an unchanged entry.
func (t *Target) publish(draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	t.mu.Lock()
	cold := max(0, time.Until(t.coldUntil).Milliseconds())
	startMillis := t.startMillis
	t.mu.Unlock()
	t.fleet.Store.Put(kindTargets, t.ID, map[string]any{
		"service": t.Service, "address": t.addr.String(), "zone": t.Zone, "version": "v1", "slots": 4,
		"state": state, "coldRemainingMs": cold, "sequence": 1, "born": startMillis,
	})
	t.fleet.Store.Renew(t.ID, time.Now().Add(3*Heartbeat))
}

// WriteForeignEntry writes an entry of another writer with the target's address, of a service that no configuration has, under a
// name, which may be the target's id.
func (t *Target) WriteForeignEntry(name string) {
	t.fleet.Store.Put(kindTargets, name, map[string]any{
		"service": "sidecar", "address": t.addr.String(), "zone": t.Zone, "version": "v1", "slots": 4,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().Add(time.Hour).UnixMilli(),
	})
}

func (t *Target) receive(conn *net.UDPConn) {
	b := make([]byte, maxFrame+1)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixSize || binary.BigEndian.Uint64(b) != 0 && binary.BigEndian.Uint64(b) != t.numericID {
			continue
		}
		p, err := decode(append([]byte(nil), b[prefixSize:n]...))
		if err != nil {
			t.fleet.Checker.addViolation("UNASKED", "target %s received %d bytes that are not a packet", t.ID, n)
			continue
		}
		if p.sum != p.checksum() {
			t.fleet.Checker.addViolation("UNASKED", "target %s received a corrupted or forged packet", t.ID)
			continue
		}
		t.handle(p)
	}
}

// handle handles a packet of a client.
func (t *Target) handle(p *packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive {
		return
	}
	flow := t.flows[p.src]
	if p.flags&flagSYN != 0 {
		if flow == nil {
			t.checkNewFlow(p)
			flow = &targetFlow{dst: p.dst, clientSeq: p.seq + 1, seq: uint32(time.Now().UnixNano())}
			t.flows[p.src] = flow
		}
		flow.token = p.token
		t.send(&packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: flow.seq, ack: flow.clientSeq, token: flow.token})
		return
	}
	if flow == nil {
		if p.flags&flagRST == 0 {
			t.send(&packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, token: p.token})
		}
		return
	}
	flow.token = p.token
	if !flow.open {
		if p.ack != flow.seq+1 {
			return
		}
		flow.open = true
		flow.seq++
	}
	if flow.response != nil && p.ack == flow.seq {
		flow.response = nil
	}
	if p.flags&(flagFIN|flagRST) != 0 {
		delete(t.flows, p.src)
		return
	}
	if len(p.data) > 0 && p.seq == flow.clientSeq {
		flow.clientSeq += uint32(len(p.data))
		t.handleRequest(p.src, flow, string(p.data))
	}
}

// send sends a packet directly to a client. t.mu is held.
func (t *Target) send(p *packet) {
	to := netip.AddrPortFrom(p.dst.Addr(), PacketPort)
	// The error is ignored: packets of a target that has ended are lost.
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), to)
}

// checkNewFlow checks the rules for a new flow. t.mu is held.
func (t *Target) checkNewFlow(p *packet) {
	now := time.Now()
	stable := t.fleet.Checker.stableAt(now)
	if !t.drainingAt.IsZero() && stable && now.Sub(t.drainingAt) > DrainBound+tolerance {
		t.fleet.Checker.addViolation("DRAIN", "target %s received a new flow %s after the store acknowledged that it drains", t.ID, now.Sub(t.drainingAt))
	}
	if out, ok := t.fleet.zoneOutAt(t.Zone); ok && stable && now.Sub(out) > EvacuateBound+tolerance {
		t.fleet.Checker.addViolation("EVAC", "target %s received a new flow %s after its zone was taken out", t.ID, now.Sub(out))
	}
	if dropped, ok := t.fleet.droppedAt(p.dst); ok && stable && now.Sub(dropped) > ConfigBound+tolerance {
		t.fleet.Checker.addViolation("CONFIG", "target %s received a new flow of a route that was dropped %s before", t.ID, now.Sub(dropped))
	}
	if now.After(t.coldUntil) {
		return
	}
	t.coldFlowTimes = append(t.coldFlowTimes, now)
	n := 0
	for _, at := range t.coldFlowTimes {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if n > ColdLimit {
		t.fleet.Checker.addViolation("FAILBACK", "cold target %s received %d new flows within a second", t.ID, n)
	}
}
