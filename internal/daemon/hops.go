package daemon

import "github.com/mangoweir/mangoweir/core"

// hops starts and ends a span for each hop of a request. A nil tracer records nothing.
type hops struct{}

// ingress returns the trace context of a request that enters the system here.
func (h *hops) ingress(*core.Request) core.TraceContext { return core.TraceContext{} }

// forward records that a request goes to another VM.
func (h *hops) forward(*core.ForwardRequest) {}

// toTarget records that an attempt goes to a target.
func (h *hops) toTarget(*core.SendTarget) {}

// answer records that an answer goes to a caller.
func (h *hops) answer(*core.AnswerCaller) {}

// refuse records that a refusal goes to a caller.
func (h *hops) refuse(*core.RefuseCaller) {}
