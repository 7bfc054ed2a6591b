package fleet

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// firstRepeat is the time after which an unacknowledged packet is repeated; it doubles up to
	// lastRepeat.
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	// hostRepeats is how often a host repeats a response.
	hostRepeats = 8
	// idleClose is the time after which a host closes an idle TCP connection (12 s in the site files).
	idleClose = 12 * time.Second
	// hostWork is the time that a request takes.
	hostWork = 15 * time.Millisecond
)

// Target is a target: one process on one address, which may start again.
type Target struct {
	fleet   *Fleet
	ID      string
	Zone    string
	Service string
	addr    netip.AddrPort
	number  uint64

	mu    sync.Mutex
	conn  *net.UDPConn
	tcp   net.Listener
	born  int64
	flows map[netip.AddrPort]*hostFlow
	// drainingAt is when the store acknowledged that the host drains, zero before.
	drainingAt time.Time
	coldUntil  time.Time
	coldTimes  []time.Time
	alive      bool
	// disturbed is the end of the host's last own fault.
	disturbed time.Time
	stop      chan struct{}
}

// hostFlow is one flow at a host, by the client's end.
type hostFlow struct {
	dst       netip.AddrPort
	clientSeq uint32 // next expected
	seq       uint32 // next to send
	echo      uint32
	open      bool
	response  *packet
}

// Start begins a lifetime. A host that starts after the fleet is cold for a while.
func (h *Target) Start(cold bool) error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp4", h.addr.String())
	if err != nil {
		_ = udp.Close()
		return err
	}
	h.mu.Lock()
	h.conn, h.tcp, h.alive, h.stop = udp, tcp, true, make(chan struct{})
	h.flows = map[netip.AddrPort]*hostFlow{}
	h.born = time.Now().UnixMilli()
	h.drainingAt, h.coldTimes, h.coldUntil = time.Time{}, nil, time.Time{}
	if cold {
		h.coldUntil = time.Now().Add(ColdStart)
	}
	stop := h.stop
	h.mu.Unlock()
	go h.accept(tcp, stop)
	go h.receive(udp)
	go h.heartbeats(stop)
	return nil
}

// Kill ends the lifetime without a word.
func (h *Target) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.alive {
		return
	}
	h.alive = false
	h.disturbed = time.Now()
	close(h.stop)
	_ = h.conn.Close()
	_ = h.tcp.Close()
}

// Drain announces that the host leaves. After DrainBound and a little more it exits.
func (h *Target) Drain() {
	h.mu.Lock()
	if !h.alive || !h.drainingAt.IsZero() {
		h.mu.Unlock()
		return
	}
	h.mu.Unlock()
	h.publish(true)
	h.mu.Lock()
	h.drainingAt = time.Now()
	h.mu.Unlock()
}

// Leave ends a drained host and removes its entry.
func (h *Target) Leave() {
	h.Kill()
	h.fleet.Store.Remove(kindTargets, h.ID)
}

// Alive reports whether the host runs.
func (h *Target) Alive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alive
}

// accept holds connections until they have been idle for idleClose, or the lifetime ends.
func (h *Target) accept(l net.Listener, stop chan struct{}) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = c.SetReadDeadline(time.Now().Add(idleClose))
				// Nothing is expected on the connection but its end.
				_, _ = c.Read(make([]byte, 1))
			}()
			select {
			case <-stop:
			case <-ended:
			}
		}()
	}
}

// heartbeats renews the host's entry.
func (h *Target) heartbeats(stop chan struct{}) {
	for {
		h.mu.Lock()
		draining := !h.drainingAt.IsZero()
		h.mu.Unlock()
		h.publish(draining)
		select {
		case <-stop:
			return
		case <-time.After(Heartbeat):
		}
	}
}

// publish writes the host's entry; an unchanged one changes nothing in the store.
func (h *Target) publish(draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	h.mu.Lock()
	cold := max(0, time.Until(h.coldUntil).Milliseconds())
	born := h.born
	h.mu.Unlock()
	h.fleet.Store.Put(kindTargets, h.ID, map[string]any{
		"service": h.Service, "address": h.addr.String(), "zone": h.Zone, "version": "v1", "slots": 4,
		"state": state, "coldRemainingMs": cold, "sequence": 1, "born": born,
	})
	h.fleet.Store.Renew(h.ID, time.Now().Add(3*Heartbeat))
}

