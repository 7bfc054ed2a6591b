package daemon

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/settings"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

const (
	// maxOpenHops is the largest number of open spans; at about 500 bytes each they take 4 MB.
	maxOpenHops = 8192
	// traceCloseTimeout bounds the export of the last spans when the VM ends.
	traceCloseTimeout = 2 * time.Second
	// noOutcome is the status of a hop whose outcome did not reach this VM, for example when the request was
	// an absorbed retransmission.
	noOutcome = "no outcome seen"
)

// hopTracer starts and ends a span for each hop of a request. It is nil when traces are off: its methods
// then do nothing, and the trace contexts of other VMs are passed on unchanged. It is safe for concurrent
// use.
//
// An open ingress or forward hop is found by the span id that its request carries, an open target
// hop by the token of its attempt. Notifications and renewals of live feeds have no hops, because a feed
// would add spans to its trace for hours.
type hopTracer struct {
	tracer *telemetry.Tracer
	log    *slog.Logger
	mu     sync.Mutex
	open   map[hopKey]telemetry.Span
	// order lists hops from the oldest to the newest. It also contains hops that have ended already, up to
	// 2*maxOpenHops in all.
	order []openHop
}

// hopKey identifies an open hop; one of the fields is set.
type hopKey struct {
	span  [8]byte
	token core.AttemptToken
}

type openHop struct {
	key   hopKey
	since time.Time
}

// newHopTracer returns nil when the settings have neither a file nor an endpoint for traces. Errors are
// those of telemetry.NewTracer.
func newHopTracer(vmSettings *settings.Settings, log *slog.Logger) (*hopTracer, error) {
	if vmSettings.Traces.File == "" && vmSettings.Traces.OTLP == "" {
		return nil, nil
	}
	tracer, err := telemetry.NewTracer(telemetry.TraceSettings{
		File: vmSettings.Traces.File, Endpoint: vmSettings.Traces.OTLP, Ratio: vmSettings.Traces.Ratio, VM: vmSettings.Name, Zone: vmSettings.Zone,
	}, log)
	if err != nil {
		return nil, err
	}
	return &hopTracer{tracer: tracer, log: log, open: map[hopKey]telemetry.Span{}}, nil
}

// startIngress starts the first hop of a request from the fabric and returns its trace context. The context
// is zero when the request is not traced.
func (h *hopTracer) startIngress(r *core.Request) core.TraceContext {
	if h == nil {
		return core.TraceContext{}
	}
	span := h.tracer.StartRoot(telemetry.HopIngress)
	if !span.Recording() {
		return core.TraceContext{}
	}
	span.SetAttribute("class", r.Class.String())
	span.SetAttribute("caller", r.Flow.ClientAddr().String())
	h.addOpen(hopKey{span: span.Context().SpanID}, span)
	return span.Context()
}

// startForward starts the hop of a request from a peer.
func (h *hopTracer) startForward(f *core.ForwardRequest) {
	if h == nil || f.Renewal {
		return
	}
	span := h.tracer.StartHop(f.Request.Trace, telemetry.HopForward)
	if !span.Recording() {
		return
	}
	span.SetAttribute("ingress", string(f.Ingress))
	f.Request.Trace = span.Context()
	h.addOpen(hopKey{span: f.Request.Trace.SpanID}, span)
}

// requestForwarded ends the hop of a request that is sent to another VM.
func (h *hopTracer) requestForwarded(f *core.ForwardRequest) {
	if h != nil {
		h.endOpen(hopKey{span: f.Request.Trace.SpanID}, "")
	}
}

// attemptSent starts the hop of an attempt that is sent to a target, or ends it when the attempt is
// withdrawn.
func (h *hopTracer) attemptSent(a *core.SendTarget, target string) {
	if h == nil || a.Attempt == core.RenewalAttempt {
		return
	}
	key := hopKey{token: a.Token}
	if a.Kind == core.SendCancel {
		h.endOpen(key, "withdrawn")
		return
	}
	h.endOpen(hopKey{span: a.Request.Trace.SpanID}, "")
	span := h.tracer.StartHop(a.Request.Trace, telemetry.HopTarget)
	if !span.Recording() {
		return
	}
	span.SetAttribute("target", target)
	h.addOpen(key, span)
}

// attemptAnswered ends the hop of an attempt that a target has answered.
func (h *hopTracer) attemptAnswered(m *core.TargetAnswer) {
	if h == nil {
		return
	}
	reason := ""
	switch m.Status {
	case core.AnswerShed:
		reason = "shed"
	case core.AnswerCancelled:
		reason = "cancelled"
	}
	h.endOpen(hopKey{token: m.Token}, reason)
}

// answerSent records the sending of an answer to a client.
func (h *hopTracer) answerSent(a *core.AnswerClient) {
	if h == nil || a.Notification {
		return
	}
	h.endOpen(hopKey{span: a.Trace.SpanID}, "")
	h.tracer.StartHop(a.Trace, telemetry.HopAnswer).End("")
}

// refusalSent records the sending of a refusal to a client.
func (h *hopTracer) refusalSent(a *core.RefuseClient) {
	if h == nil {
		return
	}
	h.endOpen(hopKey{span: a.Trace.SpanID}, a.Reason.String())
	h.tracer.StartHop(a.Trace, telemetry.HopAnswer).End(a.Reason.String())
}

// addOpen adds an open span. It first ends the spans of requests that can have no answer any more, and the
// oldest span when maxOpenHops are open.
func (h *hopTracer) addOpen(key hopKey, span telemetry.Span) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.order) >= 2*maxOpenHops {
		h.order = slices.DeleteFunc(h.order, func(hop openHop) bool {
			_, open := h.open[hop.key]
			return !open
		})
	}
	for len(h.order) > 0 && (len(h.open) >= maxOpenHops || now.Sub(h.order[0].since) > core.RequestLifetime) {
		h.endLocked(h.order[0].key, noOutcome)
		h.order = h.order[1:]
	}
	h.open[key] = span
	h.order = append(h.order, openHop{key, now})
}

// endOpen ends an open span. A key without an open span is ignored.
func (h *hopTracer) endOpen(key hopKey, reason string) {
	if key == (hopKey{}) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endLocked(key, reason)
}

// endLocked does the work of endOpen. The caller holds mu.
func (h *hopTracer) endLocked(key hopKey, reason string) {
	if span, ok := h.open[key]; ok {
		delete(h.open, key)
		span.End(reason)
	}
}

// close ends all open spans and exports the spans that are left.
func (h *hopTracer) close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	for key := range h.open {
		h.endLocked(key, noOutcome)
	}
	h.order = nil
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), traceCloseTimeout)
	defer cancel()
	if err := h.tracer.Close(ctx); err != nil {
		h.log.Warn("last spans were not exported; check traces in the settings", "error", err)
	}
}
