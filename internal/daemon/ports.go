package daemon

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// ports connects the core with the fabric and the targets over UDP. Its only state is the sockets, the
// counters and the unanswered probes.
type ports struct {
	fabric, targets *carrier.Socket
	// fabricReturn is the address to which packets for clients are sent.
	fabricReturn netip.AddrPort
	snapshot     *atomic.Pointer[core.Snapshot]
	post         func(core.Input) bool
	reporter     *reporter
	hops         *hopTracer
	probes       probes
	// attemptSource identifies this process in the tokens of its attempts.
	attemptSource core.AttemptSource
	buffers       sync.Pool
}

// newPorts opens the sockets.
func newPorts(fabric, targets, fabricReturn netip.AddrPort) (*ports, error) {
	p := &ports{fabricReturn: fabricReturn}
	p.buffers.New = func() any { b := make([]byte, 0, carrier.MaxDatagram); return &b }
	var err error
	if p.fabric, err = carrier.Listen(fabric); err != nil {
		return nil, err
	}
	if p.targets, err = carrier.Listen(targets); err != nil {
		_ = p.fabric.Close()
		return nil, err
	}
	return p, nil
}

// serve reads both sockets until the context ends.
func (p *ports) serve(ctx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { _ = p.fabric.Serve(ctx, p.handleClientDatagram) })
	wg.Go(func() { _ = p.targets.Serve(ctx, p.handleTargetDatagram) })
}

// handleClientDatagram decodes a client's datagram from the fabric and posts it as a request.
func (p *ports) handleClientDatagram(data []byte, _ netip.AddrPort) {
	req, service, err := carrier.DecodeRequest(data)
	if err != nil {
		p.reporter.badPacket("fabric", err)
		return
	}
	id, ok := p.serviceAt(service)
	if !ok {
		p.reporter.dropped("unknown_service")
		return
	}
	req.Flow.Service = id
	req.Trace = p.hops.startIngress(&req)
	if !p.post(core.ClientRequest{Request: req}) {
		p.reporter.dropped("mailbox_full")
	}
}

// handleTargetDatagram decodes a target's datagram and posts it as an answer. Answers to probes are handled
// separately.
func (p *ports) handleTargetDatagram(data []byte, from netip.AddrPort) {
	if carrier.IsProbe(data) {
		p.handleProbeAnswer(data)
		return
	}
	answer, service, err := carrier.DecodeAnswer(data, from)
	if err != nil {
		p.reporter.badPacket("target", err)
		return
	}
	id, ok := p.serviceAt(service)
	if !ok {
		p.reporter.dropped("unknown_service")
		return
	}
	answer.Flow.Service = id
	p.hops.attemptAnswered(&answer)
	if p.post(answer) {
		p.acknowledge(&answer, data)
	}
}

// acknowledge acknowledges a confirmable message of a target, which the target would otherwise retransmit.
// A target in a zone that was taken out of service receives no packets. A notification with an attempt
// token of another process is not acknowledged: the core may reject it with a reset, and a target that has
// received an acknowledgement ignores the reset.
func (p *ports) acknowledge(m *core.TargetAnswer, datagram []byte) {
	otherProcess := core.AttemptSource(m.Token>>32) != p.attemptSource
	if !carrier.NeedsAck(m.Payload) || m.Status == core.AnswerNotification && otherProcess || !p.inService(m) {
		return
	}
	data, err := carrier.AppendAck(nil, datagram)
	if err == nil {
		err = p.targets.Write(data, m.From)
	}
	if err != nil {
		p.reporter.dropped("write")
	}
}

// inService reports whether a message came from a target whose zone is in service. Confirmable messages
// are rare, so a search through all targets is cheap enough.
func (p *ports) inService(m *core.TargetAnswer) bool {
	for _, t := range p.snapshot.Load().Targets {
		if t.Target.Addr == m.From && t.Target.Service == m.Flow.Service && !t.ZoneOut {
			return true
		}
	}
	return false
}

// rejectNotification sends a reset, which makes the target end the feed.
func (p *ports) rejectNotification(a core.RejectNotification) {
	p.send(p.targets, a.Addr, a.Flow.Service, func(dst []byte, service netip.AddrPort) ([]byte, error) {
		h := carrier.Header{Source: service, Destination: a.Flow.ClientAddr()}
		datagram, err := carrier.AppendHeader(nil, h)
		if err != nil {
			return dst, err
		}
		return carrier.AppendReset(dst, append(datagram, a.Payload...))
	})
}

// serviceAt returns the service that has an address in the configuration in force.
func (p *ports) serviceAt(addr netip.AddrPort) (core.ServiceID, bool) {
	snap := p.snapshot.Load()
	if snap == nil || snap.Config == nil {
		return 0, false
	}
	for i := range snap.Config.Services {
		if s := &snap.Config.Services[i]; s.Addr == addr {
			return s.ID, true
		}
	}
	return 0, false
}

// serviceAddr returns the address of a service in the configuration in force.
func (p *ports) serviceAddr(id core.ServiceID) (netip.AddrPort, bool) {
	snap := p.snapshot.Load()
	if snap == nil || snap.Config == nil {
		return netip.AddrPort{}, false
	}
	s := snap.Config.Service(id)
	if s == nil {
		return netip.AddrPort{}, false
	}
	return s.Addr, true
}

// targetName returns the name of a target for logs and traces, or "" when it is not in the snapshot.
func (p *ports) targetName(id core.TargetID) string {
	snap := p.snapshot.Load()
	if id == 0 || snap == nil || snap.Targets[id] == nil {
		return ""
	}
	return snap.Targets[id].Target.Name
}

// sendTarget sends an attempt, or the cancellation of one, to a target.
func (p *ports) sendTarget(a core.SendTarget) {
	p.hops.attemptSent(&a, p.targetName(a.Target))
	p.send(p.targets, a.Addr, a.Service, func(dst []byte, service netip.AddrPort) ([]byte, error) {
		return carrier.AppendSendTarget(dst, &a, service)
	})
}

// answerClient sends a target's answer to a client.
func (p *ports) answerClient(a core.AnswerClient) {
	p.hops.answerSent(&a)
	p.send(p.fabric, p.fabricReturn, a.Flow.Service, func(dst []byte, service netip.AddrPort) ([]byte, error) {
		return carrier.AppendAnswer(dst, &a, service, carrier.ObserveValue(time.Now()))
	})
}

// refuseClient sends a refusal to a client.
func (p *ports) refuseClient(a core.RefuseClient) {
	p.hops.refusalSent(&a)
	p.reporter.refused(a.Reason, a.Class, a.Run)
	p.send(p.fabric, p.fabricReturn, a.Flow.Service, func(dst []byte, service netip.AddrPort) ([]byte, error) {
		return carrier.AppendRefusal(dst, &a, service)
	})
}

// send encodes a datagram with the address of a service and writes it to a socket.
func (p *ports) send(s *carrier.Socket, to netip.AddrPort, service core.ServiceID,
	encode func([]byte, netip.AddrPort) ([]byte, error)) {
	addr, ok := p.serviceAddr(service)
	if !ok {
		p.reporter.dropped("unknown_service")
		return
	}
	buf := p.buffers.Get().(*[]byte)
	defer p.buffers.Put(buf)
	data, err := encode((*buf)[:0], addr)
	if err != nil {
		p.reporter.badPacket("encode", err)
		return
	}
	*buf = data
	if err := s.Write(data, to); err != nil {
		p.reporter.dropped("write")
	}
}

func (p *ports) close() {
	_ = p.fabric.Close()
	_ = p.targets.Close()
}
