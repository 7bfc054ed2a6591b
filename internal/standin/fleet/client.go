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

// Verbs of responses: a target states that it ran a request, or that it did not because it is full.
const (
	verbDone     = "done"
	verbRejected = "full"
)

const (
	// firstSYNRetransmit and secondSYNRetransmit are the times after the first SYN at which it is retransmitted,
	// openTimeout is the time after it at which the attempt ends.
	firstSYNRetransmit  = 200 * time.Millisecond
	secondSYNRetransmit = 600 * time.Millisecond
	openTimeout         = 1400 * time.Millisecond
	// Deadline is the maximum time of a request, retries included.
	Deadline = 4 * time.Second
	// meanPause is the mean time between two requests of a client.
	meanPause = 60 * time.Millisecond
	// maxFlowRequests is the maximum number of requests on a flow.
	maxFlowRequests = 60
	// rejectionPause is the time after which a client repeats a request that a full target rejected.
	rejectionPause = 20 * time.Millisecond
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
		flow := c.flow
		c.mu.Unlock()
		if flow == nil || p.dst != flow.local || p.src != flow.route {
			continue
		}
		select {
		case flow.packets <- p:
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
		flow := c.currentFlow()
		if flow == nil || !c.openFlow(flow) {
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
		result = c.exchange(flow, attempt, end)
		if result == failed || c.kind == kindUnsafe || flow.requests >= maxFlowRequests {
			c.closeFlow()
		}
		if result == served || result == failed && c.kind == kindUnsafe {
			return result
		}
		if result == refused {
			// The target has not run the request. The flow stays open, as those of the users' clients do.
			time.Sleep(rejectionPause)
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
	flow := &clientFlow{
		local: netip.AddrPortFrom(c.addr, c.port), route: c.fleet.route(c.service), seq: rand.Uint32(),
		packets: make(chan *packet, 16),
	}
	c.flow = flow
	return flow
}

// closeFlow closes the flow in use.
func (c *client) closeFlow() {
	c.mu.Lock()
	flow := c.flow
	c.flow = nil
	c.mu.Unlock()
	if flow != nil && flow.open {
		c.send(flow, flagFIN|flagACK, nil)
	}
}

func (c *client) send(flow *clientFlow, flags byte, data []byte) {
	p := &packet{src: flow.local, dst: flow.route, seq: flow.seq, ack: flow.ack, token: flow.token, flags: flags, data: data}
	c.fleet.router.forward(c.zone, p.encode())
}

// openFlow opens a flow if it is not open yet, and reports whether it is open.
func (c *client) openFlow(flow *clientFlow) bool {
	if flow.open {
		return true
	}
	start := time.Now()
	for copies, until := range []time.Duration{firstSYNRetransmit, secondSYNRetransmit, openTimeout} {
		flow.ack = uint32(copies)
		c.send(flow, flagSYN, nil)
		for {
			p := nextPacket(flow.packets, time.Until(start.Add(until)))
			if p == nil {
				break
			}
			if p.flags&flagRST != 0 {
				return false
			}
			if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
				flow.token, flow.ack, flow.open = p.token, p.seq+1, true
				flow.seq++
				c.send(flow, flagACK, nil)
				return true
			}
		}
	}
	return false
}

// exchange sends a request on an open flow, waits for its response and returns the outcome: refused if the target rejected the
// request.
func (c *client) exchange(flow *clientFlow, id string, end time.Time) outcome {
	data := []byte(strings.Join([]string{id, c.kind, c.service}, " "))
	flow.requests++
	delay := firstRetransmitDelay
	for time.Now().Before(end) {
		c.send(flow, flagACK, data)
		next := time.Now().Add(delay)
		delay = min(2*delay, maxRetransmitDelay)
		for {
			p := nextPacket(flow.packets, time.Until(next))
			if p == nil {
				break
			}
			flow.token = p.token
			switch {
			case p.flags&flagRST != 0:
				c.checkReset(flow, p)
				// As with TCP, nothing is sent on a flow after its reset.
				flow.open = false
				return failed
			case len(p.data) == 0 || p.seq != flow.ack:
				continue
			}
			var verb, got, target string
			n, _ := fmt.Sscanf(string(p.data), "%s %s %s", &verb, &got, &target)
			if n != 3 || got != id || verb != verbDone && verb != verbRejected {
				c.fleet.Checker.addViolation("MIXED", "request %s received the response %q", id, p.data)
				return failed
			}
			flow.target = target
			flow.seq += uint32(len(data))
			flow.ack += uint32(len(p.data))
			c.send(flow, flagACK, nil)
			if verb == verbRejected {
				return refused
			}
			return served
		}
	}
	return failed
}

// checkReset checks a reset on an open flow: while the flow's target runs, no other sender may reset it. A
// reset with a checksum was sent by a target.
func (c *client) checkReset(flow *clientFlow, p *packet) {
	if p.sum != 0 {
		return
	}
	now := time.Now()
	if _, dropped := c.fleet.droppedAt(flow.route); dropped || !c.fleet.Checker.stableAt(now) {
		return
	}
	if target := c.fleet.targetOf(flow); target != nil && target.Alive() && target.stableAt(now) {
		c.fleet.Checker.addViolation("FLOW", "flow %s of client %s was reset although its target %s runs", flow.local, c.addr, target.ID)
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
