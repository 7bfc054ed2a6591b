package traffic

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// serviceSets caches the candidates' hashes of a service's target sets.
type serviceSets struct {
	view    *core.ServiceSnapshot
	current []uint64
	// former are the former sets, newest first, and formerHashes their targets' hashes.
	former       []core.PreviousSet
	formerHashes [][]uint64
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

// refreshSets takes over the target sets of a new snapshot.
func (s *Shard) refreshSets() {
	sets := make(map[core.ServiceID]*serviceSets, len(s.snap.Services))
	for id, view := range s.snap.Services {
		if old := s.sets[id]; old != nil && old.view == view {
			sets[id] = old
			continue
		}
		sets[id] = s.newServiceSets(id, view)
	}
	s.sets = sets
}

func (s *Shard) newServiceSets(id core.ServiceID, view *core.ServiceSnapshot) *serviceSets {
	c := &serviceSets{view: view, current: targetHashes(view.Current)}
	c.former = slices.Concat(view.PreviousSets, s.inherited[id])
	slices.SortStableFunc(c.former, func(a, b core.PreviousSet) int {
		return cmp.Compare(b.ReplacedAt, a.ReplacedAt)
	})
	for _, f := range c.former {
		c.formerHashes = append(c.formerHashes, targetHashes(f.Set))
	}
	return c
}

// inherit adds former sets that a former holder knew and this VM does not.
func (s *Shard) inherit(service core.ServiceID, sets []core.PreviousSetAge) {
	known := s.inherited[service]
	known = slices.DeleteFunc(slices.Clone(known), func(f core.PreviousSet) bool {
		return s.now-f.ReplacedAt > core.FlowIdleTimeout
	})
	view := s.snap.Services[service]
	if view == nil {
		return
	}
	same := func(x core.TargetSet) func(core.PreviousSet) bool {
		return func(f core.PreviousSet) bool {
			return slices.Equal(f.Set.IDs, x.IDs) && slices.Equal(f.Set.Weights, x.Weights)
		}
	}
	for _, f := range sets {
		if f.Age > core.FlowIdleTimeout || len(f.Set.IDs) != len(f.Set.Weights) {
			continue
		}
		if slices.ContainsFunc(view.PreviousSets, same(f.Set)) || slices.ContainsFunc(known, same(f.Set)) {
			continue
		}
		if len(known) < core.MaxPreviousSets {
			known = append(known, core.PreviousSet{Set: f.Set, ReplacedAt: s.now - f.Age})
		}
	}
	s.inherited[service] = known
	s.sets[service] = s.newServiceSets(service, view)
}

// primary returns the flow's target under a set, or 0.
func primary(flowHash uint64, set *core.TargetSet, hashes []uint64) core.TargetID {
	i := rendezvous.Pick(flowHash, hashes, set.Weights)
	if i < 0 {
		return 0
	}
	return set.IDs[i]
}

// candidates returns the targets that the flow may be on, oldest first; the last one is the
// current primary if there is one. Former targets that control has forgotten have no state.
func (s *Shard) candidates(flow core.FlowKey) []core.TargetID {
	c := s.sets[flow.Service]
	if c == nil {
		return nil
	}
	h := flow.Hash()
	current := primary(h, &c.view.Current, c.current)
	var list []core.TargetID
	for i := len(c.former) - 1; i >= 0; i-- {
		f := &c.former[i]
		if s.now-f.ReplacedAt > core.FlowIdleTimeout {
			continue
		}
		id := primary(h, &f.Set, c.formerHashes[i])
		if id == 0 || id == current || s.view(id) == nil || slices.Contains(list, id) {
			continue
		}
		list = append(list, id)
	}
	if current != 0 {
		list = append(list, current)
	}
	return list
}

// Route returns the target of an established flow and the VM that holds it. It notes that the flow
// is in use. It reports false for a flow that is not known or whose target has no holder.
func (s *Shard) Route(flow core.FlowKey, now time.Duration) (core.TargetID, core.VMName, bool) {
	e := s.notes.get(&flow)
	if e == nil {
		return 0, "", false
	}
	e.use(now)
	holder := s.holderOf(e.target)
	return e.target, holder, holder != ""
}

// holderOf returns the VM to send a target's requests to, or "" when none can be reached.
func (s *Shard) holderOf(id core.TargetID) core.VMName {
	v := s.view(id)
	if v == nil {
		return ""
	}
	if v.Owner != "" && s.reachable(v.Owner) {
		return v.Owner
	}
	if v.AssignedOwner != "" && s.reachable(v.AssignedOwner) {
		return v.AssignedOwner
	}
	return ""
}

func (s *Shard) reachable(vm core.VMName) bool {
	return len(s.down) == 0 || vm == s.opts.Self || !s.down[vm]
}

// onCaller routes a request from the fabric.
func (s *Shard) onCaller(r core.Request) {
	f := &core.ForwardRequest{Request: r, Ingress: s.opts.Self, Hops: 1}
	if s.snap == nil {
		s.refuseForward(f, core.ReasonNoTarget)
		return
	}
	f.Generation = s.snap.Config.Generation
	s.watch(&r)
	if s.routeByNote(f) {
		s.dispatch(f)
		return
	}
	c := s.candidates(r.Flow)
	if len(c) == 0 {
		s.refuseForward(f, core.ReasonNoTarget)
		return
	}
	f.Target = c[0]
	f.RemainingCandidates = c[1:]
	f.NoRecordElsewhere = true
	if len(c) == 1 && r.Method != core.MethodCancel && s.notes.get(&r.Flow) == nil {
		s.notes.put(r.Flow, c[0], s.now).seen |= guessFlag
	}
	s.dispatch(f)
}

// routeByNote fills in the target of a known flow. It reports false when the candidates have to be
// computed: a guess is no more than the only candidate of its time.
func (s *Shard) routeByNote(f *core.ForwardRequest) bool {
	e := s.notes.get(&f.Request.Flow)
	if e == nil || s.view(e.target) == nil {
		return false
	}
	e.use(s.now)
	f.Target = e.target
	if e.seen&guessFlag == 0 {
		f.FlowKnown = true
		return true
	}
	if !s.setsChanged(f.Request.Flow.Service) {
		f.NoRecordElsewhere = true
		return true
	}
	// A flow that is older than the former sets is not found by its candidates.
	f.FlowKnown = !slices.Contains(s.candidates(f.Request.Flow), e.target)
	return f.FlowKnown
}

// setsChanged reports whether the service's targets changed within FlowIdleTimeout.
func (s *Shard) setsChanged(id core.ServiceID) bool {
	c := s.sets[id]
	return c != nil && len(c.former) > 0 && s.now-c.former[0].ReplacedAt <= core.FlowIdleTimeout
}

// dispatch sends a request to the holder of its target, or keeps it until there is one.
func (s *Shard) dispatch(f *core.ForwardRequest) {
	holder := s.holderOf(f.Target)
	if holder == "" {
		s.park(f, parkTime)
		return
	}
	s.send(holder, f)
}

// onForward handles a request at the VM that holds its target, or that the sender believes to.
func (s *Shard) onForward(m *core.ForwardRequest) {
	if s.snap == nil {
		s.park(m, parkTime)
		return
	}
	f := *m
	if o := s.owners[f.Target]; o != nil {
		s.onOwned(o, &f)
		return
	}
	f.Hops++
	v := s.view(f.Target)
	switch {
	case v == nil && f.Generation > s.snap.Config.Generation:
		s.park(&f, newerGenerationWait)
	case f.Hops > maxHops:
		s.refuseForward(&f, core.ReasonOwnerUnreachable)
	case v == nil:
		s.passOn(&f, true)
	case v.Owner != "" && v.Owner != s.opts.Self && s.reachable(v.Owner):
		s.send(v.Owner, &f)
	default:
		s.park(&f, parkTime)
	}
}

// passOn sends a request to the next candidate. asked is true when the state of the present one
// could be consulted.
func (s *Shard) passOn(f *core.ForwardRequest, asked bool) {
	f.AskedTargets = append(slices.Clone(f.AskedTargets), f.Target)
	if !asked {
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

// sweepNotes removes the notes of some idle flows.
func (s *Shard) sweepNotes() {
	s.notes.sweep(sweepPerTick, func(e *flowEntry) {
		if e.idle(s.now) > core.FlowIdleTimeout && s.watches.flows[e.key] == 0 {
			k := e.key
			s.notes.remove(&k)
		}
	})
}
