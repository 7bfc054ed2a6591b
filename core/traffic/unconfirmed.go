package traffic

import (
	"slices"

	"github.com/mangoweir/mangoweir/core"
)

// unconfirmedPlacement says what could not be asked when a flow was placed. The flow may be known elsewhere, where
// repetitions of its requests may arrive, so that its non-idempotent requests must not run here
// until the questions have been answered.
type unconfirmedPlacement struct {
	// candidates lists the candidates whose holders could not be reached.
	candidates []core.TargetID
	// peers is true when not all peers were asked after the loss of a former holder's state.
	peers bool
}

// markPlacement keeps what could not be asked about a flow that is placed now.
func (s *Shard) markPlacement(o *ownedTarget, f *core.ForwardRequest) {
	// Only queries for non-idempotent requests are answered by peers that do not know the flow.
	allAsked := f.PeersQueried && !f.Request.Idempotent && !f.OwnerUnreachable || len(s.snapshot.Peers) == 0
	allAsked = allAsked && s.allReachable()
	d := &unconfirmedPlacement{peers: s.mustQueryPeers(o) && !allAsked}
	if f.OwnerUnreachable {
		for _, id := range f.AskedTargets {
			if id != o.id && !slices.Contains(d.candidates, id) {
				d.candidates = append(d.candidates, id)
			}
		}
	}
	if d.peers || len(d.candidates) > 0 {
		o.unconfirmed[f.Request.Flow] = d
	}
	if f.PeersQueried {
		o.placedAfterQuery.put(f.Request.Flow, s.now+core.RequestLifetime)
	}
}

// markClaim notes that a flow was accepted because of a claim that may be stale. The holders of
// its other candidates, and those that the request has passed, know better, and after the loss of a
// former holder's redirects any peer may.
func (s *Shard) markClaim(o *ownedTarget, f *core.ForwardRequest) {
	candidates := s.candidates(f.Request.Flow)
	for _, id := range f.AskedTargets {
		if !slices.Contains(candidates, id) {
			candidates = append(candidates, id)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(id core.TargetID) bool { return id == o.id })
	peers := s.mustQueryPeers(o) && !f.PeersQueried
	if peers || len(candidates) > 0 {
		o.unconfirmed[f.Request.Flow] = &unconfirmedPlacement{candidates: candidates, peers: peers}
	}
}

// confirmPlacement asks what is still open about a flow before one of its non-idempotent requests runs. It
// reports false when the request went elsewhere or waits for an answer.
func (s *Shard) confirmPlacement(o *ownedTarget, f *core.ForwardRequest) bool {
	if f.Request.Idempotent || f.Request.Method == core.MethodCancel {
		return true
	}
	if from := o.returnedFrom.get(f.Request.Flow, s.now); from != 0 && !f.OwnerUnreachable {
		// Each request is asked for: its ingress VM does not know where the flow was.
		if !slices.Contains(f.AskedTargets, from) && s.askCandidates(o, f, &unconfirmedPlacement{candidates: []core.TargetID{from}}) {
			return false
		}
		f.OwnerUnreachable = !f.NoRecordElsewhere || !slices.Contains(f.AskedTargets, from)
	}
	d := o.unconfirmed[f.Request.Flow]
	if d == nil {
		return true
	}
	if d.peers && !f.PeersQueried {
		if s.allReachable() && s.queryPeers(f) {
			return false
		}
		if len(s.snapshot.Peers) > 0 || !s.allReachable() {
			f.OwnerUnreachable = true
			return true
		}
	}
	if !f.OwnerUnreachable && s.askCandidates(o, f, d) {
		return false
	}
	if f.OwnerUnreachable || len(d.candidates) > 0 && !f.NoRecordElsewhere {
		f.OwnerUnreachable = true
		return true
	}
	delete(o.unconfirmed, f.Request.Flow)
	f.NoRecordElsewhere = true
	return true
}

// askCandidates sends a request to the candidates in doubt that it has not visited. The holder of
// one that knows the flow serves it; otherwise it comes back. It reports false when there are none.
func (s *Shard) askCandidates(o *ownedTarget, f *core.ForwardRequest, d *unconfirmedPlacement) bool {
	var remaining []core.TargetID
	for _, id := range d.candidates {
		if s.targetSnapshot(id) != nil && !slices.Contains(f.AskedTargets, id) {
			remaining = append(remaining, id)
		}
	}
	if len(remaining) == 0 || f.Hops >= maxHops {
		return false
	}
	// Another owner in doubt must not ask back.
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

// allReachable reports whether there is a link to every peer, and no VM is silent that may serve
// flows.
func (s *Shard) allReachable() bool {
	return len(s.snapshot.Silent) == 0 && !slices.ContainsFunc(s.snapshot.Peers, func(p core.VMName) bool { return !s.reachable(p) })
}
