package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

const (
	// receiveBuffer is the size of the socket's receive buffer in bytes: 0.2 s of uploads over a link
	// of 40 Mbit/s. Packets that do not fit are dropped, and clients and targets retransmit.
	receiveBuffer = 1 << 20
	// clockCheckInterval is how often the traffic thread checks for a suspension while packets arrive.
	clockCheckInterval = 100 * time.Millisecond
	// maxStartHold is how long packets wait in the socket's buffer for the first snapshot. It is below the 200 ms
	// after which clients retransmit a SYN.
	maxStartHold = 180 * time.Millisecond
)

// traffic is the thread that receives and forwards packets.
type traffic struct {
	shared    *sharedState
	format    PacketFormat
	conn      *net.UDPConn
	forwarder *forward.Forwarder
	metrics   *trafficMetrics
	log       *flowLog

	prober *prober
	// reached is true when awaitReach has ended.
	reached atomic.Bool
	// failures are sent to the control thread.
	failures chan<- []forward.TargetFailures
	// loadReports are sent to the control thread.
	loadReports    chan<- []targetload.Report
	snapshot       *forward.Snapshot
	clockCheckedAt time.Duration
	resetBuffer    []byte
	// clientPort is the port at which clients receive packets.
	clientPort uint16
	// startHold is how long packets wait for the first snapshot. Tests change it.
	startHold time.Duration
}

// run receives packets until the socket is closed.
func (t *traffic) run() error {
	prefix := t.format.Prefix
	// The buffer is one byte larger than the largest packet, so that a longer packet is detected.
	frame := make([]byte, prefix+t.format.MaxSize+1)
	var header forward.Header
	select {
	case <-t.shared.complete:
	case <-time.After(t.startHold):
	}
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(frame[prefix:])
		t.handleProbeResults()
		t.handleReached()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The prober has interrupted the read, because a probe has a result.
			if err := t.conn.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, net.ErrClosed) {
				t.log.warn("receive", "cannot clear the read deadline", "error", err)
			}
			continue
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			t.metrics.receiveErrors.Inc()
			t.log.warn("receive", "cannot receive a packet", "error", err)
			continue
		}
		if err := t.format.Decode(frame[prefix:prefix+n], &header); err != nil {
			t.metrics.malformed.Inc()
			t.log.warn("malformed", "dropped a malformed packet", "bytes", n, "error", err)
			continue
		}
		t.handle(frame[:prefix+n], &header)
	}
}

// handle decides about one packet and applies the decision.
func (t *traffic) handle(frame []byte, header *forward.Header) {
	now := t.shared.clock.now()
	if now-t.clockCheckedAt > clockCheckInterval {
		t.shared.clock.updateSuspension()
		now = t.shared.clock.now()
		t.clockCheckedAt = now
		t.shared.lastPacket.Store(int64(now))
	}
	if snapshot := t.shared.snapshot.Load(); snapshot != t.snapshot && snapshot != nil {
		t.snapshot = snapshot
		t.sendResets(t.forwarder.Install(snapshot))
	}
	t.forwarder.SetFresh(time.Duration(t.shared.freshSince.Load()), time.Duration(t.shared.freshUntil.Load()))
	if header.Opens() && t.shared.resuming(now) {
		t.metrics.packets[forward.NoSnapshot][forward.Drop].Inc()
		t.log.warn("resuming", "dropped a SYN: the snapshot is from before a pause of the process",
			"flow", header.Flow.Client.String(), "service", header.Flow.Service.String())
		return
	}
	t.forwarder.SetLoad(t.shared.loadTable.Load(), t.shared.gate.Load())
	decision := t.forwarder.Handle(header, now)
	switch decision.Action {
	case forward.Forward:
		t.format.SetTarget(frame, decision.Target.NumericID, decision.Target.FlowToken)
		_, err := t.conn.WriteToUDPAddrPort(frame, decision.Target.Addr)
		t.countSendError("forward", err)
	case forward.Reset:
		t.sendReset(header)
	}
	if decision.Probe.Target != nil {
		t.prober.start(decision.Probe)
	}
	t.reportFailures(now)
	t.reportLoad(now)
	t.updateServing(now)
	t.metrics.countDecision(&decision)
	if decision.Reason != forward.OnFlow {
		t.log.logDecision(header, &decision, t.snapshot, now, now-t.lastFresh(now))
	}
}

// reportFailures sends the failures of targets to the control thread.
func (t *traffic) reportFailures(now time.Duration) {
	failures := t.forwarder.TakeFailures(now)
	if failures == nil {
		return
	}
	select {
	case t.failures <- failures:
	default:
		t.metrics.unreported.Inc()
	}
}

