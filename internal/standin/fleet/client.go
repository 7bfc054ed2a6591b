package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Kinds of requests.
const (
	kindSafe   = "safe"
	kindUnsafe = "unsafe"
)

const (
	// synCopies are the times after a SYN at which copies follow, giveUp when the attempt ends.
	synCopy1 = 200 * time.Millisecond
	synCopy2 = 600 * time.Millisecond
	giveUp   = 1400 * time.Millisecond
	// Deadline is the time that a request may take in all.
	Deadline = 4 * time.Second
	// pauseBetween is the mean pause between two requests of a client.
	pauseBetween = 60 * time.Millisecond
	// flowRequests is the number of requests that a client sends on a long flow at the most.
	flowRequests = 60
)

// client is a client with an address of its own. It keeps a flow open for many requests, or opens one for
// each request.
type client struct {
	fleet   *Fleet
	addr    netip.Addr
	zone    string
	kind    string
	service string
	conn    *net.UDPConn
	port    uint16
	number  int

	mu sync.Mutex
	// current is the flow in use.
	current *clientFlow
}

// clientFlow is one flow at a client.
type clientFlow struct {
	local, route netip.AddrPort
	seq, ack     uint32
	echo         uint32
	open         bool
	in           chan *packet
	host         string
	requests     int
}

// outcome of an attempt.
type outcome string

const (
	served  outcome = "served"
	refused outcome = "refused"
	failed  outcome = "failed"
)

func (c *client) receive() {
	b := make([]byte, maxFrame)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := decode(append([]byte(nil), b[:n]...))
		if err != nil || p.sum != p.checksum() && !(p.flags == flagRST && p.sum == 0) {
			c.fleet.Checker.note("MIXED", "client %s got a packet that its sender did not write so", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.current
		c.mu.Unlock()
		if f == nil || p.dst != f.local || p.src != f.route {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// run sends requests until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(2 * pauseBetween)):
		}
		id := fmt.Sprintf("%d-%d", c.number, n)
		c.fleet.Checker.finished(string(c.request(id)))
	}
}

// request sends one request, with up to two retries where its kind allows them.
func (c *client) request(id string) outcome {
	end := time.Now().Add(Deadline)
	result := failed
	for try := range 3 {
		f := c.flow()
		if f == nil || !c.open(f) {
			c.drop()
			result = refused
			if time.Now().After(end) {
				return result
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		attempt := fmt.Sprintf("%s.%d", id, try)
		if c.kind == kindUnsafe {
			// A request that may have run keeps its id: it must not run again.
			attempt = id
		}
		if c.exchange(f, attempt, end) {
			if c.kind == kindUnsafe || f.requests >= flowRequests {
				c.drop()
			}
			return served
		}
		c.drop()
		result = failed
		if c.kind == kindUnsafe {
			return result
		}
	}
	return result
}

// flow returns the flow in use, or a new one on a route in force.
func (c *client) flow() *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		return c.current
	}
	c.port++
	if c.port < 20000 {
		c.port = 20000
	}
	f := &clientFlow{
		local: netip.AddrPortFrom(c.addr, c.port), route: c.fleet.route(c.service), seq: rand.Uint32(),
		in: make(chan *packet, 16),
	}
	c.current = f
	return f
}

// drop closes the flow in use.
func (c *client) drop() {
	c.mu.Lock()
	f := c.current
	c.current = nil
	c.mu.Unlock()
	if f != nil && f.open {
		c.send(f, flagFIN|flagACK, nil)
	}
}

func (c *client) send(f *clientFlow, flags byte, data []byte) {
	p := &packet{src: f.local, dst: f.route, seq: f.seq, ack: f.ack, echo: f.echo, flags: flags, data: data}
	c.fleet.router.pass(c.zone, p.encode())
}

// open opens a flow unless it is open.
func (c *client) open(f *clientFlow) bool {
	if f.open {
		return true
	}
	start := time.Now()
	for copies, until := range []time.Duration{synCopy1, synCopy2, giveUp} {
		f.ack = uint32(copies)
		c.send(f, flagSYN, nil)
		for {
			p := wait(f.in, time.Until(start.Add(until)))
			if p == nil {
				break
			}
			if p.flags&flagRST != 0 {
				return false
			}
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
				f.echo, f.ack, f.open = p.echo, p.seq+1, true
				f.seq++
				c.send(f, flagACK, nil)
				return true
			}
		}
	}
	return false
}

// exchange sends a request on an open flow and waits for its answer.
func (c *client) exchange(f *clientFlow, id string, end time.Time) bool {
	data := []byte(strings.Join([]string{id, c.kind, c.service}, " "))
	f.requests++
	repeat := firstRepeat
	for time.Now().Before(end) {
		c.send(f, flagACK, data)
		next := time.Now().Add(repeat)
		repeat = min(2*repeat, lastRepeat)
		for {
			p := wait(f.in, time.Until(next))
			if p == nil {
				break
			}
			f.echo = p.echo
			switch {
			case p.flags&flagRST != 0:
				c.checkReset(f, p)
				return false
			case len(p.data) == 0 || p.seq != f.ack:
				continue
			}
			var got, host string
			if n, _ := fmt.Sscanf(string(p.data), "done %s %s", &got, &host); n != 2 || got != id {
				c.fleet.Checker.note("MIXED", "request %s got the answer %q", id, p.data)
				return false
			}
			f.host = host
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.data))
			c.send(f, flagACK, nil)
			return true
		}
	}
	return false
}

// checkReset checks a reset on an open flow: only the flow's target may send one while it lives.
func (c *client) checkReset(f *clientFlow, p *packet) {
	if p.sum != 0 || f.host == "" {
		return
	}
	now := time.Now()
	if _, dropped := c.fleet.droppedSince(f.route); dropped || !c.fleet.Checker.calmSince(now) {
		return
	}
	if h := c.fleet.host(f.host); h != nil && h.Alive() && h.calmSince(now) {
		c.fleet.Checker.note("FLOW", "flow %s of client %s was reset although its target %s lives", f.local, c.addr, f.host)
	}
}

func (h *Target) calmSince(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return at.Sub(h.disturbed) > StabilityWindow && at.Sub(time.UnixMilli(h.born)) > StabilityWindow
}

// wait returns the next packet, or nil when none comes in time.
func wait(in <-chan *packet, d time.Duration) *packet {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case p := <-in:
		return p
	case <-t.C:
		return nil
	}
}
