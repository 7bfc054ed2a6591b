package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// serviceSets caches the hashes that select a flow's target from the target sets of a service.
type serviceSets struct {
	snapshot      *core.ServiceSnapshot
	currentHashes []uint64
	// previous are the previous sets, newest first, and previousHashes their targets' hashes.
	previous       []core.PreviousSet
	previousHashes [][]uint64
}

// targetSalt keeps the choice of targets independent of the choice of owners.
const targetSalt = 0x74617267

func targetHashes(set core.TargetSet) []uint64 {
	hashes := make([]uint64, len(set.IDs))
	for i, id := range set.IDs {
		hashes[i] = rendezvous.Mix(uint64(id), targetSalt)
	}
	return hashes
}

// refreshSets installs the target sets of a new snapshot.
func (s *Shard) refreshSets() {
	sets := make(map[core.ServiceID]*serviceSets, len(s.snapshot.Services))
	for id, snapshot := range s.snapshot.Services {
		if old := s.targetSets[id]; old != nil && old.snapshot == snapshot {
			sets[id] = old
			continue
		}
		sets[id] = s.newServiceSets(id, snapshot)
	}
	s.targetSets = sets
}

func (s *Shard) newServiceSets(id core.ServiceID, snapshot *core.ServiceSnapshot) *serviceSets {
	sets := &serviceSets{snapshot: snapshot, currentHashes: targetHashes(snapshot.Current)}
	sets.previous = slices.Concat(snapshot.PreviousSets, s.handoverSets[id])
	slices.SortStableFunc(sets.previous, func(a, b core.PreviousSet) int {
		return cmp.Compare(b.ReplacedAt, a.ReplacedAt)
	})
	for _, previous := range sets.previous {
		sets.previousHashes = append(sets.previousHashes, targetHashes(previous.Set))
	}
	return sets
}

// addHandoverSets adds previous sets that a previous owner had and this VM does not.
func (s *Shard) addHandoverSets(service core.ServiceID, sets []core.PreviousSetAge) {
	handedOver := s.handoverSets[service]
	handedOver = slices.DeleteFunc(slices.Clone(handedOver), func(previous core.PreviousSet) bool {
		return s.now-previous.ReplacedAt > core.FlowIdleTimeout
	})
	snapshot := s.snapshot.Services[service]
	if snapshot == nil {
		return
	}
	same := func(set core.TargetSet) func(core.PreviousSet) bool {
		return func(previous core.PreviousSet) bool {
			return slices.Equal(previous.Set.IDs, set.IDs) && slices.Equal(previous.Set.Weights, set.Weights)
		}
	}
	for _, previous := range sets {
		if previous.Age > core.FlowIdleTimeout || len(previous.Set.IDs) != len(previous.Set.Weights) {
			continue
		}
		if slices.ContainsFunc(snapshot.PreviousSets, same(previous.Set)) || slices.ContainsFunc(handedOver, same(previous.Set)) {
			continue
		}
		if len(handedOver) < core.MaxPreviousSets {
			handedOver = append(handedOver, core.PreviousSet{Set: previous.Set, ReplacedAt: s.now - previous.Age})
		}
	}
	s.handoverSets[service] = handedOver
	s.targetSets[service] = s.newServiceSets(service, snapshot)
}

// primary returns the flow's target under a set, or 0.
func primary(flowHash uint64, set *core.TargetSet, hashes []uint64) core.TargetID {
	i := rendezvous.Pick(flowHash, hashes, set.Weights)
	if i < 0 {
		return 0
	}
	return set.IDs[i]
}

// candidates returns the targets that the flow may be on, oldest first; the last one is the current
// primary if there is one. Previous targets that are no longer in the snapshot are left out because
// they have no state.
func (s *Shard) candidates(flow core.FlowKey) []core.TargetID {
	sets := s.targetSets[flow.Service]
	if sets == nil {
		return nil
	}
	flowHash := flow.Hash()
	current := primary(flowHash, &sets.snapshot.Current, sets.currentHashes)
	var list []core.TargetID
	for i := len(sets.previous) - 1; i >= 0; i-- {
		previous := &sets.previous[i]
		if s.now-previous.ReplacedAt > core.FlowIdleTimeout {
			continue
		}
		id := primary(flowHash, &previous.Set, sets.previousHashes[i])
		if id == 0 || id == current || s.targetSnapshot(id) == nil || slices.Contains(list, id) {
			continue
		}
		list = append(list, id)
	}
	if current != 0 {
		list = append(list, current)
	}
	return list
}

// Route returns the target of an established flow and the VM that owns it, and records that the
// flow is in use. It reports false for a flow that is not known or whose target has no reachable
// owner.
func (s *Shard) Route(flow core.FlowKey, now time.Duration) (core.TargetID, core.VMName, bool) {
	e := s.ingressFlows.get(&flow)
	if e == nil {
		return 0, "", false
	}
	e.touchKeepFlag(now)
	owner := s.reachableOwner(e.target)
	return e.target, owner, owner != ""
}

// reachableOwner returns the VM to send a target's requests to, or "" when none is reachable.
func (s *Shard) reachableOwner(id core.TargetID) core.VMName {
	target := s.targetSnapshot(id)
	if target == nil {
		return ""
	}
	if target.Owner != "" && s.reachable(target.Owner) {
		return target.Owner
	}
	if target.AssignedOwner != "" && s.reachable(target.AssignedOwner) {
		return target.AssignedOwner
	}
	return ""
}

