package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// remoteRequests are the requests that the former holder has in flight after a handover.
type remoteRequests struct {
	m     map[reqKey]remoteRequest
	flows map[core.FlowKey]int
	order []reqKey
}

type remoteRequest struct {
	// slots is the number of attempts without a verdict.
	slots int
	until time.Duration
}

func newRemoteRequests() remoteRequests {
	return remoteRequests{m: map[reqKey]remoteRequest{}, flows: map[core.FlowKey]int{}}
}

func (t *remoteRequests) has(k reqKey) bool { return t.m[k].slots > 0 }

// flowBusy reports whether the former holder has a request of the flow in flight. The target sends
// its answers to the VM that last sent something for the caller, so the flow's next request waits.
func (t *remoteRequests) flowBusy(k core.FlowKey) bool { return t.flows[k] > 0 }

// add notes an attempt of the former holder.
func (t *remoteRequests) add(k reqKey, until time.Duration) {
	v, ok := t.m[k]
	if !ok {
		t.order = append(t.order, k)
		t.flows[k.flow]++
	}
	t.m[k] = remoteRequest{slots: v.slots + 1, until: max(v.until, until)}
}

// remove ends n attempts of a request and returns how many there were.
func (t *remoteRequests) remove(k reqKey, n int) int {
	v, ok := t.m[k]
	if !ok {
		return 0
	}
	n = min(n, v.slots)
	v.slots -= n
	if v.slots > 0 {
		t.m[k] = v
		return n
	}
	delete(t.m, k)
	t.flows[k.flow]--
	if t.flows[k.flow] == 0 {
		delete(t.flows, k.flow)
	}
	t.order = compact(t.order, func(x reqKey) bool { return x != k })
	return n
}

// expireRemote gives up requests whose outcome the former holder did not report.
func (s *Shard) expireRemote(o *owner) {
	var over []reqKey
	for _, k := range o.remote.order {
		if s.now >= o.remote.m[k].until {
			over = append(over, k)
		}
	}
	for _, k := range over {
		o.inFlight -= o.remote.remove(k, o.remote.m[k].slots)
		if rec := o.records.get(k); rec != nil && rec.state == core.RecordSent {
			s.setRecord(o, k, s.unknownRecord())
		}
	}
}

// unknownRecord is the record of a request whose outcome nobody reports.
func (s *Shard) unknownRecord() record {
	return record{
		state:      core.RecordUnknown,
		reason:     core.ReasonTargetLost,
		comeBackAt: s.now + minComeBack,
	}
}

// onOutcome takes over the end of an attempt that the former holder had in flight.
func (s *Shard) onOutcome(m *core.RequestOutcome) {
	o := s.holdingOf(m.Target, m.FencingToken)
	if o == nil {
		return
	}
	k := reqKey{m.Record.Flow, m.Record.ID}
	o.inFlight -= o.remote.remove(k, 1)
	if o.handover != nil || o.to != "" {
		s.relayOutcome(o, *m)
	}
	switch {
	case m.Idempotent:
	case m.Record.State == core.RecordQueued:
		// The target shed it; the former holder forwards it.
		delete(o.records.m, k)
	case m.Record.State == core.RecordSent:
		s.setRecord(o, k, s.unknownRecord())
	default:
		s.setRecord(o, k, s.recordFrom(&m.Record))
	}
	s.pump(o)
}

// holdingOf returns the present or former owner that held a target under a number, or nil.
func (s *Shard) holdingOf(id core.TargetID, number core.FencingToken) *owner {
	if o := s.owners[id]; o != nil && o.number == number {
		return o
	}
	for _, o := range s.former {
		if o.id == id && o.number == number {
			return o
		}
	}
	return nil
}

// relayOutcome tells the next holder about an attempt of the one before this VM.
func (s *Shard) relayOutcome(o *owner, m core.RequestOutcome) {
	if h := o.handover; h != nil {
		m.FencingToken = h.number
		h.outcomes = append(h.outcomes, &m)
		return
	}
	m.FencingToken = o.toNumber
	s.send(o.to, &m)
}

// recordFrom converts a record of another VM.
func (s *Shard) recordFrom(m *core.RequestRecord) record {
	rec := s.unknownRecord()
	rec.state = m.State
	rec.until = s.now + min(m.TTL, core.RequestLifetime)
	rec.answer = m.Answer
	if m.State == core.RecordNotRun {
		rec.reason = core.ReasonOverload
	}
	return rec
}
