package target

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// attempt is a VM's attempt at a request, as it arrived at the target.
type attempt struct {
	key     attemptKey
	service netip.AddrPort
	req     core.Request
	msg     message.Message
}

// receive handles a datagram: a probe, or a packet of a client that a VM forwards.
func (t *Target) receive(data []byte, from netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return
	}
	if carrier.IsProbe(data) {
		t.answerProbe(data, from)
		return
	}
	req, service, err := carrier.DecodeRequest(data)
	if err != nil {
		return
	}
	now := time.Now()
	t.stats.Packets++
	if !t.zoneOut.IsZero() && now.Sub(t.zoneOut) > core.ZoneOutGrace {
		t.stats.PacketsWhileZoneOut++
	}
	if t.opts.Service.IsValid() && service != t.opts.Service {
		t.stats.StrayPackets++
		return
	}
	// The payload is a copy, so the message does not share memory with the socket's buffer.
	msg, err := carrier.ParseMessage(req.Payload)
	if err != nil {
		return
	}
	a := attempt{key: attemptKey{client: req.Flow.ClientAddr()}, service: service, req: req, msg: msg}
	t.handle(a, from, now)
}

// handle processes a request, a cancellation or the end of a feed. A new client above the limit of
// connections is refused.
func (t *Target) handle(a attempt, from netip.AddrPort, now time.Time) {
	if !t.recordFlow(a.key.client, from, now) {
		t.flows[a.key.client] = &flow{vm: from}
		t.shed(a)
		delete(t.flows, a.key.client)
		return
	}
	if a.req.Method == core.MethodCancel {
		t.cancelMessage(a.key.client, uint16(a.msg.MessageID))
		return
	}
	if len(a.msg.Token) != carrier.TokenSize {
		return
	}
	a.key.token = core.AttemptToken(binary.BigEndian.Uint64(a.msg.Token))
	if a.req.Method == core.MethodUnsubscribe {
		t.unsubscribe(a)
		return
	}
	if t.handleDuplicate(a) {
		t.stats.Duplicates++
		return
	}
	t.admit(a, now)
}

// recordFlow records the VM that forwards a client's packets. It reports false when the client is new
// and the target has no connection left.
func (t *Target) recordFlow(client, from netip.AddrPort, now time.Time) bool {
	if f := t.flows[client]; f != nil {
		f.vm, f.lastPacketAt = from, now
		return true
	}
	if len(t.flows) >= t.opts.Connections {
		t.expireFlows(now)
	}
	if len(t.flows) >= t.opts.Connections {
		return false
	}
	t.flows[client] = &flow{vm: from, lastPacketAt: now}
	if !t.draining.IsZero() && now.Sub(t.draining) > DrainGrace {
		t.stats.NewFlowsWhileDraining++
	}
	return true
}

// expireFlows deletes the flows that are idle and have no live feed.
func (t *Target) expireFlows(now time.Time) {
	hasFeed := map[netip.AddrPort]bool{}
	for k := range t.feeds {
		hasFeed[k.client] = true
	}
	for client, f := range t.flows {
		if now.Sub(f.lastPacketAt) > core.FlowIdleTimeout && !hasFeed[client] {
			delete(t.flows, client)
		}
	}
}

// handleDuplicate reports whether an attempt has arrived before, and sends its answer again if there
// is one. A feed that is registered again with the same token continues through the VM that sent the
// registration.
func (t *Target) handleDuplicate(a attempt) bool {
	if t.work[a.key] != nil {
		return true
	}
	if a.req.Method == core.MethodSubscribe {
		f := t.feeds[a.key]
		if f != nil {
			t.notify(f)
		}
		return f != nil
	}
	datagram, ok := t.answers.find(a.key)
	if ok {
		t.write(a.key.client, datagram)
	}
	return ok
}

// answerProbe answers a probe of the health and load endpoint.
func (t *Target) answerProbe(data []byte, from netip.AddrPort) {
	_, body, err := carrier.SplitDatagram(data)
	if err != nil || t.behavior.Health == HealthNoAnswer {
		return
	}
	in, err := carrier.ParseMessage(body)
	if err != nil {
		return
	}
	out := message.Message{Type: message.NonConfirmable, Code: codes.Content, Token: in.Token, MessageID: in.MessageID}
	report := t.report()
	if t.behavior.Health == HealthAlwaysOK {
		report.Load = core.LoadReport{Slots: report.Load.Slots, BootID: report.Load.BootID}
	}
	if t.behavior.Health == HealthAlwaysFailing {
		out.Code = codes.ServiceUnavailable
	}
	if t.opts.ReportsLoad {
		carrier.AddOption(&out, carrier.OptionLoadReport, report.Encode())
	}
	if b, err := carrier.AppendDatagram(nil, carrier.Header{Local: true}, &out); err == nil {
		_ = t.socket.Write(b, from)
	}
}
