package coretest

import (
	"fmt"

	"github.com/mangoweir/mangoweir/core"
)

// AllClients as TraceClient traces the flows of all callers.
const AllClients = -1

// trace writes a line when an input or action concerns the traced flow.
func (w *Cluster) trace(m *machine, dir string, what any) {
	if w.Opts.Trace == nil {
		return
	}
	flow, text := w.describe(what)
	if text == "" || flow.Port == 0 {
		return
	}
	if w.Opts.TraceClient != AllClients && flow != callerKey(w.Opts.TraceClient, flow.Service) {
		return
	}
	w.Opts.Trace(fmt.Sprintf("%8.4f %s %s %s", w.now.Seconds(), m.info.Name, dir, text))
}

// describe returns the flow that an input or action concerns, and a short text.
func (w *Cluster) describe(what any) (core.FlowKey, string) {
	switch x := what.(type) {
	case core.ClientRequest:
		return x.Request.Flow, fmt.Sprintf("request %d %s", x.Request.ID.Lo, x.Request.Class)
	case core.TargetAnswer:
		return x.Flow, fmt.Sprintf("target answer %d token %x", x.Status, x.Token)
	case core.SendTarget:
		return x.Request.Flow, fmt.Sprintf("to target %s kind %d request %d %s token %x",
			w.name(x.Target), x.Kind, x.Request.ID.Lo, x.Request.Class, x.Token)
	case core.AnswerClient:
		return x.Flow, fmt.Sprintf("answer %d notification %v", x.ID.Lo, x.Notification)
	case core.RefuseClient:
		return x.Flow, fmt.Sprintf("refuse %d %s run %d come back %v", x.ID.Lo, x.Reason, x.Run, x.RetryAfter)
	case core.PeerMessage:
		flow, text := w.describeMessage(x.Msg)
		return flow, fmt.Sprintf("from %s %s", x.From, text)
	case core.SendPeer:
		flow, text := w.describeMessage(x.Msg)
		return flow, fmt.Sprintf("to %s %s", x.To, text)
	}
	return core.FlowKey{}, ""
}

// describeMessage returns the flow that a message concerns, and a short text.
func (w *Cluster) describeMessage(msg core.Message) (core.FlowKey, string) {
	switch x := msg.(type) {
	case *core.ForwardRequest:
		names := make([]string, 0, len(x.RemainingCandidates))
		for _, id := range x.RemainingCandidates {
			names = append(names, w.name(id))
		}
		return x.Request.Flow, fmt.Sprintf("forward %d %s for %s trail %v known %v cleared %v unreached %v hops %d",
			x.Request.ID.Lo, x.Request.Class, w.name(x.Target), names, x.FlowKnown, x.NoRecordElsewhere, x.OwnerUnreachable, x.Hops)
	case *core.FlowLearned:
		return x.Flow, "learned " + w.name(x.Target)
	case *core.FlowQuery:
		return x.Flow, fmt.Sprintf("query seq %d", x.Seq)
	case *core.FlowReply:
		return x.Flow, fmt.Sprintf("reply %s guess %v seq %d shard %d", w.name(x.Target), x.Unconfirmed, x.Seq, x.Shard)
	case *core.RecordStarted:
		return x.Flow, "record " + w.name(x.Target)
	case *core.RequestOutcome:
		return x.Record.Flow, fmt.Sprintf("outcome %d state %d", x.Record.ID.Lo, x.Record.State)
	case *core.HandoverChunk:
		for _, f := range x.Flows {
			if f.Flow.Port != 0 && w.callers[f.Flow] != nil && f.Flow == callerKey(w.Opts.TraceClient, f.Flow.Service) {
				return f.Flow, fmt.Sprintf("chunk of %s with flow on %s", w.name(x.Target), w.name(f.Target))
			}
		}
	}
	return core.FlowKey{}, ""
}

// traceEvent writes a line for an event that does not come with every request.
func (w *Cluster) traceEvent(m *machine, e core.Event) {
	if w.Opts.Trace == nil || !w.Opts.TraceEvents {
		return
	}
	switch e.Kind {
	case core.EventDuplicateAbsorbed, core.EventAnswerDropped, core.EventFlowPlaced, core.EventFlowRedirected:
		return
	}
	target := ""
	if e.Target != 0 {
		target = w.name(e.Target)
	}
	w.Opts.Trace(fmt.Sprintf("%8.4f %s event %s %s%s %s value %d", w.now.Seconds(), m.info.Name, e.Kind,
		e.VM, e.Zone, target, e.Value))
}
