package coretest

import (
	"fmt"

	"github.com/mangoweir/mangoweir/core"
)

// AllClients is the TraceClient that traces the flows of all clients.
const AllClients = -1

// trace passes a line to Opts.Trace when an input or action concerns the traced flow.
func (c *Cluster) trace(m *machine, direction string, value any) {
	if c.Opts.Trace == nil {
		return
	}
	flow, text := c.describe(value)
	if text == "" || flow.Port == 0 {
		return
	}
	if c.Opts.TraceClient != AllClients && flow != clientKey(c.Opts.TraceClient, flow.Service) {
		return
	}
	c.Opts.Trace(fmt.Sprintf("%8.4f %s %s %s", c.now.Seconds(), m.info.Name, direction, text))
}

// describe returns the flow that an input or action concerns, and a short description.
func (c *Cluster) describe(value any) (core.FlowKey, string) {
	switch v := value.(type) {
	case core.ClientRequest:
		return v.Request.Flow, fmt.Sprintf("request %d %s", v.Request.ID.Lo, v.Request.Class)
	case core.TargetAnswer:
		return v.Flow, fmt.Sprintf("target answer %d token %x", v.Status, v.Token)
	case core.SendTarget:
		return v.Request.Flow, fmt.Sprintf("to target %s kind %d request %d %s token %x",
			c.targetName(v.Target), v.Kind, v.Request.ID.Lo, v.Request.Class, v.Token)
	case core.AnswerClient:
		return v.Flow, fmt.Sprintf("answer %d notification %v", v.ID.Lo, v.Notification)
	case core.RefuseClient:
		return v.Flow, fmt.Sprintf("refuse %d %s run %d retry after %v", v.ID.Lo, v.Reason, v.Run, v.RetryAfter)
	case core.PeerMessage:
		flow, text := c.describeMessage(v.Msg)
		return flow, fmt.Sprintf("from %s %s", v.From, text)
	case core.SendPeer:
		flow, text := c.describeMessage(v.Msg)
		return flow, fmt.Sprintf("to %s %s", v.To, text)
	}
	return core.FlowKey{}, ""
}

// describeMessage returns the flow that a message concerns, and a short description.
func (c *Cluster) describeMessage(msg core.Message) (core.FlowKey, string) {
	switch m := msg.(type) {
	case *core.ForwardRequest:
		names := make([]string, 0, len(m.RemainingCandidates))
		for _, id := range m.RemainingCandidates {
			names = append(names, c.targetName(id))
		}
		return m.Request.Flow, fmt.Sprintf(
			"forward %d %s for %s candidates %v known %v no record elsewhere %v unreachable %v hops %d",
			m.Request.ID.Lo, m.Request.Class, c.targetName(m.Target), names, m.FlowKnown, m.NoRecordElsewhere,
			m.OwnerUnreachable, m.Hops)
	case *core.FlowLearned:
		return m.Flow, "learned " + c.targetName(m.Target)
	case *core.FlowQuery:
		return m.Flow, fmt.Sprintf("query seq %d", m.Seq)
	case *core.FlowReply:
		return m.Flow, fmt.Sprintf("reply %s unconfirmed %v seq %d shard %d", c.targetName(m.Target),
			m.Unconfirmed, m.Seq, m.Shard)
	case *core.RecordStarted:
		return m.Flow, "record " + c.targetName(m.Target)
	case *core.RequestOutcome:
		return m.Record.Flow, fmt.Sprintf("outcome %d state %d", m.Record.ID.Lo, m.Record.State)
	case *core.HandoverChunk:
		for _, f := range m.Flows {
			if f.Flow.Port != 0 && c.clients[f.Flow] != nil && f.Flow == clientKey(c.Opts.TraceClient, f.Flow.Service) {
				return f.Flow, fmt.Sprintf("chunk of %s with flow on %s", c.targetName(m.Target), c.targetName(f.Target))
			}
		}
	}
	return core.FlowKey{}, ""
}

// traceEvent passes a line to Opts.Trace for an event, unless its kind can occur with every request.
func (c *Cluster) traceEvent(m *machine, e core.Event) {
	if c.Opts.Trace == nil || !c.Opts.TraceEvents {
		return
	}
	switch e.Kind {
	case core.EventDuplicateAbsorbed, core.EventAnswerDropped, core.EventFlowPlaced, core.EventFlowRedirected:
		return
	}
	target := ""
	if e.Target != 0 {
		target = c.targetName(e.Target)
	}
	c.Opts.Trace(fmt.Sprintf("%8.4f %s event %s %s%s %s value %d", c.now.Seconds(), m.info.Name, e.Kind,
		e.VM, e.Zone, target, e.Value))
}
