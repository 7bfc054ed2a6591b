package traffic

import (
	"math"
	"slices"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// locateFlow decides about a flow that has no entry at a candidate's owner. It returns the flow's
// new entry, or nil when the request was forwarded, waits or was refused.
func (s *Shard) locateFlow(o *ownedTarget, f *core.ForwardRequest) *flowEntry {
	flow := f.Request.Flow
	if f.Request.Method == core.MethodCancel {
		if len(f.RemainingCandidates) > 0 {
			s.tryNextCandidate(f, true)
		}
		return nil
	}
	if f.FlowKnown && s.acceptsClaim(o, f) {
		if o.flowsFull() && s.now >= o.recoveryUntil {
			return s.placeFlow(o, f)
		}
		o.setFlow(flow, o.id, s.now)
		if !f.NoRecordElsewhere {
			s.markClaim(o, f)
		}
		if f.PeersQueried {
			o.placedAfterQuery.put(flow, s.now+core.RequestLifetime)
		}
		return o.flows.get(&flow)
	}
	if f.FlowKnown {
		// The sender's entry is stale: search as if the request had just arrived.
		f.FlowKnown = false
		f.NoRecordElsewhere = true
	}
	if s.now < o.quarantineUntil {
		f.NoRecordElsewhere = false
	}
	if s.mustQueryPeers(o) && s.queryPeers(f) {
		return nil
	}
	return s.placeOrTryNext(o, f)
}

// acceptsClaim reports whether the sender's claim that a flow is on this target is accepted: the
// sender is the owner that placed the flow, the lost previous owner of this target may have had it,
// or this target is the flow's only candidate and accepts new flows.
func (s *Shard) acceptsClaim(o *ownedTarget, f *core.ForwardRequest) bool {
	if f.NoRecordElsewhere || f.FlowMoved {
		return true
	}
	if s.now < o.recoveryUntil {
		if o.outOfService(s.now) && !f.PeersQueried {
			// The lost previous owner may have moved the flow; peers have entries of its new
			// target.
			return false
		}
		return !o.passedOn.has(f.Request.Flow, s.now)
	}
	c := s.candidates(f.Request.Flow)
	return len(c) == 1 && c[0] == o.id && s.acceptsNewFlows(o)
}

// flowsFull reports whether the target has as many flows as it can handle.
func (o *ownedTarget) flowsFull() bool {
	return o.snapshot != nil && o.placedFlows() >= max(o.snapshot.Target.Connections, 1)
}

// placeOrTryNext sends a request of an unknown flow to the next candidate; at the last one, it places
// the flow.
func (s *Shard) placeOrTryNext(o *ownedTarget, f *core.ForwardRequest) *flowEntry {
	if len(f.RemainingCandidates) == 0 {
		f.RemainingCandidates = s.unaskedCandidates(o, f)
	}
	if len(f.RemainingCandidates) > 0 && f.Hops < maxHops {
		if s.mustQueryPeers(o) && f.Request.Method != core.MethodCancel {
			// The flow is placed elsewhere now; a stale entry must not bring it back here.
			o.passedOn.put(f.Request.Flow, o.recoveryUntil)
		}
		s.tryNextCandidate(f, true)
		return nil
	}
	return s.placeFlow(o, f)
}

// unaskedCandidates returns the candidates according to this VM that the request has not visited.
// This target comes last when it is the flow's primary.
func (s *Shard) unaskedCandidates(o *ownedTarget, f *core.ForwardRequest) []core.TargetID {
	candidates := s.candidates(f.Request.Flow)
	rest := slices.DeleteFunc(slices.Clone(candidates), func(id core.TargetID) bool {
		return id == o.id || slices.Contains(f.AskedTargets, id)
	})
	if len(rest) > 0 && candidates[len(candidates)-1] == o.id {
		rest = append(rest, o.id)
	}
	return rest
}

// placeFlow chooses the target of a new flow.
func (s *Shard) placeFlow(o *ownedTarget, f *core.ForwardRequest) *flowEntry {
	flow := f.Request.Flow
	target := o.id
	if !s.keepsOnPrimary(o, flow) {
		target = s.chooseTarget(o, flow, f.AskedTargets)
	}
	if target == 0 {
		// The flow may be placed soon by another owner, which has no record of this refusal.
		r := s.newRequest(o, f)
		r.noRecordElsewhere = false
		s.refuseRequest(o, r, core.ReasonNoTarget)
		return nil
	}
	o.setFlow(flow, target, s.now)
	if f.OwnerUnreachable || !f.NoRecordElsewhere {
		o.recordsElsewhere.put(flow, s.now+core.RequestLifetime)
	}
	if target == o.id {
		s.markPlacement(o, f)
		s.emitEvent(core.EventFlowPlaced, target)
	} else {
		s.recentPlacements.add(target, s.now)
		s.emitEvent(core.EventFlowRedirected, target)
	}
	return o.flows.get(&flow)
}

// keepsOnPrimary reports whether an unknown flow may be one that the target's lost previous owner
// had placed here. Such a flow stays on its primary: keeping a new flow there costs some balance,
// while placing an old one by load breaks it.
func (s *Shard) keepsOnPrimary(o *ownedTarget, flow core.FlowKey) bool {
	if s.now >= o.recoveryUntil || !s.acceptsNewFlows(o) || o.flowsFull() {
		return false
	}
	c := s.candidates(flow)
	return len(c) > 0 && c[len(c)-1] == o.id
}

// askingOwner returns the part of a request's remaining candidates that leads back to the owner
// that serves the flow and only asks for records, or nil.
func askingOwner(f *core.ForwardRequest) []core.TargetID {
	n := len(f.RemainingCandidates)
	if n == 0 || !slices.Contains(f.AskedTargets, f.RemainingCandidates[n-1]) {
		return nil
	}
	return f.RemainingCandidates[n-1:]
}

// redirect forwards a request of a flow that this owner placed on another target.
func (s *Shard) redirect(o *ownedTarget, target core.TargetID, f *core.ForwardRequest) {
	flow := f.Request.Flow
	noRecordElsewhere := !f.OwnerUnreachable && s.decidesAlone(o) && !o.recordsElsewhere.has(flow, s.now) && o.unconfirmed[flow] == nil
	moved := o.movedAway.has(flow, s.now)
	if !moved {
		s.send(f.Ingress, &core.FlowLearned{Flow: flow, Target: target})
	}
	f.AskedTargets = append(slices.Clone(f.AskedTargets), f.Target)
	f.Target = target
	f.RemainingCandidates = askingOwner(f)
	f.FlowKnown = true
	f.NoRecordElsewhere = noRecordElsewhere
	f.FlowMoved = moved || !noRecordElsewhere
	f.Hops++
	if f.Hops > maxHops {
		s.refuseForward(f, core.ReasonOwnerUnreachable)
		return
	}
	s.dispatch(f)
}

// moveFlow places a flow of a target that gets no packets any more on another target. Until no
// retransmission of an older request can arrive, the flow's requests come here first, where the
// older records are.
func (s *Shard) moveFlow(o *ownedTarget, f *core.ForwardRequest) {
	flow := f.Request.Flow
	if f.Request.Method == core.MethodCancel {
		return
	}
	if e := o.flows.get(&flow); e != nil && e.target != o.id {
		// An earlier request moved the flow; choosing another target again would split it.
		s.redirect(o, e.target, f)
		return
	}
	target := s.chooseTarget(o, flow, f.AskedTargets)
	if target == 0 || target == o.id {
		s.refuseRequest(o, s.newRequest(o, f), core.ReasonNoTarget)
		return
	}
	o.setFlow(flow, target, s.now)
	o.movedAway.put(flow, s.now+core.RequestLifetime)
	s.recentPlacements.add(target, s.now)
	s.emitEvent(core.EventFlowRedirected, target)
	s.redirect(o, target, f)
}

// moveRequest sends a waiting request to the flow's new target.
func (s *Shard) moveRequest(o *ownedTarget, r *request) {
	if r.keepPlacement {
		s.refuseRequest(o, r, core.ReasonTargetLost)
		return
	}
	s.finish(o, r)
	delete(o.records.byKey, r.key)
	f := r.forwardMessage(s)
	f.Target = o.id
	s.moveFlow(o, f)
}

// forwardMessage returns the message that forwards a request to another owner.
func (r *request) forwardMessage(s *Shard) *core.ForwardRequest {
	f := &core.ForwardRequest{
		Request:           r.req,
		FlowKnown:         true,
		NoRecordElsewhere: r.noRecordElsewhere,
		OwnerUnreachable:  !r.noRecordElsewhere,
		Renewal:           r.renewal,
		KeepPlacement:     r.keepPlacement,
		Ingress:           r.ingress,
		Hops:              2,
		Generation:        s.snapshot.Config.Generation,
	}
	f.Request.Deadline = max(r.deadline-s.now, 1)
	return f
}

// acceptsNewFlows reports whether the target takes new flows.
func (s *Shard) acceptsNewFlows(o *ownedTarget) bool {
	return o.snapshot != nil && o.snapshot.Accepts(s.now) && !o.admission.draining()
}

// targetShare is a target's part of a service's flows, with the weight that determines the part it
// should have.
type targetShare struct {
	id     core.TargetID
	flows  float64
	weight float64
	full   bool
}

// targetShares returns the shares of all targets of the current set, in the order of the set.
func (s *Shard) targetShares(sets *serviceSets) []targetShare {
	shares := make([]targetShare, len(sets.snapshot.Current.IDs))
	for i, id := range sets.snapshot.Current.IDs {
		shares[i] = s.targetShare(id)
	}
	return shares
}

// targetShare returns a target's flows and weight. A target in slow start has a smaller weight; one
// that accepts no new flows has none.
func (s *Shard) targetShare(id core.TargetID) targetShare {
	target := s.targetSnapshot(id)
	if target == nil || !target.Accepts(s.now) {
		return targetShare{id: id}
	}
	flows, limit := int(target.Load.Flows)+s.recentPlacements.count(id, s.now), int(target.Load.Limit)
	if o := s.owned[id]; o != nil {
		if o.admission.draining() {
			return targetShare{id: id}
		}
		flows, limit = o.placedFlows(), o.admission.limit
	}
	slots := max(target.Target.Slots, 1)
	limit = min(max(limit, 1), slots)
	return targetShare{
		id:     id,
		flows:  float64(flows),
		weight: target.Target.Weight * float64(limit) / float64(slots),
		full:   flows >= max(target.Target.Connections, 1),
	}
}

// chooseTarget returns the target of a new flow, or 0. It is rendezvous hashing with bounded loads:
// the best target in the flow's order whose flows do not exceed its share of the total by more than
// loadSlack, else the one that exceeds it least. The owner's own target is tried first. Targets
// that the request has visited are excluded: their loads are known here with a delay.
func (s *Shard) chooseTarget(o *ownedTarget, flow core.FlowKey, excluded []core.TargetID) core.TargetID {
	sets := s.targetSets[flow.Service]
	if sets == nil {
		return 0
	}
	shares := s.targetShares(sets)
	flows, weight := 1.0, 0.0
	for _, share := range shares {
		flows += share.flows
		weight += share.weight
	}
	if weight <= 0 {
		return 0
	}
	weights := make([]float64, len(shares))
	leastLoaded, leastLoad := core.TargetID(0), math.Inf(1)
	for i, share := range shares {
		if share.weight <= 0 || share.full || slices.Contains(excluded, share.id) {
			continue
		}
		if load := (share.flows + 1) / share.weight; load < leastLoad {
			leastLoaded, leastLoad = share.id, load
		}
		bound := math.Ceil(loadSlack * flows * share.weight / weight)
		if share.flows+1 > max(bound, minFlowBound) {
			continue
		}
		if share.id == o.id {
			return o.id
		}
		weights[i] = share.weight
	}
	if i := rendezvous.Pick(flow.Hash(), sets.currentHashes, weights); i >= 0 {
		return shares[i].id
	}
	return leastLoaded
}
