//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	openTimeout     = 1400 * time.Millisecond
)

// client is a client of a zone with an address of its own. Each of its flows has a new port.
type client struct {
	d    *deployment
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
}

// clientFlow is a client's state of a flow.
type clientFlow struct {
	c            *client
	local, route netip.AddrPort
	seq, ack     uint32
	echo         uint32
	packets      chan *packet
	// openedAt is the time of the end of the handshake, lastPacket that of the last packet of either end.
	openedAt, lastPacket time.Time
	// host is the host that answered the last request.
	host string
	// reset is set by the first reset: "system" or "host".
	reset string
}

func (d *deployment) newClient(zone string, n int) (*client, error) {
	c := &client{d: d, zone: zone, addr: d.address(60, n), port: 40000, flows: map[uint16]*clientFlow{}}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, packetPort)))
	if err != nil {
		return nil, err
	}
	d.onClose(func() { _ = c.conn.Close() })
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	b := make([]byte, maxFrame)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := decodePacket(append([]byte(nil), b[:n]...))
		if err != nil || !p.systemReset() && p.sum != p.checksum() {
			c.d.violation("MIXED", "client %s got a packet that its sender did not write", c.addr)
			continue
		}
		c.mu.Lock()
		flow := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if flow == nil || p.src != flow.route {
			continue
		}
		select {
		case flow.packets <- p:
		default:
		}
	}
}

// open opens a flow to a route. It returns nil if the flow did not open.
func (c *client) open(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	c.port++
	flow := &clientFlow{
		c: c, local: netip.AddrPortFrom(c.addr, c.port), route: route, seq: rand.Uint32(), packets: make(chan *packet, 64),
	}
	c.flows[c.port] = flow
	c.mu.Unlock()
	start := time.Now()
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		flow.ack = uint32(copies)
		flow.send(flagSYN, nil)
		for {
			p := flow.next(time.Until(start.Add(until)))
			if p == nil {
				break
			}
			if p.flags&flagRST != 0 {
				return nil
			}
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
				flow.echo, flow.ack = p.echo, p.seq+1
				flow.seq++
				flow.openedAt = time.Now()
				flow.send(flagACK, nil)
				return flow
			}
		}
	}
	return nil
}

func (f *clientFlow) send(flags byte, data []byte) {
	f.lastPacket = time.Now()
	p := &packet{src: f.local, dst: f.route, seq: f.seq, ack: f.ack, echo: f.echo, flags: flags, data: data}
	f.c.d.router.forward(f.c.zone, p.encode())
}

func (f *clientFlow) next(wait time.Duration) *packet {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p := <-f.packets:
		return p
	case <-timer.C:
		return nil
	}
}

// request sends a request and reports whether it was answered with success before the deadline.
func (f *clientFlow) request(id string, workMS int, deadline time.Duration) bool {
	data := fmt.Appendf(nil, "POST /upload HTTP/1.1\r\nHost: review\r\nRequest-Id: %s\r\nWork-Ms: %d\r\nContent-Length: 0\r\n\r\n", id, workMS)
	end := time.Now().Add(deadline)
	delay := firstRetransmit
	for time.Now().Before(end) {
		f.send(flagACK, data)
		retransmit := time.Now().Add(delay)
		if retransmit.After(end) {
			retransmit = end
		}
		delay = min(2*delay, maxRetransmit)
		for {
			p := f.next(time.Until(retransmit))
			if p == nil {
				break
			}
			if p.flags&flagRST != 0 {
				if p.systemReset() {
					if int32(p.seq-f.ack) > 76800 || int32(p.seq-f.ack) < -76800 {
						continue
					}
					f.reset = "system"
				} else {
					f.reset = "host"
				}
				return false
			}
			f.echo, f.lastPacket = p.echo, time.Now()
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			text := string(p.data)
			if !strings.HasPrefix(text, "HTTP/1.1 200 OK") || !strings.Contains(text, "Request-Id: "+id+"\r\n") {
				f.c.d.violation("MIXED", "request %s got an answer that is not its own", id)
				return false
			}
			f.host = text[strings.LastIndex(text, " ")+1:]
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.data))
			f.send(flagACK, nil)
			return true
		}
	}
	return false
}
