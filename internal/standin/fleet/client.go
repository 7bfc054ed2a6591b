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

// Kinds of requests: safe ones are idempotent and may be retried.
const (
	kindSafe   = "safe"
	kindUnsafe = "unsafe"
)

const (
	// firstSYNRepeat and secondSYNRepeat are the times after the first SYN at which it is repeated, openTimeout
	// is that at which the attempt ends.
	firstSYNRepeat  = 200 * time.Millisecond
	secondSYNRepeat = 600 * time.Millisecond
	openTimeout     = 1400 * time.Millisecond
	// Deadline is the maximum time of a request, retries included.
	Deadline = 4 * time.Second
	// meanPause is the mean time between two requests of a client.
	meanPause = 60 * time.Millisecond
	// maxFlowRequests is the maximum number of requests on a flow.
	maxFlowRequests = 60
)

// client is a client with an address of its own. Depending on its kind it uses a flow for many requests, or
// opens one for each request.
type client struct {
	fleet   *Fleet
	addr    netip.Addr
	zone    string
	kind    string
	service string
	conn    *net.UDPConn
	port    uint16
	index   int

	mu sync.Mutex
	// flow is the flow in use.
	flow *clientFlow
}

// clientFlow is a client's state of a flow.
type clientFlow struct {
	local, route netip.AddrPort
	seq, ack     uint32
	token        uint32
	open         bool
	packets      chan *packet
	target       string
	requests     int
}

// outcome is the outcome of a request.
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
			c.fleet.Checker.addViolation("MIXED", "client %s received a corrupted or forged packet", c.addr)
			continue
		}
		c.mu.Lock()
		f := c.flow
		c.mu.Unlock()
		if f == nil || p.dst != f.local || p.src != f.route {
			continue
		}
		select {
		case f.packets <- p:
		default:
		}
	}
}

// sendRequests sends requests until stop is closed.
func (c *client) sendRequests(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(2 * meanPause)):
		}
		id := fmt.Sprintf("%d-%d", c.index, n)
		c.fleet.Checker.recordOutcome(string(c.sendRequest(id)))
	}
}

// sendRequest sends one request, with up to two retries where its kind allows them.
func (c *client) sendRequest(id string) outcome {
	end := time.Now().Add(Deadline)
	result := failed
	for try := range 3 {
		f := c.currentFlow()
		if f == nil || !c.openFlow(f) {
			c.closeFlow()
			result = refused
			if time.Now().After(end) {
				return result
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		attempt := fmt.Sprintf("%s.%d", id, try)
		if c.kind == kindUnsafe {
			// The id stays the same, as a request that may have run must not run again.
			attempt = id
		}
		if c.exchange(f, attempt, end) {
			if c.kind == kindUnsafe || f.requests >= maxFlowRequests {
				c.closeFlow()
			}
			return served
		}
		c.closeFlow()
		result = failed
		if c.kind == kindUnsafe {
			return result
		}
	}
	return result
}

// currentFlow returns the flow in use, or a new one on a route of the configuration in force.
func (c *client) currentFlow() *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flow != nil {
		return c.flow
	}
	c.port++
	if c.port < 20000 {
		c.port = 20000
	}
	f := &clientFlow{
		local: netip.AddrPortFrom(c.addr, c.port), route: c.fleet.route(c.service), seq: rand.Uint32(),
		packets: make(chan *packet, 16),
	}
	c.flow = f
	return f
}

// closeFlow closes the flow in use.
func (c *client) closeFlow() {
	c.mu.Lock()
	f := c.flow
	c.flow = nil
	c.mu.Unlock()
	if f != nil && f.open {
		c.send(f, flagFIN|flagACK, nil)
	}
}

func (c *client) send(f *clientFlow, flags byte, data []byte) {
	p := &packet{src: f.local, dst: f.route, seq: f.seq, ack: f.ack, token: f.token, flags: flags, data: data}
	c.fleet.router.forward(c.zone, p.encode())
}

// openFlow opens a flow if it is not open yet, and reports whether it is open.
func (c *client) openFlow(f *clientFlow) bool {
	if f.open {
		return true
	}
	start := time.Now()
	for copies, until := range []time.Duration{firstSYNRepeat, secondSYNRepeat, openTimeout} {
		f.ack = uint32(copies)
		c.send(f, flagSYN, nil)
		for {
			p := nextPacket(f.packets, time.Until(start.Add(until)))
			if p == nil {
				break
			}
			if p.flags&flagRST != 0 {
				return false
			}
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
				f.token, f.ack, f.open = p.token, p.seq+1, true
				f.seq++
				c.send(f, flagACK, nil)
				return true
			}
		}
	}
	return false
}

// exchange sends a request on an open flow, waits for its response and reports whether that arrived.
func (c *client) exchange(f *clientFlow, id string, end time.Time) bool {
	data := []byte(strings.Join([]string{id, c.kind, c.service}, " "))
	f.requests++
	repeat := firstRepeatDelay
	for time.Now().Before(end) {
		c.send(f, flagACK, data)
		next := time.Now().Add(repeat)
		repeat = min(2*repeat, maxRepeatDelay)
		for {
			p := nextPacket(f.packets, time.Until(next))
			if p == nil {
				break
			}
			f.token = p.token
			switch {
			case p.flags&flagRST != 0:
				c.checkReset(f, p)
				return false
			case len(p.data) == 0 || p.seq != f.ack:
				continue
			}
			var got, target string
			if n, _ := fmt.Sscanf(string(p.data), "done %s %s", &got, &target); n != 2 || got != id {
				c.fleet.Checker.addViolation("MIXED", "request %s received the response %q", id, p.data)
				return false
			}
			f.target = target
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.data))
			c.send(f, flagACK, nil)
			return true
		}
	}
	return false
}

// checkReset checks a reset on an open flow: while the flow's target runs, no other sender may reset it. A
// reset with a sum was sent by a target.
func (c *client) checkReset(f *clientFlow, p *packet) {
	if p.sum != 0 || f.target == "" {
		return
	}
	now := time.Now()
	if _, dropped := c.fleet.droppedAt(f.route); dropped || !c.fleet.Checker.stableAt(now) {
		return
	}
	if target := c.fleet.target(f.target); target != nil && target.Alive() && target.stableAt(now) {
		c.fleet.Checker.addViolation("FLOW", "flow %s of client %s was reset although its target %s runs", f.local, c.addr, f.target)
	}
}

func (t *Target) stableAt(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return at.Sub(t.lastFault) > StabilityWindow && at.Sub(time.UnixMilli(t.startMillis)) > StabilityWindow
}

// nextPacket returns the next packet, or nil if none arrives in time.
func nextPacket(in <-chan *packet, d time.Duration) *packet {
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
