//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"regexp"
	"sync"
	"time"
)

// idleClose is the time after which a host closes an idle TCP connection, as in the site file (idle_close_ms).
const idleClose = 12 * time.Second

// host is a host of a service. It can be started again under its id.
type host struct {
	d         *deployment
	id        string
	numericID uint64
	zone      string
	service   string
	addr      netip.AddrPort

	mu   sync.Mutex
	life *lifetime
	// cut is true while the machines cannot reach the host: packets are dropped, and TCP connections are reset and
	// refused. The host runs on.
	cut bool
	// coldUntil is the end of the cold start.
	coldUntil time.Time
	// opened are the arrivals of opening packets since the host became cold.
	opened []time.Time
}

// lifetime is one run of a host's process.
type lifetime struct {
	udp   *net.UDPConn
	born  int64
	stop  chan struct{}
	flows map[flowKey]*hostFlow

	tcpMu sync.Mutex
	tcp   net.Listener
	conns map[*net.TCPConn]struct{}
}

type flowKey struct{ client, route netip.AddrPort }

// hostFlow is a host's state of a flow.
type hostFlow struct {
	seq, next uint32 // next to send, next expected
	echo      uint32
	open      bool
	unacked   *packet
}

// start starts a lifetime. The first check-in is written after the given delay, the next ones every heartbeat.
func (h *host) start(firstCheckIn time.Duration, cold time.Duration) error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
	if err != nil {
		return err
	}
	life := &lifetime{
		udp: udp, born: time.Now().UnixMilli(), stop: make(chan struct{}), flows: map[flowKey]*hostFlow{}, conns: map[*net.TCPConn]struct{}{},
	}
	h.mu.Lock()
	h.life, h.opened, h.coldUntil = life, nil, time.Time{}
	if cold > 0 {
		h.coldUntil = time.Now().Add(cold)
	}
	h.mu.Unlock()
	if err := h.listen(life); err != nil {
		_ = udp.Close()
		return err
	}
	go h.receive(life)
	go h.checkIn(life, firstCheckIn)
	return nil
}

// listen accepts TCP connections, which only serve health checks. Idle ones are closed after idleClose.
func (h *host) listen(life *lifetime) error {
	listener, err := net.Listen("tcp4", h.addr.String())
	if err != nil {
		return err
	}
	life.tcpMu.Lock()
	life.tcp = listener
	life.tcpMu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tcp := conn.(*net.TCPConn)
			life.tcpMu.Lock()
			life.conns[tcp] = struct{}{}
			life.tcpMu.Unlock()
			go func() {
				_ = tcp.SetReadDeadline(time.Now().Add(idleClose))
				if n, _ := tcp.Read(make([]byte, 1024)); n > 0 {
					_, _ = tcp.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
				}
				life.tcpMu.Lock()
				delete(life.conns, tcp)
				life.tcpMu.Unlock()
				_ = tcp.Close()
			}()
		}
	}()
	return nil
}

