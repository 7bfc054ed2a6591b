package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// remoteRequests are the requests that the previous owner has in flight after a handover.
type remoteRequests struct {
	byKey   map[requestKey]remoteRequest
	perFlow map[core.FlowKey]int
	order   []requestKey
}

type remoteRequest struct {
	// slots is the number of attempts without a result.
	slots int
	until time.Duration
}

func newRemoteRequests() remoteRequests {
	return remoteRequests{byKey: map[requestKey]remoteRequest{}, perFlow: map[core.FlowKey]int{}}
}

func (t *remoteRequests) has(k requestKey) bool { return t.byKey[k].slots > 0 }

// flowBusy reports whether the previous owner has a request of the flow in flight. The target sends
// its answers to the VM that last sent something for the client, so the flow's next request waits.
func (t *remoteRequests) flowBusy(k core.FlowKey) bool { return t.perFlow[k] > 0 }

// add records an attempt of the previous owner.
func (t *remoteRequests) add(k requestKey, until time.Duration) {
	entry, ok := t.byKey[k]
	if !ok {
		t.order = append(t.order, k)
		t.perFlow[k.flow]++
	}
	t.byKey[k] = remoteRequest{slots: entry.slots + 1, until: max(entry.until, until)}
}

// remove ends at most n attempts of a request and returns the number of ended ones.
func (t *remoteRequests) remove(k requestKey, n int) int {
	entry, ok := t.byKey[k]
	if !ok {
		return 0
	}
	n = min(n, entry.slots)
	entry.slots -= n
	if entry.slots > 0 {
		t.byKey[k] = entry
		return n
	}
	delete(t.byKey, k)
	t.perFlow[k.flow]--
	if t.perFlow[k.flow] == 0 {
		delete(t.perFlow, k.flow)
	}
	t.order = compact(t.order, func(x requestKey) bool { return x != k })
	return n
}

// expireRemote ends requests whose outcome the previous owner did not report in time.
func (s *Shard) expireRemote(o *ownedTarget) {
	var expired []requestKey
	for _, k := range o.remote.order {
		if s.now >= o.remote.byKey[k].until {
			expired = append(expired, k)
		}
	}
	for _, k := range expired {
		o.inFlight -= o.remote.remove(k, o.remote.byKey[k].slots)
		if rec := o.records.get(k); rec != nil && rec.state == core.RecordSent {
			s.setRecord(o, k, s.unknownRecord())
		}
	}
}

// unknownRecord returns the record of a request whose outcome no VM reports.
func (s *Shard) unknownRecord() record {
	return record{
		state:   core.RecordUnknown,
		reason:  core.ReasonTargetLost,
		retryAt: s.now + minRetryAfter,
	}
}

// onRequestOutcome handles the end of an attempt that the previous owner had in flight.
func (s *Shard) onRequestOutcome(m *core.RequestOutcome) {
	o := s.ownershipOf(m.Target, m.FencingToken)
	if o == nil {
		return
	}
	k := requestKey{m.Record.Flow, m.Record.ID}
	o.inFlight -= o.remote.remove(k, 1)
	if o.handover != nil || o.handedTo != "" {
		s.relayOutcome(o, *m)
	}
	switch {
	case m.Idempotent:
	case m.Record.State == core.RecordQueued:
		// The target shed it; the previous owner forwards it.
		delete(o.records.byKey, k)
	case m.Record.State == core.RecordSent:
		s.setRecord(o, k, s.unknownRecord())
	default:
		s.setRecord(o, k, s.recordFrom(&m.Record))
	}
	s.sendQueued(o)
}

// ownershipOf returns the state of a target that this shard owns or owned with a fencing token, or
// nil.
func (s *Shard) ownershipOf(id core.TargetID, token core.FencingToken) *ownedTarget {
	if o := s.owned[id]; o != nil && o.fencingToken == token {
		return o
	}
	for _, o := range s.released {
		if o.id == id && o.fencingToken == token {
			return o
		}
	}
	return nil
}

// relayOutcome reports the end of an attempt of the previous owner to the next one.
func (s *Shard) relayOutcome(o *ownedTarget, m core.RequestOutcome) {
	if h := o.handover; h != nil {
		m.FencingToken = h.fencingToken
		h.outcomes = append(h.outcomes, &m)
		return
	}
	m.FencingToken = o.handedToToken
	s.send(o.handedTo, &m)
}

// recordFrom converts a record of another VM.
func (s *Shard) recordFrom(m *core.RequestRecord) record {
	rec := s.unknownRecord()
	rec.state = m.State
	rec.expiresAt = s.now + min(m.TTL, core.RequestLifetime)
	rec.answer = m.Answer
	if m.State == core.RecordNotRun {
		rec.reason = core.ReasonOverload
	}
	return rec
}
