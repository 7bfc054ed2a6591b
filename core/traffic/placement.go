package traffic

import (
	"math"
	"slices"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// locate decides about a flow that is not known at a candidate's holder. It returns the flow's new
// entry, or nil when the request went elsewhere, waits or was refused.
func (s *Shard) locate(o *owner, f *core.ForwardRequest) *flowEntry {
	flow := f.Request.Flow
	if f.Request.Method == core.MethodCancel {
		if len(f.RemainingCandidates) > 0 {
			s.passOn(f, true)
		}
		return nil
	}
	if f.FlowKnown && s.acceptsKnown(o, f) {
		if o.full() && s.now >= o.rebuildUntil {
			return s.place(o, f)
		}
		o.setFlow(flow, o.id, s.now)
		if !f.NoRecordElsewhere {
			s.doubtOthers(o, f)
		}
		if f.PeersQueried {
			o.guessed.put(flow, s.now+core.RequestLifetime)
		}
		return o.flows.get(&flow)
	}
	if f.FlowKnown {
		// The note is stale: search as if the request had just arrived.
		f.FlowKnown = false
		f.NoRecordElsewhere = true
	}
	if s.now < o.quarantineUntil {
		f.NoRecordElsewhere = false
	}
	if s.mustAsk(o) && s.askPeers(f) {
		return nil
	}
	return s.placeOrPass(o, f)
}

// acceptsKnown reports whether a flow is on this target because the sender says so: the sender is
// the owner that placed it, or a lost former holder of this target had it.
func (s *Shard) acceptsKnown(o *owner, f *core.ForwardRequest) bool {
	if f.NoRecordElsewhere || f.FlowMoved {
		return true
	}
	if s.now < o.rebuildUntil {
		if o.evicted(s.now) && !f.PeersQueried {
			// The lost former holder may have moved the flow; peers know where to.
			return false
		}
		return !o.passed.has(f.Request.Flow, s.now)
	}
	c := s.candidates(f.Request.Flow)
	return len(c) == 1 && c[0] == o.id && s.accepts(o)
}

// full reports whether the target has as many flows as it bears.
func (o *owner) full() bool {
	return o.view != nil && o.placed() >= max(o.view.Target.Connections, 1)
}

// placeOrPass sends a request of an unknown flow to the next candidate; at the last one, it places
// the flow.
func (s *Shard) placeOrPass(o *owner, f *core.ForwardRequest) *flowEntry {
	if len(f.RemainingCandidates) == 0 {
		f.RemainingCandidates = s.notAsked(o, f)
	}
	if len(f.RemainingCandidates) > 0 && f.Hops < maxHops {
		if s.mustAsk(o) && f.Request.Method != core.MethodCancel {
			// The flow is placed elsewhere now; a stale note must not bring it back here.
			o.passed.put(f.Request.Flow, o.rebuildUntil)
		}
		s.passOn(f, true)
		return nil
	}
	return s.place(o, f)
}

// notAsked returns the candidates known here that the request has not visited. This target comes
// last when it is the flow's primary.
func (s *Shard) notAsked(o *owner, f *core.ForwardRequest) []core.TargetID {
	c := s.candidates(f.Request.Flow)
	rest := slices.DeleteFunc(slices.Clone(c), func(id core.TargetID) bool {
		return id == o.id || slices.Contains(f.AskedTargets, id)
	})
	if len(rest) > 0 && c[len(c)-1] == o.id {
		rest = append(rest, o.id)
	}
	return rest
}

// place chooses the target of a new flow.
func (s *Shard) place(o *owner, f *core.ForwardRequest) *flowEntry {
	flow := f.Request.Flow
	target := o.id
	if !s.keepsLost(o, flow) {
		target = s.choose(o, flow, f.AskedTargets)
	}
	if target == 0 {
		// The flow may be placed elsewhere soon, where nobody knows of this refusal.
		r := s.newRequest(o, f)
		r.cleared = false
		s.refuseRequest(o, r, core.ReasonNoTarget)
		return nil
	}
	o.setFlow(flow, target, s.now)
	if f.OwnerUnreachable || !f.NoRecordElsewhere {
		o.unsure.put(flow, s.now+core.RequestLifetime)
	}
	if target == o.id {
		s.noteDoubt(o, f)
		s.event(core.EventFlowPlaced, target)
	} else {
		s.recent.add(target, s.now)
		s.event(core.EventFlowRedirected, target)
	}
	return o.flows.get(&flow)
}

// keepsLost reports whether an unknown flow may be one that the target's lost former holder had
// placed here. Such a flow stays on its primary: a new flow in its place costs some balance, while
// an old one that is placed by load breaks.
func (s *Shard) keepsLost(o *owner, flow core.FlowKey) bool {
	if s.now >= o.rebuildUntil || !s.accepts(o) || o.full() {
		return false
	}
	c := s.candidates(flow)
	return len(c) > 0 && c[len(c)-1] == o.id
}

// waitingAsker returns the part of a request's trail that leads back to the owner that serves the flow
// and only asks for records, or nil.
func waitingAsker(f *core.ForwardRequest) []core.TargetID {
	n := len(f.RemainingCandidates)
	if n == 0 || !slices.Contains(f.AskedTargets, f.RemainingCandidates[n-1]) {
		return nil
	}
	return f.RemainingCandidates[n-1:]
}

// redirect forwards a request of a flow that this owner placed on another target.
func (s *Shard) redirect(o *owner, target core.TargetID, f *core.ForwardRequest) {
	flow := f.Request.Flow
	sure := !f.OwnerUnreachable && s.vouches(o) && !o.unsure.has(flow, s.now) && o.doubts[flow] == nil
	moved := o.moved.has(flow, s.now)
	if !moved {
		s.send(f.Ingress, &core.FlowLearned{Flow: flow, Target: target})
	}
	f.AskedTargets = append(slices.Clone(f.AskedTargets), f.Target)
	f.Target = target
	f.RemainingCandidates = waitingAsker(f)
	f.FlowKnown = true
	f.NoRecordElsewhere = sure
	f.FlowMoved = moved || !sure
	f.Hops++
	if f.Hops > maxHops {
		s.refuseForward(f, core.ReasonOwnerUnreachable)
		return
	}
	s.dispatch(f)
}

// move places a flow elsewhere whose target gets no packets any more. Until no repetition of an
// older request can arrive, the flow's requests come here first, where the older records are.
func (s *Shard) move(o *owner, f *core.ForwardRequest) {
	flow := f.Request.Flow
	if f.Request.Method == core.MethodCancel {
		return
	}
	if e := o.flows.get(&flow); e != nil && e.target != o.id {
		// An earlier request moved the flow; choosing again would split it.
		s.redirect(o, e.target, f)
		return
	}
	target := s.choose(o, flow, f.AskedTargets)
	if target == 0 || target == o.id {
		s.refuseRequest(o, s.newRequest(o, f), core.ReasonNoTarget)
		return
	}
	o.setFlow(flow, target, s.now)
	o.moved.put(flow, s.now+core.RequestLifetime)
	s.recent.add(target, s.now)
	s.event(core.EventFlowRedirected, target)
	s.redirect(o, target, f)
}

// moveRequest sends a waiting request to the flow's new target.
func (s *Shard) moveRequest(o *owner, r *request) {
	if r.once {
		s.refuseRequest(o, r, core.ReasonTargetLost)
		return
	}
	s.finish(o, r)
	delete(o.records.m, r.key)
	f := r.forward(s)
	f.Target = o.id
	s.move(o, f)
}

// forward returns the message that hands a request to another owner.
func (r *request) forward(s *Shard) *core.ForwardRequest {
	f := &core.ForwardRequest{
		Request:           r.req,
		FlowKnown:         true,
		NoRecordElsewhere: r.cleared,
		OwnerUnreachable:  !r.cleared,
		Renewal:           r.renewal,
		KeepPlacement:     r.once,
		Ingress:           r.ingress,
		Hops:              2,
		Generation:        s.snap.Config.Generation,
	}
	f.Request.Deadline = max(r.deadline-s.now, 1)
	return f
}

// accepts reports whether the target takes new flows.
func (s *Shard) accepts(o *owner) bool {
	return o.view != nil && o.view.Accepts(s.now) && !o.ramp.draining()
}

// share is a target's part of a service's flows.
type share struct {
	id     core.TargetID
	flows  float64
	weight float64
	full   bool
}

// shares returns the load of all targets of the current set, in its order.
func (s *Shard) shares(c *serviceSets) []share {
	list := make([]share, len(c.view.Current.IDs))
	for i, id := range c.view.Current.IDs {
		list[i] = s.shareOf(id)
	}
	return list
}

// shareOf returns a target's load. A target in its cold start has a smaller weight.
func (s *Shard) shareOf(id core.TargetID) share {
	v := s.view(id)
	if v == nil || !v.Accepts(s.now) {
		return share{id: id}
	}
	flows, limit := int(v.Load.Flows)+s.recent.count(id, s.now), int(v.Load.Limit)
	if o := s.owners[id]; o != nil {
		if o.ramp.draining() {
			return share{id: id}
		}
		flows, limit = o.placed(), o.ramp.limit
	}
	slots := max(v.Target.Slots, 1)
	limit = min(max(limit, 1), slots)
	return share{
		id:     id,
		flows:  float64(flows),
		weight: v.Target.Weight * float64(limit) / float64(slots),
		full:   flows >= max(v.Target.Connections, 1),
	}
}

// choose returns the target of a new flow, or 0. It is rendezvous hashing with bounded loads: the
// best target in the flow's order whose flows do not exceed its share of the total by more than
// loadSlack, else the one that exceeds it least. The owner's own target is tried first. Targets
// that the request has visited are left out: their loads are known here with a delay.
func (s *Shard) choose(o *owner, flow core.FlowKey, not []core.TargetID) core.TargetID {
	c := s.sets[flow.Service]
	if c == nil {
		return 0
	}
	list := s.shares(c)
	flows, weight := 1.0, 0.0
	for _, x := range list {
		flows += x.flows
		weight += x.weight
	}
	if weight <= 0 {
		return 0
	}
	weights := make([]float64, len(list))
	least, leastLoad := core.TargetID(0), math.Inf(1)
	for i, x := range list {
		if x.weight <= 0 || x.full || slices.Contains(not, x.id) {
			continue
		}
		if load := (x.flows + 1) / x.weight; load < leastLoad {
			least, leastLoad = x.id, load
		}
		bound := math.Ceil(loadSlack * flows * x.weight / weight)
		if x.flows+1 > max(bound, smallLoad) {
			continue
		}
		if x.id == o.id {
			return o.id
		}
		weights[i] = x.weight
	}
	if i := rendezvous.Pick(flow.Hash(), c.current, weights); i >= 0 {
		return list[i].id
	}
	return least
}
