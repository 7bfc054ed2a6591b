package fleet

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

const (
	// firstRetransmitDelay is the time after which an unacknowledged packet is retransmitted. It doubles
	// with each retransmission up to maxRetransmitDelay.
	firstRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay   = 1600 * time.Millisecond
	// maxResponseSends is the maximum number of times that a target sends a response.
	maxResponseSends = 8
	// requestTime is the time that a target needs for a request.
	requestTime = 15 * time.Millisecond
	// responseSize is the size of a response in bytes. A rejection is at most a fifth of it: on the users' platform these have
	// about 140 and at least 800 bytes.
	responseSize = 120
)

// handleRequest runs, rejects or resets a request. t.mu is held.
func (t *Target) handleRequest(client netip.AddrPort, flow *targetFlow, request string) {
	switch {
	case !time.Now().Before(t.fullUntil):
		go t.runRequest(client, flow, request)
	case flow.answered:
		id, _, _ := strings.Cut(request, " ")
		t.respond(client, flow, strings.Join([]string{verbRejected, id, t.ID}, " "))
	default:
		t.send(&packet{src: flow.dst, dst: client, flags: flagRST | flagACK, seq: flow.seq, ack: flow.clientSeq, token: flow.token})
		delete(t.flows, client)
	}
}

// runRequest processes a request and sends its response.
func (t *Target) runRequest(client netip.AddrPort, flow *targetFlow, request string) {
	var id, kind, service string
	if n, err := fmt.Sscanf(request, "%s %s %s", &id, &kind, &service); n != 3 || err != nil {
		t.fleet.Checker.addViolation("UNASKED", "target %s received the request %q", t.ID, request)
		return
	}
	if service != t.Service {
		t.fleet.Checker.addViolation("ROUTE", "request %s for %s ran at %s of %s", id, service, t.ID, t.Service)
	}
	t.fleet.Checker.recordExecution(id, t.ID, kind == kindSafe)
	time.Sleep(requestTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.alive || t.flows[client] != flow {
		return
	}
	t.respond(client, flow, fmt.Sprintf("%-*s", responseSize, strings.Join([]string{verbDone, id, t.ID}, " ")))
}

// respond sends a response on a flow. t.mu is held.
func (t *Target) respond(client netip.AddrPort, flow *targetFlow, data string) {
	p := &packet{src: flow.dst, dst: client, flags: flagACK, seq: flow.seq, ack: flow.clientSeq, token: flow.token, data: []byte(data)}
	flow.seq += uint32(len(data))
	flow.answered, flow.response = true, p
	go t.retransmitResponse(client, flow, p)
}

// retransmitResponse sends a response until it is acknowledged, at most maxResponseSends times.
func (t *Target) retransmitResponse(client netip.AddrPort, flow *targetFlow, p *packet) {
	delay := firstRetransmitDelay
	for range maxResponseSends {
		t.mu.Lock()
		if !t.alive || flow.response != p || t.flows[client] != flow {
			t.mu.Unlock()
			return
		}
		p.token = flow.token
		t.send(p)
		t.mu.Unlock()
		time.Sleep(delay)
		delay = min(2*delay, maxRetransmitDelay)
	}
}

// hasOpenFlow reports whether a client's flow is open at the target.
func (t *Target) hasOpenFlow(client netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	flow := t.flows[client]
	return flow != nil && flow.open
}
