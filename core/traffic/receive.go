package traffic

import (
	"slices"

	"github.com/mangoweir/mangoweir/core"
)

// onHandoverBegin starts to receive a target's state.
func (s *Shard) onHandoverBegin(from core.VMName, m *core.HandoverBegin) {
	if o := s.owners[m.Target]; o != nil && o.number >= m.FencingToken {
		return
	}
	if in := s.incoming[m.Target]; in != nil && in.begin.FencingToken > m.FencingToken {
		return
	}
	s.incoming[m.Target] = &handoverIn{from: from, begin: *m, since: s.now}
}

func (s *Shard) onHandoverChunk(from core.VMName, m *core.HandoverChunk) {
	in := s.incoming[m.Target]
	if in != nil && in.from == from && in.begin.FencingToken == m.FencingToken {
		in.chunks = append(in.chunks, m)
	}
}

// onHandoverEnd starts to hold the target when its state is complete.
func (s *Shard) onHandoverEnd(from core.VMName, m *core.HandoverEnd) {
	ack := &core.HandoverAck{Target: m.Target, FencingToken: m.FencingToken}
	if o := s.owners[m.Target]; o != nil && o.number >= m.FencingToken {
		// The confirmation was lost, or this VM holds the target under a higher number.
		ack.OK = o.receivedFrom == from && o.number == m.FencingToken
		s.send(from, ack)
		return
	}
	in := s.incoming[m.Target]
	ok := in != nil && in.from == from && in.begin.FencingToken == m.FencingToken
	ok = ok && uint32(len(in.chunks)) == m.Chunks && s.snap != nil && !s.stopped && !s.snap.Leaving
	delete(s.incoming, m.Target)
	if !ok {
		s.send(from, ack)
		return
	}
	s.receive(in)
	ack.OK = true
	s.send(from, ack)
	s.retryParked()
}

// receive installs a target's state.
func (s *Shard) receive(in *handoverIn) {
	b := &in.begin
	o := s.newOwner(b.Target, b.FencingToken)
	o.receivedFrom = in.from
	o.ramp.limit = max(int(b.Limit), 1)
	if o.view != nil {
		o.ramp.limit = min(o.ramp.limit, o.ramp.capacity())
		s.inherit(o.view.Target.Service, b.PreviousSets)
	}
	o.ramp.cold = b.Cold
	o.ramp.stepAt = s.now - b.SinceRampStep
	o.ramp.boot = b.BootID
	o.inheritedUntil = s.now + b.QuarantineLeft
	o.quarantineUntil = o.inheritedUntil
	o.formerUntil = s.now + b.PreviousOwnerLeft
	o.formerCold = b.Cold
	o.rebuildUntil = s.now + b.RecoveryLeft
	for _, c := range in.chunks {
		s.receiveChunk(o, c)
	}
	if held := s.owners[o.id]; held != nil {
		s.keepState(o, held)
	}
	delete(s.backups, o.id)
	s.install(o)
	s.event(core.EventHandoverDone, o.id)
	s.queueRenewals(o)
	s.pump(o)
}

// keepState keeps what this shard knows about a target that it holds already, when another VM hands
// the target over that held it as well, cut off from this one. The sender's view of flows that this
// shard served meanwhile is older.
func (s *Shard) keepState(o, held *owner) {
	held.flows.all(func(e *flowEntry) { o.setFlow(e.key, e.target, s.now-e.idle(s.now)) })
	for _, k := range held.records.order.all() {
		if rec := held.records.get(k); rec != nil {
			s.setRecord(o, k, *rec)
		}
	}
	for _, k := range held.moved.order.all() {
		o.moved.put(k, held.moved.m[k])
	}
	for _, k := range held.unsure.order.all() {
		o.unsure.put(k, held.unsure.m[k])
	}
	o.quarantineUntil = max(o.quarantineUntil, held.quarantineUntil)
	o.inheritedUntil = max(o.inheritedUntil, held.inheritedUntil)
}

func (s *Shard) receiveChunk(o *owner, c *core.HandoverChunk) {
	for i := range c.Flows {
		s.receiveFlow(o, &c.Flows[i])
	}
	for i := range c.Records {
		m := &c.Records[i]
		k := reqKey{m.Flow, m.ID}
		if m.Idempotent {
			o.remote.add(k, s.now+m.TTL)
			o.inFlight++
			continue
		}
		s.setRecord(o, k, s.recordFrom(m))
	}
}

func (s *Shard) receiveFlow(o *owner, f *core.FlowState) {
	o.setFlow(f.Flow, f.Target, s.now-f.Idle)
	if f.RetransmissionWindow > 0 {
		table := &o.unsure
		if f.Target != o.id {
			table = &o.moved
		}
		table.put(f.Flow, s.now+f.RetransmissionWindow)
	}
	if f.MayBeElsewhere {
		o.doubts[f.Flow] = &doubt{peers: true, ask: slices.DeleteFunc(s.candidates(f.Flow), func(id core.TargetID) bool {
			return id == o.id
		})}
	}
	if f.Feed == nil {
		return
	}
	o.feeds.put(&feed{o: o, req: *f.Feed, token: f.FeedToken, seen: s.now - f.Idle, renew: true, renewAt: s.now})
}

func (s *Shard) expireIncoming() {
	for id, in := range s.incoming {
		if s.now-in.since > incomingTime {
			delete(s.incoming, id)
		}
	}
}