func (s *Shard) reachable(vm core.VMName) bool {
	return len(s.unreachable) == 0 || vm == s.opts.Self || !s.unreachable[vm]
}

// onClientRequest routes a request from the fabric.
func (s *Shard) onClientRequest(r core.Request) {
	f := &core.ForwardRequest{Request: r, Ingress: s.opts.Self, Hops: 1}
	if s.snapshot == nil {
		s.refuseForward(f, core.ReasonNoTarget)
		return
	}
	f.Generation = s.snapshot.Config.Generation
	s.trackSubscription(&r)
	if s.routeByEntry(f) {
		s.dispatch(f)
		return
	}
	candidates := s.candidates(r.Flow)
	if len(candidates) == 0 {
		s.refuseForward(f, core.ReasonNoTarget)
		return
	}
	f.Target = candidates[0]
	f.RemainingCandidates = candidates[1:]
	f.NoRecordElsewhere = true
	if len(candidates) == 1 && r.Method != core.MethodCancel && s.ingressFlows.get(&r.Flow) == nil {
		s.ingressFlows.put(r.Flow, candidates[0], s.now).seenAt |= unconfirmedFlag
	}
	s.dispatch(f)
}

// routeByEntry sets the target of a flow that has a flow table entry. It reports false when the
// candidates have to be computed: there is no usable entry, or the entry is unconfirmed and the
// target sets have changed. An unconfirmed entry only names the flow's single candidate at the time
// when the entry was made.
func (s *Shard) routeByEntry(f *core.ForwardRequest) bool {
	e := s.ingressFlows.get(&f.Request.Flow)
	if e == nil || s.targetSnapshot(e.target) == nil {
		return false
	}
	e.touchKeepFlag(s.now)
	f.Target = e.target
	if e.seenAt&unconfirmedFlag == 0 {
		f.FlowKnown = true
		return true
	}
	if !s.setsChanged(f.Request.Flow.Service) {
		f.NoRecordElsewhere = true
		return true
	}
	// A flow that is older than the previous sets is not found by its candidates.
	f.FlowKnown = !slices.Contains(s.candidates(f.Request.Flow), e.target)
	return f.FlowKnown
}

// setsChanged reports whether the service's targets changed within FlowIdleTimeout.
func (s *Shard) setsChanged(id core.ServiceID) bool {
	c := s.targetSets[id]
	return c != nil && len(c.previous) > 0 && s.now-c.previous[0].ReplacedAt <= core.FlowIdleTimeout
}

// dispatch sends a request to the owner of its target, or defers it until there is one.
func (s *Shard) dispatch(f *core.ForwardRequest) {
	owner := s.reachableOwner(f.Target)
	if owner == "" {
		s.deferRequest(f, ownerWait)
		return
	}
	s.send(owner, f)
}

// onForward handles a request at the VM that owns its target or that the sender assumes to own it.
func (s *Shard) onForward(m *core.ForwardRequest) {
	if s.snapshot == nil {
		s.deferRequest(m, ownerWait)
		return
	}
	f := *m
	if o := s.owned[f.Target]; o != nil {
		s.onOwnedRequest(o, &f)
		return
	}
	f.Hops++
	target := s.targetSnapshot(f.Target)
	switch {
	case target == nil && f.Generation > s.snapshot.Config.Generation:
		s.deferRequest(&f, newerGenerationWait)
	case f.Hops > maxHops:
		s.refuseForward(&f, core.ReasonOwnerUnreachable)
	case target == nil:
		s.tryNextCandidate(&f, true)
	case target.Owner != "" && target.Owner != s.opts.Self && s.reachable(target.Owner):
		s.send(target.Owner, &f)
	default:
		s.deferRequest(&f, ownerWait)
	}
}

// tryNextCandidate sends a request to the next candidate. consulted is true when the owner of the
// present candidate has looked the flow up.
func (s *Shard) tryNextCandidate(f *core.ForwardRequest, consulted bool) {
	f.AskedTargets = append(slices.Clone(f.AskedTargets), f.Target)
	if !consulted {
		f.NoRecordElsewhere = false
		f.OwnerUnreachable = true
	}
	if len(f.RemainingCandidates) == 0 {
		c := s.candidates(f.Request.Flow)
		c = slices.DeleteFunc(c, func(id core.TargetID) bool {
			return id == f.Target || slices.Contains(f.AskedTargets, id)
		})
		f.RemainingCandidates = c
	}
	f.FlowKnown = false
	if len(f.RemainingCandidates) == 0 || f.Hops >= maxHops {
		s.refuseForward(f, core.ReasonNoTarget)
		return
	}
	f.Target = f.RemainingCandidates[0]
	f.RemainingCandidates = f.RemainingCandidates[1:]
	f.Hops++
	s.dispatch(f)
}

// sweepIngressFlows removes some idle flows from the flow table of this ingress VM.
func (s *Shard) sweepIngressFlows() {
	s.ingressFlows.sweep(sweepPerTick, func(e *flowEntry) {
		if e.idleTime(s.now) > core.FlowIdleTimeout && s.subscriptions.perFlow[e.key] == 0 {
			k := e.key
			s.ingressFlows.remove(&k)
		}
	})
}