// closeTCP closes the listener and resets all connections.
func (life *lifetime) closeTCP() {
	life.tcpMu.Lock()
	defer life.tcpMu.Unlock()
	_ = life.tcp.Close()
	for conn := range life.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// crash ends the process. Its flows are lost, and it writes nothing to the store.
func (h *host) crash() {
	h.mu.Lock()
	life := h.life
	h.life = nil
	h.mu.Unlock()
	if life != nil {
		close(life.stop)
		_ = life.udp.Close()
		life.closeTCP()
	}
}

// setCut cuts the host off from all machines, with resets and refusals, or ends that.
func (h *host) setCut(cut bool) error {
	h.mu.Lock()
	h.cut = cut
	life := h.life
	h.mu.Unlock()
	if cut {
		life.closeTCP()
		return nil
	}
	return h.listen(life)
}

// checkIn writes the host's entry until the lifetime ends.
func (h *host) checkIn(life *lifetime, delay time.Duration) {
	for sequence := 1; ; sequence++ {
		select {
		case <-life.stop:
			return
		case <-time.After(delay):
		}
		delay = heartbeat
		h.mu.Lock()
		cold := max(0, time.Until(h.coldUntil).Milliseconds())
		h.mu.Unlock()
		h.d.store.Put("servers", h.id, map[string]any{
			"service": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "slots": 2, "state": "ready",
			"coldRemainingMs": cold, "sequence": 1, "born": life.born,
		})
		if sequence == 1 {
			h.d.record.add("host %s (%s, %s) checked in, born %d, cold for %d ms", h.id, h.service, h.zone, life.born, cold)
		}
	}
}

func (h *host) receive(life *lifetime) {
	b := make([]byte, maxFrame+1)
	for {
		n, _, err := life.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != h.numericID {
			continue
		}
		p, err := decodePacket(append([]byte(nil), b[prefixSize:n]...))
		if err != nil || p.sum != p.checksum() {
			h.d.violation("UNASKED", "host %s got a packet that its sender did not write", h.id)
			continue
		}
		h.mu.Lock()
		if !h.cut && h.life == life {
			h.handle(life, p)
		}
		h.mu.Unlock()
	}
}

// handle handles a packet of a client. h.mu is held.
func (h *host) handle(life *lifetime, p *packet) {
	key := flowKey{p.src, p.dst}
	flow := life.flows[key]
	if p.flags&flagSYN != 0 {
		if flow == nil {
			flow = &hostFlow{seq: rand.Uint32(), next: p.seq + 1}
			life.flows[key] = flow
			h.recordOpening()
		}
		flow.echo = p.echo
		h.send(life, &packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: flow.seq, ack: flow.next, echo: flow.echo})
		return
	}
	if flow == nil {
		if p.flags&flagRST == 0 {
			h.send(life, &packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, echo: p.echo})
		}
		return
	}
	flow.echo = p.echo
	if !flow.open {
		if p.ack != flow.seq+1 {
			return
		}
		flow.open = true
		flow.seq++
	}
	if flow.unacked != nil && p.ack == flow.seq {
		flow.unacked = nil
	}
	switch {
	case p.flags&flagRST != 0:
		delete(life.flows, key)
	case p.flags&flagFIN != 0:
		h.send(life, &packet{src: p.dst, dst: p.src, flags: flagFIN | flagACK, seq: flow.seq, ack: p.seq + 1, echo: flow.echo})
		delete(life.flows, key)
	case len(p.data) > 0 && p.seq == flow.next:
		flow.next += uint32(len(p.data))
		go h.run(life, key, flow, string(p.data))
	}
}

// recordOpening records the arrival of an opening packet while the host is cold. h.mu is held.
func (h *host) recordOpening() {
	now := time.Now()
	if now.After(h.coldUntil) {
		return
	}
	h.opened = append(h.opened, now)
	n := 0
	for _, at := range h.opened {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	h.d.recordCold(h, n)
}

var requestID = regexp.MustCompile(`(?m)^Request-Id: (\S+)\r?$`)
var requestWork = regexp.MustCompile(`(?m)^Work-Ms: (\d+)\r?$`)

// run runs a request and answers it.
func (h *host) run(life *lifetime, key flowKey, flow *hostFlow, request string) {
	id, work := "?", 15
	if m := requestID.FindStringSubmatch(request); m != nil {
		id = m[1]
	}
	if m := requestWork.FindStringSubmatch(request); m != nil {
		_, _ = fmt.Sscan(m[1], &work)
	}
	h.d.record.add("host %s runs request %s", h.id, id)
	time.Sleep(time.Duration(work) * time.Millisecond)
	body := "done by " + h.id
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	h.mu.Lock()
	if h.life != life || life.flows[key] != flow {
		h.mu.Unlock()
		return
	}
	p := &packet{src: key.route, dst: key.client, flags: flagACK, seq: flow.seq, ack: flow.next, data: []byte(data)}
	flow.seq += uint32(len(data))
	flow.unacked = p
	h.mu.Unlock()
	delay := firstRetransmit
	for range 9 {
		h.mu.Lock()
		if h.life != life || life.flows[key] != flow || flow.unacked != p {
			h.mu.Unlock()
			return
		}
		p.echo = flow.echo
		h.send(life, p)
		h.mu.Unlock()
		time.Sleep(delay)
		delay = min(2*delay, maxRetransmit)
	}
}

// send sends a packet directly to a client. h.mu is held.
func (h *host) send(life *lifetime, p *packet) {
	if h.cut {
		return
	}
	// The client's port number is that of datagramAddr. Packets of a host that has ended are lost.
	_, _ = life.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), packetPort))
}
