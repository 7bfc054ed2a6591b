package telemetry

import (
	"context"

	"github.com/mangoweir/mangoweir/core"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Hop is a step of a request through the system. It is the name of the step's span.
type Hop string

// Hops of a request.
const (
	// HopIngress: from the arrival of a packet from the fabric until it is answered or forwarded.
	HopIngress Hop = "ingress"
	// HopForward: from the arrival of a request from a peer until it is answered or forwarded.
	HopForward Hop = "forward"
	// HopTarget: from the sending of an attempt to a target until its answer.
	HopTarget Hop = "target"
	// HopAnswer: the sending of an answer or refusal to the client.
	HopAnswer Hop = "answer"
)

// Span is a hop of a traced request. The zero value stands for a hop of a request that is not traced; its
// methods do nothing.
type Span struct {
	span   trace.Span
	parent core.TraceContext
}

// StartRoot starts the first span of a request at its ingress VM. The request is traced with the
// probability that the settings give.
func (t *Tracer) StartRoot(hop Hop) Span {
	if t.tracer == nil {
		return Span{}
	}
	_, span := t.tracer.Start(context.Background(), string(hop))
	if !span.IsRecording() {
		return Span{}
	}
	return Span{span: span}
}

// StartHop starts a child of the span that the request carries. A request that is not traced remains
// untraced. When traces are off on this VM, the request keeps its context, so that later hops belong to
// the same trace.
func (t *Tracer) StartHop(parent core.TraceContext, hop Hop) Span {
	if t.tracer == nil || parent == (core.TraceContext{}) {
		return Span{parent: parent}
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), SpanContext(parent))
	_, span := t.tracer.Start(ctx, string(hop))
	return Span{span: span, parent: parent}
}

// Recording reports whether this VM records the span.
func (s Span) Recording() bool { return s.span != nil }

// Context returns the trace context that the request carries to the next hop.
func (s Span) Context() core.TraceContext {
	if s.span == nil {
		return s.parent
	}
	return TraceContext(s.span.SpanContext())
}

// SetAttribute adds an attribute to the span.
func (s Span) SetAttribute(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span. A reason that is not empty marks it as failed.
func (s Span) End(reason string) {
	if s.span == nil {
		return
	}
	if reason != "" {
		s.span.SetStatus(codes.Error, reason)
	}
	s.span.End()
}
