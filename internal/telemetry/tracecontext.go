package telemetry

import (
	"github.com/mangoweir/mangoweir/core"
	"go.opentelemetry.io/otel/trace"
)

// SpanContext converts the trace context of a request to a remote, sampled span context. A request that is
// not sampled carries no trace context; the result is then not valid.
func SpanContext(t core.TraceContext) trace.SpanContext {
	if t == (core.TraceContext{}) {
		return trace.SpanContext{}
	}
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    t.TraceID,
		SpanID:     t.SpanID,
		TraceFlags: trace.FlagsSampled,
		Remote:     true,
	})
}

// TraceContext converts a span context to the trace context of a request. It is zero when the span
// context is not sampled or not valid.
func TraceContext(sc trace.SpanContext) core.TraceContext {
	if !sc.IsValid() || !sc.IsSampled() {
		return core.TraceContext{}
	}
	return core.TraceContext{TraceID: sc.TraceID(), SpanID: sc.SpanID()}
}
