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
	// secondSYN, thirdSYN and openTimeout are the times after a client's first SYN of its copies and of the end of the attempt.
	secondSYN   = 200 * time.Millisecond
	thirdSYN    = 600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
	// deadline is the deadline of a request.
	deadline = 4 * time.Second
)

// client is a client with an address of its own, which may have several flows.
type client struct {
	w       *world
	name    string
	addr    netip.Addr
	zone    string
	service string
	conn    *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan received
}

// received is a packet with the address that it came from.
type received struct {
	p    *packet
	from netip.AddrPort
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	local, route   netip.AddrPort
	seq, ack, echo uint32
	packets        chan received
	host           *host
	openedAt       time.Time
}

// outcome is the outcome of a request.
type outcome string

const (
	answered outcome = "answered"
	refused  outcome = "refused"
	cut      outcome = "cut"
	late     outcome = "late"
)

func (c *client) receive() {
	b := make([]byte, maxFrame)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := decode(b[:n])
		if err != nil || p.sum != p.checksum() && !(p.flags&flagRST != 0 && p.sum == 0) {
			c.w.broken("MIXED", "client %s got a packet from %s that its sender did not write so", c.name, from)
			continue
		}
		c.mu.Lock()
		packets := c.flows[p.dst.Port()]
		c.mu.Unlock()
		select {
		case packets <- received{p, from}:
		default:
		}
	}
}

// newFlow returns a flow that is not open yet, on the route of the client's service.
func (c *client) newFlow() *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{
		local: netip.AddrPortFrom(c.addr, 20000+c.port), route: c.w.route(c.service), seq: rand.Uint32(), packets: make(chan received, 32),
	}
	c.flows[f.local.Port()] = f.packets
	return f
}

func (c *client) forget(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.local.Port())
}

func (c *client) send(f *clientFlow, flags byte, data []byte) {
	p := &packet{src: f.local, dst: f.route, seq: f.seq, ack: f.ack, echo: f.echo, flags: flags, data: data}
	c.w.noteSYN(p)
	c.w.router.forward(c.zone, p.encode())
}

// open opens a flow and reports whether it is open.
func (c *client) open(f *clientFlow) bool {
	start := time.Now()
	for copies, until := range []time.Duration{secondSYN, thirdSYN, openTimeout} {
		f.ack = uint32(copies)
		c.send(f, flagSYN, nil)
		for {
			r, ok := next(f.packets, time.Until(start.Add(until)))
			if !ok {
				break
			}
			switch {
			case r.p.flags&flagRST != 0:
				return false
			case r.p.flags&(flagSYN|flagACK) == flagSYN|flagACK:
				f.echo, f.ack, f.host, f.openedAt = r.p.echo, r.p.seq+1, c.w.hostAt(r.from), time.Now()
				f.seq++
				c.send(f, flagACK, nil)
				return true
			}
		}
	}
	return false
}

// request sends a request on an open flow and waits for its response.
func (c *client) request(f *clientFlow, id string) outcome {
	end := time.Now().Add(deadline)
	data := []byte(id)
	delay := firstRetransmit
	for time.Now().Before(end) {
		c.send(f, flagACK, data)
		again := time.Now().Add(delay)
		delay = min(2*delay, maxRetransmit)
		for {
			r, ok := next(f.packets, time.Until(again))
			if !ok {
				break
			}
			switch {
			case r.p.flags&flagRST != 0:
				c.checkReset(f, r, id)
				return cut
			case r.p.flags&flagSYN != 0 || r.p.seq != f.ack || len(r.p.data) == 0:
				continue
			}
			f.echo = r.p.echo
			words := strings.Fields(string(r.p.data))
			if len(words) != 3 || words[0] != "done" || words[1] != id {
				c.w.broken("MIXED", "request %s got the answer %q", id, words)
				return cut
			}
			f.seq += uint32(len(data))
			f.ack += uint32(len(r.p.data))
			c.send(f, flagACK, nil)
			return answered
		}
	}
	return late
}

// checkReset checks a reset on an open flow. One with a sum is the host's own.
func (c *client) checkReset(f *clientFlow, r received, id string) {
	if r.p.sum != 0 {
		c.w.record("reset     flow %s of %s by host, request %s", f.local, c.name, id)
		return
	}
	detail := fmt.Sprintf("flow %s of %s, open for %.1f s at host %s, got a reset from machine %s while request %s waited",
		f.local, c.name, time.Since(f.openedAt).Seconds(), f.host.id, c.w.vmAt(r.from), id)
	if f.host.undisturbed() && c.w.hasRoute(f.route) {
		c.w.broken("FLOW", "%s", detail)
		return
	}
	c.w.record("reset     %s", detail)
}

// hold keeps a flow open and sends a request on it from time to time, and opens another flow when it has lost that.
func (c *client) hold(stop <-chan struct{}, pause time.Duration) {
	var f *clientFlow
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		if f == nil {
			f = c.newFlow()
			if !c.open(f) {
				c.forget(f)
				f = nil
				c.w.count(refused)
				continue
			}
		}
		if !c.exchange(f, fmt.Sprintf("%s-%d", c.name, n)) {
			c.forget(f)
			f = nil
		}
	}
}

// exchange sends one request on an open flow, records it and reports whether it was answered.
func (c *client) exchange(f *clientFlow, id string) bool {
	c.w.record("sent      %s on flow %s to host %s", id, f.local, f.host.id)
	result := c.request(f, id)
	c.w.record("%-9s %s", result, id)
	c.w.count(result)
	return result == answered
}

// openOnce opens a flow for one request.
func (c *client) openOnce(id string) {
	f := c.newFlow()
	defer c.forget(f)
	if !c.open(f) {
		c.w.count(refused)
		return
	}
	if c.exchange(f, id) {
		c.send(f, flagFIN|flagACK, nil)
	}
}

// visit opens a flow for one request from time to time.
func (c *client) visit(stop <-chan struct{}, pause time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		c.openOnce(fmt.Sprintf("%s-%d", c.name, n))
	}
}

// next returns the next packet; ok is false if none arrives in time.
func next(in <-chan received, d time.Duration) (r received, ok bool) {
	if d <= 0 {
		return r, false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case r = <-in:
		return r, true
	case <-t.C:
		return r, false
	}
}
