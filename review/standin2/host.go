//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// idleClose is the time after which a host closes an idle TCP connection.
	idleClose = 12 * time.Second
	// firstRetransmit is the time until the first retransmission; it doubles up to maxRetransmit.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	// maxResponseCopies is the number of retransmissions after which a host gives up.
	maxResponseCopies = 8
)

// host is a back end. It may be started again under its id.
type host struct {
	w       *world
	id      string
	number  uint64
	zone    string
	service string
	addr    netip.AddrPort

	mu        sync.Mutex
	alive     bool
	startedAt time.Time
	endedAt   time.Time
	coldUntil time.Time
	udp       *net.UDPConn
	tcp       *net.TCPListener
	stop      chan struct{}
	flows     map[flowKey]*hostFlow
	// openings are the flows that the host took while it was cold.
	openings []opening
}

// flowKey names a flow by the client's end and the route.
type flowKey struct{ client, route netip.AddrPort }

type hostFlow struct {
	nextSeq, seq, echo uint32
	open               bool
	response           *packet
}

// opening is a flow that a host took: when the client sent the packet, and when it arrived.
type opening struct{ sent, arrived time.Time }

// start starts a lifetime of the host, which is cold at first if cold is set.
func (h *host) start(cold bool) error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
	if err != nil {
		return err
	}
	tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(h.addr))
	if err != nil {
		_ = udp.Close()
		return err
	}
	h.mu.Lock()
	h.udp, h.tcp, h.alive, h.stop = udp, tcp, true, make(chan struct{})
	h.startedAt, h.flows, h.openings, h.coldUntil = time.Now(), map[flowKey]*hostFlow{}, nil, time.Time{}
	if cold {
		h.coldUntil = h.startedAt.Add(coldStart)
	}
	stop := h.stop
	h.mu.Unlock()
	go h.accept(tcp, stop)
	go h.receive(udp)
	go h.beat(stop)
	return nil
}

// kill ends the lifetime: the host loses its flows, and its machine refuses connections.
func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.alive {
		h.alive, h.endedAt = false, time.Now()
		close(h.stop)
		_ = h.udp.Close()
		_ = h.tcp.Close()
	}
}

// beat writes the host's entry at its start and every heartbeat.
func (h *host) beat(stop chan struct{}) {
	for n := 1; ; n++ {
		h.publish(n)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (h *host) publish(sequence int) {
	h.mu.Lock()
	cold, born := max(0, time.Until(h.coldUntil).Milliseconds()), h.startedAt.UnixMilli()
	h.mu.Unlock()
	// The stand-in compares entries as a whole, so the sequence stays as it is, like that of an entry that does not change.
	_ = sequence
	h.w.store.put(kindServers, h.id, map[string]any{
		"service": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "slots": hostSlots,
		"state": "ready", "coldRemainingMs": cold, "sequence": 1, "born": born,
	})
}

// accept keeps TCP connections until they have been idle for idleClose.
func (h *host) accept(l *net.TCPListener, stop chan struct{}) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = conn.SetReadDeadline(time.Now().Add(idleClose))
				_, _ = conn.Read(make([]byte, 1))
			}()
			select {
			case <-stop:
			case <-ended:
			}
		}()
	}
}

func (h *host) receive(conn *net.UDPConn) {
	b := make([]byte, maxFrame+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != h.number {
			continue
		}
		p, err := decode(b[prefixSize:n])
		if err != nil || p.sum != p.checksum() {
			h.w.broken("UNASKED", "host %s got a packet from %s that its sender did not write so", h.id, from)
			continue
		}
		h.handle(p)
	}
}

func (h *host) handle(p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.alive {
		return
	}
	key := flowKey{p.src, p.dst}
	flow := h.flows[key]
	if p.flags&flagSYN != 0 {
		if flow == nil {
			h.countOpening(p)
			flow = &hostFlow{nextSeq: p.seq + 1, seq: rand.Uint32()}
			h.flows[key] = flow
		}
		flow.echo = p.echo
		h.send(&packet{src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: flow.seq, ack: flow.nextSeq, echo: flow.echo})
		return
	}
	if flow == nil {
		if p.flags&flagRST == 0 {
			h.send(&packet{src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, echo: p.echo})
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
	if flow.response != nil && p.ack == flow.seq {
		flow.response = nil
	}
	if p.flags&(flagFIN|flagRST) != 0 {
		delete(h.flows, key)
		return
	}
	if len(p.data) > 0 && p.seq == flow.nextSeq {
		flow.nextSeq += uint32(len(p.data))
		go h.run(key, flow, string(p.data))
	}
}

// run runs a request and sends its response until it is acknowledged.
func (h *host) run(key flowKey, flow *hostFlow, request string) {
	h.w.record("ran       %s at %s", request, h.id)
	time.Sleep(workTime)
	h.mu.Lock()
	if !h.alive || h.flows[key] != flow {
		h.mu.Unlock()
		return
	}
	data := fmt.Sprintf("%-800s", "done "+request+" "+h.id)
	p := &packet{src: key.route, dst: key.client, flags: flagACK, seq: flow.seq, ack: flow.nextSeq, data: []byte(data)}
	flow.seq += uint32(len(data))
	flow.response = p
	h.mu.Unlock()
	delay := firstRetransmit
	for range maxResponseCopies + 1 {
		h.mu.Lock()
		if !h.alive || h.flows[key] != flow || flow.response != p {
			h.mu.Unlock()
			return
		}
		p.echo = flow.echo
		h.send(p)
		h.mu.Unlock()
		time.Sleep(delay)
		delay = min(2*delay, maxRetransmit)
	}
}

// send sends a packet to a client. h.mu is held.
func (h *host) send(p *packet) {
	// A packet of a host that ends is lost.
	_, _ = h.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), packetPort))
}

// undisturbed reports whether the host has lived without an impairment for the stability window.
func (h *host) undisturbed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.alive && (h.endedAt.IsZero() || time.Since(h.startedAt) > stableWindow)
}

// countOpening checks the limit of a cold host. h.mu is held.
func (h *host) countOpening(p *packet) {
	now := time.Now()
	if !now.Before(h.coldUntil) {
		return
	}
	h.openings = append(h.openings, opening{h.w.sentAt(p), now})
	for _, first := range h.openings {
		n := 0
		for _, o := range h.openings {
			if !o.sent.Before(first.sent) && o.arrived.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		if n > coldLimit {
			h.w.broken("FAILBACK", "cold host %s took %d new flows within a second, the limit is %d", h.id, n, coldLimit)
			return
		}
	}
}
