package telemetry

import (
	"context"

	"github.com/mangoweir/mangoweir/core"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Hop is a step of a request through the system; it names the step's span.
type Hop string

// Hops of a request.
const (
	// HopIngress: a packet from the fabric until it is answered or forwarded.
	HopIngress Hop = "ingress"
	// HopForward: a request from a peer until it is answered or forwarded.
	HopForward Hop = "forward"
	// HopTarget: an attempt at a target until its answer.
	HopTarget Hop = "target"
	// HopAnswer: the sending of an answer or refusal to the caller.
	HopAnswer Hop = "answer"
)

// Span is a hop of a traced request. The zero value belongs to a request that is not traced; its
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

// StartHop starts a span below the one that the request carries. A request that is not traced stays
// so. When traces are off here, the context passes through, so that later hops keep their trace.
func (t *Tracer) StartHop(parent core.TraceContext, hop Hop) Span {
	if t.tracer == nil || parent == (core.TraceContext{}) {
		return Span{parent: parent}
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), SpanContext(parent))
	_, span := t.tracer.Start(ctx, string(hop))
	return Span{span: span, parent: parent}
}

// Recording reports whether the span is traced here.
func (s Span) Recording() bool { return s.span != nil }

// Context returns what the request carries to the next hop.
func (s Span) Context() core.TraceContext {
	if s.span == nil {
		return s.parent
	}
	return TraceContext(s.span.SpanContext())
}

// SetAttribute attaches an attribute.
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