func (h *Target) receive(conn *net.UDPConn) {
	b := make([]byte, maxFrame+1)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixSize || binary.BigEndian.Uint64(b) != 0 && binary.BigEndian.Uint64(b) != h.number {
			continue
		}
		p, err := decode(append([]byte(nil), b[prefixSize:n]...))
		if err != nil {
			h.fleet.Checker.note("UNASKED", "host %s got %d bytes that are no packet", h.ID, n)
			continue
		}
		if p.sum != p.checksum() {
			h.fleet.Checker.note("UNASKED", "host %s got a packet that its sender did not write so", h.ID)
			continue
		}
		h.handle(p)
	}
}

// handle answers one packet of a client.
func (h *Target) handle(p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.alive {
		return
	}
	f := h.flows[p.src]
	if p.flags&flagSYN != 0 {
		if f == nil {
			h.checkOpening(p)
			f = &hostFlow{dst: p.dst, clientSeq: p.seq + 1, seq: uint32(time.Now().UnixNano())}
			h.flows[p.src] = f
		}
		f.echo = p.echo
		h.send(&packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.seq, ack: f.clientSeq, echo: f.echo})
		return
	}
	if f == nil {
		if p.flags&flagRST == 0 {
			h.send(&packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, echo: p.echo})
		}
		return
	}
	f.echo = p.echo
	if !f.open {
		if p.ack != f.seq+1 {
			return
		}
		f.open = true
		f.seq++
	}
	if f.response != nil && p.ack == f.seq {
		f.response = nil
	}
	if p.flags&(flagFIN|flagRST) != 0 {
		delete(h.flows, p.src)
		return
	}
	if len(p.data) > 0 && p.seq == f.clientSeq {
		f.clientSeq += uint32(len(p.data))
		go h.work(p.src, f, string(p.data))
	}
}

// work runs a request and sends its response.
func (h *Target) work(client netip.AddrPort, f *hostFlow, request string) {
	var id, kind, service string
	if n, err := fmt.Sscanf(request, "%s %s %s", &id, &kind, &service); n != 3 || err != nil {
		h.fleet.Checker.note("UNASKED", "host %s got the request %q", h.ID, request)
		return
	}
	if service != h.Service {
		h.fleet.Checker.note("ROUTE", "request %s for %s ran at %s of %s", id, service, h.ID, h.Service)
	}
	h.fleet.Checker.ran(id, h.ID, kind == kindSafe)
	time.Sleep(hostWork)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.alive || h.flows[client] != f {
		return
	}
	data := strings.Join([]string{"done", id, h.ID}, " ")
	p := &packet{src: f.dst, dst: client, flags: flagACK, seq: f.seq, ack: f.clientSeq, echo: f.echo, data: []byte(data)}
	f.seq += uint32(len(data))
	f.response = p
	go h.repeat(client, f, p)
}

// repeat sends a response until it is acknowledged.
func (h *Target) repeat(client netip.AddrPort, f *hostFlow, p *packet) {
	wait := firstRepeat
	for range hostRepeats {
		h.mu.Lock()
		if !h.alive || f.response != p || h.flows[client] != f {
			h.mu.Unlock()
			return
		}
		p.echo = f.echo
		h.send(p)
		h.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, lastRepeat)
	}
}

// send sends a packet to a client directly. h.mu is held.
func (h *Target) send(p *packet) {
	to := netip.AddrPortFrom(p.dst.Addr(), PacketPort)
	// A host that has ended loses what it sends.
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), to)
}

// checkOpening checks the rules for a new flow. h.mu is held.
func (h *Target) checkOpening(p *packet) {
	now := time.Now()
	calm := h.fleet.Checker.calmSince(now)
	if !h.drainingAt.IsZero() && calm && now.Sub(h.drainingAt) > DrainBound+slack {
		h.fleet.Checker.note("DRAIN", "host %s got a flow %s after it said that it drains", h.ID, now.Sub(h.drainingAt))
	}
	if out, ok := h.fleet.zoneOutSince(h.Zone); ok && calm && now.Sub(out) > EvacuateBound+slack {
		h.fleet.Checker.note("EVAC", "host %s got a flow %s after its zone was taken out", h.ID, now.Sub(out))
	}
	if dropped, ok := h.fleet.droppedSince(p.dst); ok && calm && now.Sub(dropped) > ConfigBound+slack {
		h.fleet.Checker.note("CONFIG", "host %s got a flow of a route that was dropped %s before", h.ID, now.Sub(dropped))
	}
	if now.After(h.coldUntil) {
		return
	}
	h.coldTimes = append(h.coldTimes, now)
	n := 0
	for _, at := range h.coldTimes {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	if n > ColdLimit {
		h.fleet.Checker.note("FAILBACK", "cold host %s got %d flows within a second", h.ID, n)
	}
}
