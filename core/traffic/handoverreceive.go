package traffic

import (
	"slices"

	"github.com/mangoweir/mangoweir/core"
)

// onHandoverBegin starts to receive a target's state.
func (s *Shard) onHandoverBegin(from core.VMName, m *core.HandoverBegin) {
	if o := s.owned[m.Target]; o != nil && o.fencingToken >= m.FencingToken {
		return
	}
	if in := s.incomingHandovers[m.Target]; in != nil && in.begin.FencingToken > m.FencingToken {
		return
	}
	s.incomingHandovers[m.Target] = &incomingHandover{from: from, begin: *m, startedAt: s.now}
}

func (s *Shard) onHandoverChunk(from core.VMName, m *core.HandoverChunk) {
	in := s.incomingHandovers[m.Target]
	if in != nil && in.from == from && in.begin.FencingToken == m.FencingToken {
		in.chunks = append(in.chunks, m)
	}
}

// onHandoverEnd starts to own the target when its state is complete.
func (s *Shard) onHandoverEnd(from core.VMName, m *core.HandoverEnd) {
	ack := &core.HandoverAck{Target: m.Target, FencingToken: m.FencingToken}
	if o := s.owned[m.Target]; o != nil && o.fencingToken >= m.FencingToken {
		// The confirmation was lost, or this VM owns the target with a higher fencing token.
		ack.OK = o.receivedFrom == from && o.fencingToken == m.FencingToken
		s.send(from, ack)
		return
	}
	in := s.incomingHandovers[m.Target]
	ok := in != nil && in.from == from && in.begin.FencingToken == m.FencingToken
	ok = ok && uint32(len(in.chunks)) == m.Chunks && s.snapshot != nil && !s.stopping && !s.snapshot.Leaving
	delete(s.incomingHandovers, m.Target)
	if !ok {
		s.send(from, ack)
		return
	}
	s.receiveHandover(in)
	ack.OK = true
	s.send(from, ack)
	s.retryDeferred()
}

// receiveHandover installs a target's state.
func (s *Shard) receiveHandover(in *incomingHandover) {
	begin := &in.begin
	o := s.newOwnedTarget(begin.Target, begin.FencingToken)
	o.receivedFrom = in.from
	o.admission.limit = max(int(begin.Limit), 1)
	if o.snapshot != nil {
		o.admission.limit = min(o.admission.limit, o.admission.capacity())
		s.addHandoverSets(o.snapshot.Target.Service, begin.PreviousSets)
	}
	o.admission.cold = begin.Cold
	o.admission.stepAt = s.now - begin.SinceRampStep
	o.admission.bootID = begin.BootID
	o.handoverQuarantineUntil = s.now + begin.QuarantineLeft
	o.quarantineUntil = o.handoverQuarantineUntil
	o.previousOwnerUntil = s.now + begin.PreviousOwnerLeft
	o.previousOwnerCold = begin.Cold
	o.recoveryUntil = s.now + begin.RecoveryLeft
	for _, c := range in.chunks {
		s.receiveChunk(o, c)
	}
	if own := s.owned[o.id]; own != nil {
		s.keepOwnState(o, own)
	}
	delete(s.backupCopies, o.id)
	s.startOwning(o)
	s.emitEvent(core.EventHandoverDone, o.id)
	s.queueRenewals(o)
	s.sendQueued(o)
}

// keepOwnState keeps the state of a target that this shard already owns when another VM hands the
// target over. That VM owned it as well while it was cut off from this one, so its state of flows
// that this shard served meanwhile is older.
func (s *Shard) keepOwnState(o, own *ownedTarget) {
	own.flows.visitAll(func(e *flowEntry) { o.setFlow(e.key, e.target, s.now-e.idleTime(s.now)) })
	for _, k := range own.records.order.all() {
		if rec := own.records.get(k); rec != nil {
			s.setRecord(o, k, *rec)
		}
	}
	for _, k := range own.movedAway.order.all() {
		o.movedAway.put(k, own.movedAway.expiresAt[k])
	}
	for _, k := range own.recordsElsewhere.order.all() {
		o.recordsElsewhere.put(k, own.recordsElsewhere.expiresAt[k])
	}
	o.quarantineUntil = max(o.quarantineUntil, own.quarantineUntil)
	o.handoverQuarantineUntil = max(o.handoverQuarantineUntil, own.handoverQuarantineUntil)
}

func (s *Shard) receiveChunk(o *ownedTarget, chunk *core.HandoverChunk) {
	for i := range chunk.Flows {
		s.receiveFlow(o, &chunk.Flows[i])
	}
	for i := range chunk.Records {
		m := &chunk.Records[i]
		k := requestKey{m.Flow, m.ID}
		if m.Idempotent {
			o.remote.add(k, s.now+m.TTL)
			o.inFlight++
			continue
		}
		s.setRecord(o, k, s.recordFrom(m))
	}
}

func (s *Shard) receiveFlow(o *ownedTarget, f *core.FlowState) {
	o.setFlow(f.Flow, f.Target, s.now-f.Idle)
	if f.RetransmissionWindow > 0 {
		table := &o.recordsElsewhere
		if f.Target != o.id {
			table = &o.movedAway
		}
		table.put(f.Flow, s.now+f.RetransmissionWindow)
	}
	if f.MayBeElsewhere {
		o.unconfirmed[f.Flow] = &unconfirmedPlacement{askPeers: true, candidates: slices.DeleteFunc(s.candidates(f.Flow), func(id core.TargetID) bool {
			return id == o.id
		})}
	}
	if f.Feed == nil {
		return
	}
	o.feeds.put(&feed{target: o, req: *f.Feed, token: f.FeedToken, lastMessageAt: s.now - f.Idle, needsRenewal: true, renewAt: s.now})
}

func (s *Shard) expireIncoming() {
	for id, in := range s.incomingHandovers {
		if s.now-in.startedAt > incomingHandoverWait {
			delete(s.incomingHandovers, id)
		}
	}
}