// reportLoad sends the load of targets that this VM observed to the control thread.
func (t *traffic) reportLoad(now time.Duration) {
	reports := t.forwarder.TakeLoadReports(now)
	if reports == nil {
		return
	}
	select {
	case t.loadReports <- reports:
	default:
		t.metrics.unreported.Inc()
	}
}

// handleProbeResults applies the results of finished probes and resets the flows that are lost according to
// them.
func (t *traffic) handleProbeResults() {
	for {
		p, ok := t.prober.nextResult()
		if !ok {
			return
		}
		now := t.shared.clock.now()
		resets := t.forwarder.HandleProbe(p.target.Token, p.result, now)
		t.metrics.probes[p.result].Inc()
		t.log.logger.Info("probed", "target", p.target.ID, "zone", string(p.target.Zone), "result", p.result.String(),
			"took_ms", p.took.Milliseconds(), "resets", len(resets), "error", p.err)
		t.sendResets(resets)
	}
}

// sendResets resets flows whose clients wait for a target that has ended.
func (t *traffic) sendResets(resets []forward.FlowReset) {
	for _, r := range resets {
		t.metrics.packets[forward.TargetGone][forward.Reset].Inc()
		t.sendReset(&forward.Header{Flow: r.Flow, Ack: r.Ack})
	}
}

// sendReset sends a reset to the client of the header's flow.
func (t *traffic) sendReset(header *forward.Header) {
	t.resetBuffer = t.format.EncodeReset(t.resetBuffer, header)
	client := header.Flow.Client.AddrPort().Addr()
	_, err := t.conn.WriteToUDPAddrPort(t.resetBuffer, netip.AddrPortFrom(client, t.clientPort))
	t.countSendError("reset", err)
}

// countSendError counts and logs a packet that could not be sent.
func (t *traffic) countSendError(action string, err error) {
	if err != nil {
		t.metrics.sendErrors.Inc()
		t.log.warn("send", "cannot send a packet", "action", action, "error", err)
	}
}

// lastFresh returns the time until which the snapshot counted as fresh, at most now. It returns the start of the
// process if the snapshot never counted as fresh.
func (t *traffic) lastFresh(now time.Duration) time.Duration {
	return min(now, max(clockStart, time.Duration(t.shared.freshUntil.Load())))
}

// Limits of the flow log.
const (
	// flowLogLinesPerSecond is the maximum number of lines about single flows. The busiest VM of the users'
	// deployments receives about 30 new flows per second.
	flowLogLinesPerSecond = 50
)

// flowLog writes one line for each decision about a flow, up to flowLogLinesPerSecond.
type flowLog struct {
	logger *slog.Logger
	second time.Duration
	lines  int
	// suppressed counts the lines that were omitted since the last written one.
	suppressed  uint64
	rateLimited *telemetry.RateLimitedLogger
}

func newFlowLog(log *slog.Logger) *flowLog {
	return &flowLog{logger: log, rateLimited: telemetry.NewRateLimitedLogger(log)}
}

// logDecision writes a line about a decision, other than one that follows the flow's token.
func (l *flowLog) logDecision(header *forward.Header, decision *forward.Decision, snapshot *forward.Snapshot, now, stale time.Duration) {
	if decision.Reason == forward.UnknownToken || decision.Reason == forward.NoSnapshot || decision.Reason == forward.NotFromClient {
		// These occur again with each packet of the flow.
		l.warn(decision.Reason.String(), decision.Action.String()+" packet", "flow", header.Flow.Client.String(),
			"service", header.Flow.Service.String(), "token", uint32(header.Token), "seq", header.Seq)
		return
	}
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines++; l.lines > flowLogLinesPerSecond {
		l.suppressed++
		return
	}
	attrs := []slog.Attr{
		slog.String("flow", header.Flow.Client.String()),
		slog.String("service", header.Flow.Service.String()),
		slog.String("reason", decision.Reason.String()),
		slog.Uint64("config", snapshot.ConfigVersion),
		slog.Int64("stale_ms", stale.Milliseconds()),
	}
	if header.Flags.Has(forward.SYN) {
		attrs = append(attrs, slog.Uint64("copy", uint64(header.Ack)))
	}
	if decision.Target != nil {
		attrs = append(attrs, slog.String("target", decision.Target.ID), slog.String("zone", string(decision.Target.Zone)),
			slog.String("condition", decision.Target.Condition.String()))
	}
	if l.suppressed > 0 {
		attrs = append(attrs, slog.Uint64("suppressed", l.suppressed))
		l.suppressed = 0
	}
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, decision.Action.String(), attrs...)
}

// warn writes a line about a packet or the socket, at most one per second and kind.
func (l *flowLog) warn(kind, msg string, args ...any) {
	l.rateLimited.Log(slog.LevelWarn, kind, msg, append(args, "reason", kind)...)
}
