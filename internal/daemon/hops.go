package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/settings"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

const (
	// maxOpenHops bounds the spans that wait for their end; at about 500 bytes each they take 4 MB.
	maxOpenHops = 8192
	// closeTraces bounds the export of the last spans when the VM ends.
	closeTraces = 2 * time.Second
	// noOutcome marks a hop after which this VM saw nothing, such as an absorbed repetition.
	noOutcome = "no outcome seen"
)

// hops starts and ends a span for each hop of a request. Nil when traces are off: its methods then
// do nothing and the trace contexts of other VMs pass through. Safe for concurrent use.
//
// An open ingress or forward hop is found by the span id that its request carries, an open target
// hop by the token of its attempt. Notifications and renewals of feeds have no hops, as a feed would
// add spans to its trace for hours.
type hops struct {
	tracer *telemetry.Tracer
	log    *slog.Logger
	mu     sync.Mutex
	open   map[hopKey]telemetry.Span
	// order lists the open hops by age; entries of ended ones are skipped.
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

// newHops returns nil when the settings name no place for traces. Errors are those of
// telemetry.NewTracer.
func newHops(st *settings.Settings, log *slog.Logger) (*hops, error) {
	if st.Traces.File == "" && st.Traces.OTLP == "" {
		return nil, nil
	}
	tracer, err := telemetry.NewTracer(telemetry.TraceSettings{
		File: st.Traces.File, Endpoint: st.Traces.OTLP, Ratio: st.Traces.Ratio, VM: st.Name, Zone: st.Zone,
	}, log)
	if err != nil {
		return nil, err
	}
	return &hops{tracer: tracer, log: log, open: map[hopKey]telemetry.Span{}}, nil
}

// ingress returns the trace context of a request that enters the system here.
func (h *hops) ingress(r *core.Request) core.TraceContext {
	if h == nil {
		return core.TraceContext{}
	}
	span := h.tracer.StartRoot(telemetry.HopIngress)
	if !span.Recording() {
		return core.TraceContext{}
	}
	span.SetAttribute("class", r.Class.String())
	span.SetAttribute("caller", r.Flow.ClientAddr().String())
	h.begin(hopKey{span: span.Context().SpanID}, span)
	return span.Context()
}

// received starts the hop of a request that came from a peer.
func (h *hops) received(f *core.ForwardRequest) {
	if h == nil || f.Renewal {
		return
	}
	span := h.tracer.StartHop(f.Request.Trace, telemetry.HopForward)
	if !span.Recording() {
		return
	}
	span.SetAttribute("ingress", string(f.Ingress))
	f.Request.Trace = span.Context()
	h.begin(hopKey{span: f.Request.Trace.SpanID}, span)
}

// forward records that a request goes to another VM.
func (h *hops) forward(f *core.ForwardRequest) {
	if h != nil {
		h.end(hopKey{span: f.Request.Trace.SpanID}, "")
	}
}

// toTarget records that an attempt goes to a target, or that it is withdrawn.
func (h *hops) toTarget(a *core.SendTarget, target string) {
	if h == nil || a.Attempt == core.RenewalAttempt {
		return
	}
	key := hopKey{token: a.Token}
	if a.Kind == core.SendCancel {
		h.end(key, "withdrawn")
		return
	}
	h.end(hopKey{span: a.Request.Trace.SpanID}, "")
	span := h.tracer.StartHop(a.Request.Trace, telemetry.HopTarget)
	if !span.Recording() {
		return
	}
	span.SetAttribute("target", target)
	h.begin(key, span)
}

// fromTarget records that a target answered an attempt.
func (h *hops) fromTarget(m *core.TargetAnswer) {
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
	h.end(hopKey{token: m.Token}, reason)
}

// answer records that an answer goes to a caller.
func (h *hops) answer(a *core.AnswerClient) {
	if h == nil || a.Notification {
		return
	}
	h.end(hopKey{span: a.Trace.SpanID}, "")
	h.tracer.StartHop(a.Trace, telemetry.HopAnswer).End("")
}

// refuse records that a refusal goes to a caller.
func (h *hops) refuse(a *core.RefuseClient) {
	if h == nil {
		return
	}
	h.end(hopKey{span: a.Trace.SpanID}, a.Reason.String())
	h.tracer.StartHop(a.Trace, telemetry.HopAnswer).End(a.Reason.String())
}

// begin keeps a span until its end. It ends the spans of requests that can have no answer any more,
// and the oldest one when there are too many.
func (h *hops) begin(key hopKey, span telemetry.Span) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.order) > 0 && (len(h.order) >= maxOpenHops || now.Sub(h.order[0].since) > core.RequestLifetime) {
		h.remove(h.order[0].key, noOutcome)
		h.order = h.order[1:]
	}
	h.open[key] = span
	h.order = append(h.order, openHop{key, now})
}

// end ends an open span; other keys are ignored.
func (h *hops) end(key hopKey, reason string) {
	if key == (hopKey{}) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(key, reason)
}

// remove ends an open span. The caller holds mu.
func (h *hops) remove(key hopKey, reason string) {
	if span, ok := h.open[key]; ok {
		delete(h.open, key)
		span.End(reason)
	}
}

// close ends all spans and exports them.
func (h *hops) close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	for key := range h.open {
		h.remove(key, noOutcome)
	}
	h.order = nil
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTraces)
	defer cancel()
	if err := h.tracer.Close(ctx); err != nil {
		h.log.Warn("Last spans were not exported; check traces in the settings.", "error", err)
	}
}
