package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

const (
	// receiveBuffer is the size of the socket's receive buffer in bytes: 0.2 s of uploads over a link
	// of 40 Mbit/s. Packets that do not fit are dropped, and the ends repeat them.
	receiveBuffer = 1 << 20
	// clockCheck is how often the traffic thread looks for a suspension, when packets come.
	clockCheck = 100 * time.Millisecond
)

// traffic is the thread that takes packets.
type traffic struct {
	shared  *shared
	packets PacketFormat
	conn    *net.UDPConn
	core    *forward.Forwarder
	metrics *trafficMetrics
	log     *flowLog

	probes    *prober
	view      *forward.Snapshot
	checkedAt time.Duration
	reset     []byte
	// clientPort is the port at which clients take packets.
	clientPort uint16
}

// run takes packets until the socket is closed.
func (t *traffic) run() error {
	prefix := t.packets.Prefix
	// One byte more than a packet may have shows that it is too long.
	frame := make([]byte, prefix+t.packets.MaxSize+1)
	var h forward.Header
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(frame[prefix:])
		t.takeProbes()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The prober has woken this thread.
			if err := t.conn.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, net.ErrClosed) {
				t.log.problem("receive", "cannot clear the read deadline", "error", err)
			}
			continue
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			t.metrics.receiveErrors.Inc()
			t.log.problem("receive", "a packet could not be received", "error", err)
			continue
		}
		if err := t.packets.Decode(frame[prefix:prefix+n], &h); err != nil {
			t.metrics.malformed.Inc()
			t.log.problem("malformed", "dropped a malformed packet", "bytes", n, "error", err)
			continue
		}
		t.handle(frame[:prefix+n], &h)
	}
}

// handle decides about one packet and carries the decision out.
func (t *traffic) handle(frame []byte, h *forward.Header) {
	now := t.shared.clock.now()
	if now-t.checkedAt > clockCheck {
		t.shared.clock.check()
		now = t.shared.clock.now()
		t.checkedAt = now
		t.shared.lastPacket.Store(int64(now))
	}
	if v := t.shared.view.Load(); v != t.view && v != nil {
		t.view = v
		t.sendResets(t.core.Install(v))
	}
	t.core.SetFresh(time.Duration(t.shared.freshSince.Load()), time.Duration(t.shared.freshUntil.Load()))
	d := t.core.Handle(h, now)
	switch d.Action {
	case forward.Forward:
		t.packets.SetTarget(frame, d.Target.NumericID, d.Target.Token)
		_, err := t.conn.WriteToUDPAddrPort(frame, d.Target.Addr)
		t.noteSent("forward", err)
	case forward.Reset:
		t.sendReset(h)
	}
	if d.Probe.Target != nil {
		t.probes.ask(d.Probe)
	}
	t.metrics.count(&d)
	if d.Reason != forward.OnFlow {
		t.log.decision(h, &d, t.view, now, now-t.staleSince(now))
	}
}

// takeProbes takes the results of probes and resets the flows that they show to be lost.
func (t *traffic) takeProbes() {
	for {
		p, ok := t.probes.result()
		if !ok {
			return
		}
		now := t.shared.clock.now()
		resets := t.core.HandleProbe(p.target.Token, p.result, now)
		t.metrics.probes[p.result].Inc()
		t.log.log.Info("probed", "target", p.target.ID, "zone", string(p.target.Zone), "result", p.result.String(),
			"took_ms", p.took.Milliseconds(), "resets", len(resets), "error", p.err)
		t.sendResets(resets)
	}
}

// sendResets resets flows that wait for a target that has ended.
func (t *traffic) sendResets(resets []forward.FlowReset) {
	for _, r := range resets {
		t.metrics.packets[forward.TargetGone][forward.Reset].Inc()
		t.sendReset(&forward.Header{Flow: r.Flow, Ack: r.Ack})
	}
}

// sendReset resets the flow of a header.
func (t *traffic) sendReset(h *forward.Header) {
	t.reset = t.packets.EncodeReset(t.reset, h)
	client := h.Flow.Client.AddrPort().Addr()
	_, err := t.conn.WriteToUDPAddrPort(t.reset, netip.AddrPortFrom(client, t.clientPort))
	t.noteSent("reset", err)
}

// noteSent counts a packet that could not be sent.
func (t *traffic) noteSent(action string, err error) {
	if err != nil {
		t.metrics.sendErrors.Inc()
		t.log.problem("send", "a packet could not be sent", "action", action, "error", err)
	}
}

// staleSince returns the time until which the view counted as current, at most now; the start of the
// process when it never did.
func (t *traffic) staleSince(now time.Duration) time.Duration {
	return min(now, max(clockStart, time.Duration(t.shared.freshUntil.Load())))
}

// Bounds of the flow log.
const (
	// flowLinesPerSecond bounds the lines about single flows. The busiest VM of the users' deployments
	// takes about 30 new flows a second.
	flowLinesPerSecond = 50
)

// flowLog writes one line for each decision about a flow, within a bound per second.
type flowLog struct {
	log    *slog.Logger
	second time.Duration
	lines  int
	// suppressed counts lines that were left out since the last one.
	suppressed uint64
	limited    *telemetry.RateLimitedLogger
}

func newFlowLog(log *slog.Logger) *flowLog {
	return &flowLog{log: log, limited: telemetry.NewRateLimitedLogger(log)}
}

// decision writes a line about a decision that is more than following a flow's token.
func (l *flowLog) decision(h *forward.Header, d *forward.Decision, v *forward.Snapshot, now, stale time.Duration) {
	if d.Reason == forward.UnknownToken || d.Reason == forward.NoSnapshot || d.Reason == forward.NotFromClient {
		// These repeat with each packet.
		l.problem(d.Reason.String(), d.Action.String()+" packet", "flow", h.Flow.Client.String(),
			"service", h.Flow.Service.String(), "token", uint32(h.Token), "seq", h.Seq)
		return
	}
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines++; l.lines > flowLinesPerSecond {
		l.suppressed++
		return
	}
	attrs := []slog.Attr{
		slog.String("flow", h.Flow.Client.String()),
		slog.String("service", h.Flow.Service.String()),
		slog.String("reason", d.Reason.String()),
		slog.Uint64("config", v.ConfigVersion),
		slog.Int64("stale_ms", stale.Milliseconds()),
	}
	if h.Flags.Has(forward.SYN) {
		attrs = append(attrs, slog.Uint64("copy", uint64(h.Ack)))
	}
	if d.Target != nil {
		attrs = append(attrs, slog.String("target", d.Target.ID), slog.String("zone", string(d.Target.Zone)),
			slog.String("condition", d.Target.Condition.String()))
	}
	if l.suppressed > 0 {
		attrs = append(attrs, slog.Uint64("suppressed", l.suppressed))
		l.suppressed = 0
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, d.Action.String(), attrs...)
}

// problem writes a line about a packet or socket, at most one a second and kind.
func (l *flowLog) problem(kind, msg string, args ...any) {
	l.limited.Log(slog.LevelWarn, kind, msg, append(args, "reason", kind)...)
}
