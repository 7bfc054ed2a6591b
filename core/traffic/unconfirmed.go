package traffic

import (
	"slices"

	"github.com/mangoweir/mangoweir/core"
)

// unconfirmedPlacement describes what could not be asked when a flow was placed. The flow may be
// placed on another target by another owner, where retransmissions of its requests may arrive, so
// its non-idempotent requests must not run here until the missing answers have arrived.
type unconfirmedPlacement struct {
	// candidates lists the candidates whose owners were unreachable.
	candidates []core.TargetID
	// askPeers is true when not all peers were asked after the loss of a previous owner's state.
	askPeers bool
}

// markPlacement records what could not be asked about a flow that is placed now.
func (s *Shard) markPlacement(o *ownedTarget, f *core.ForwardRequest) {
	// Peers that have no entry of the flow only answer queries for non-idempotent requests.
	allAsked := f.PeersQueried && !f.Request.Idempotent && !f.OwnerUnreachable || len(s.snapshot.Peers) == 0
	allAsked = allAsked && s.allReachable()
	placement := &unconfirmedPlacement{askPeers: s.mustQueryPeers(o) && !allAsked}
	if f.OwnerUnreachable {
		for _, id := range f.AskedTargets {
			if id != o.id && !slices.Contains(placement.candidates, id) {
				placement.candidates = append(placement.candidates, id)
			}
		}
	}
	if placement.askPeers || len(placement.candidates) > 0 {
		o.unconfirmed[f.Request.Flow] = placement
	}
	if f.PeersQueried {
		o.placedAfterQuery.put(f.Request.Flow, s.now+core.RequestLifetime)
	}
}

// markClaim records that a flow was accepted because of a claim that may be stale. The owners of
// its other candidates, and those that the request has visited, have better information, and after
// the loss of a previous owner's redirects any peer may have it.
func (s *Shard) markClaim(o *ownedTarget, f *core.ForwardRequest) {
	candidates := s.candidates(f.Request.Flow)
	for _, id := range f.AskedTargets {
		if !slices.Contains(candidates, id) {
			candidates = append(candidates, id)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(id core.TargetID) bool { return id == o.id })
	askPeers := s.mustQueryPeers(o) && !f.PeersQueried
	if askPeers || len(candidates) > 0 {
		o.unconfirmed[f.Request.Flow] = &unconfirmedPlacement{candidates: candidates, askPeers: askPeers}
	}
}

// confirmPlacement asks for the missing answers about a flow before one of its non-idempotent
// requests runs. It reports false when the request was forwarded or waits for an answer.
func (s *Shard) confirmPlacement(o *ownedTarget, f *core.ForwardRequest) bool {
	if f.Request.Idempotent || f.Request.Method == core.MethodCancel {
		return true
	}
	if from := o.returnedFrom.get(f.Request.Flow, s.now); from != 0 && !f.OwnerUnreachable {
		// Each request needs its own answer: its ingress VM has no record of where the flow was.
		if !slices.Contains(f.AskedTargets, from) && s.askCandidates(o, f, &unconfirmedPlacement{candidates: []core.TargetID{from}}) {
			return false
		}
		f.OwnerUnreachable = !f.NoRecordElsewhere || !slices.Contains(f.AskedTargets, from)
	}
	placement := o.unconfirmed[f.Request.Flow]
	if placement == nil {
		return true
	}
	if placement.askPeers && !f.PeersQueried {
		if s.allReachable() && s.queryPeers(f) {
			return false
		}
		if len(s.snapshot.Peers) > 0 || !s.allReachable() {
			f.OwnerUnreachable = true
			return true
		}
	}
	if !f.OwnerUnreachable && s.askCandidates(o, f, placement) {
		return false
	}
	if f.OwnerUnreachable || len(placement.candidates) > 0 && !f.NoRecordElsewhere {
		f.OwnerUnreachable = true
		return true
	}
	delete(o.unconfirmed, f.Request.Flow)
	f.NoRecordElsewhere = true
	return true
}

// askCandidates sends a request to the unconfirmed candidates that it has not visited. An owner that
// has the flow serves the request; otherwise the request returns to this owner. askCandidates
// reports false when no such candidate is left.
func (s *Shard) askCandidates(o *ownedTarget, f *core.ForwardRequest, placement *unconfirmedPlacement) bool {
	var remaining []core.TargetID
	for _, id := range placement.candidates {
		if s.targetSnapshot(id) != nil && !slices.Contains(f.AskedTargets, id) {
			remaining = append(remaining, id)
		}
	}
	if len(remaining) == 0 || f.Hops >= maxHops {
		return false
	}
	// Another owner with an unconfirmed placement of the flow must not ask back.
	f.AskedTargets = append(slices.Clone(f.AskedTargets), o.id)
	f.Target = remaining[0]
	f.RemainingCandidates = append(remaining[1:], o.id)
	f.FlowKnown = false
	f.NoRecordElsewhere = s.now >= o.quarantineUntil
	f.FlowMoved = false
	f.Hops++
	s.dispatch(f)
	return true
}

// allReachable reports whether there is a link to every peer and no VM that may serve flows is
// silent.
func (s *Shard) allReachable() bool {
	return len(s.snapshot.Silent) == 0 && !slices.ContainsFunc(s.snapshot.Peers, func(p core.VMName) bool { return !s.reachable(p) })
}
