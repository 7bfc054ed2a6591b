package traffic

import (
	"slices"

	"github.com/mangoweir/mangoweir/core"
)

// doubt says what could not be asked when a flow was placed. The flow may be known elsewhere, where
// repetitions of its requests may arrive, so that its non-idempotent requests must not run here
// until the questions have been answered.
type doubt struct {
	// ask lists the candidates whose holders could not be reached.
	ask []core.TargetID
	// peers is true when not all peers were asked after the loss of a former holder's state.
	peers bool
}

// noteDoubt keeps what could not be asked about a flow that is placed now.
func (s *Shard) noteDoubt(o *owner, f *core.ForwardRequest) {
	// Only queries for non-idempotent requests are answered by peers that do not know the flow.
	asked := f.PeersQueried && !f.Request.Idempotent && !f.OwnerUnreachable || len(s.snap.Peers) == 0
	asked = asked && s.allReachable()
	d := &doubt{peers: s.mustAsk(o) && !asked}
	if f.OwnerUnreachable {
		for _, id := range f.AskedTargets {
			if id != o.id && !slices.Contains(d.ask, id) {
				d.ask = append(d.ask, id)
			}
		}
	}
	if d.peers || len(d.ask) > 0 {
		o.doubts[f.Request.Flow] = d
	}
	if f.PeersQueried {
		o.guessed.put(f.Request.Flow, s.now+core.RequestLifetime)
	}
}

// doubtOthers notes that a flow was accepted because of a claim that may be stale. The holders of
// its other candidates, and those that the request has passed, know better, and after the loss of a
// former holder's redirects any peer may.
func (s *Shard) doubtOthers(o *owner, f *core.ForwardRequest) {
	ask := s.candidates(f.Request.Flow)
	for _, id := range f.AskedTargets {
		if !slices.Contains(ask, id) {
			ask = append(ask, id)
		}
	}
	ask = slices.DeleteFunc(ask, func(id core.TargetID) bool { return id == o.id })
	peers := s.mustAsk(o) && !f.PeersQueried
	if peers || len(ask) > 0 {
		o.doubts[f.Request.Flow] = &doubt{ask: ask, peers: peers}
	}
}

// settle asks what is still open about a flow before one of its non-idempotent requests runs. It
// reports false when the request went elsewhere or waits for an answer.
func (s *Shard) settle(o *owner, f *core.ForwardRequest) bool {
	if f.Request.Idempotent || f.Request.Method == core.MethodCancel {
		return true
	}
	if from := o.origins.get(f.Request.Flow, s.now); from != 0 && !f.OwnerUnreachable {
		// Each request is asked for: its ingress VM does not know where the flow was.
		if !slices.Contains(f.AskedTargets, from) && s.askCandidates(o, f, &doubt{ask: []core.TargetID{from}}) {
			return false
		}
		f.OwnerUnreachable = !f.NoRecordElsewhere || !slices.Contains(f.AskedTargets, from)
	}
	d := o.doubts[f.Request.Flow]
	if d == nil {
		return true
	}
	if d.peers && !f.PeersQueried {
		if s.allReachable() && s.askPeers(f) {
			return false
		}
		if len(s.snap.Peers) > 0 || !s.allReachable() {
			f.OwnerUnreachable = true
			return true
		}
	}
	if !f.OwnerUnreachable && s.askCandidates(o, f, d) {
		return false
	}
	if f.OwnerUnreachable || len(d.ask) > 0 && !f.NoRecordElsewhere {
		f.OwnerUnreachable = true
		return true
	}
	delete(o.doubts, f.Request.Flow)
	f.NoRecordElsewhere = true
	return true
}

// askCandidates sends a request to the candidates in doubt that it has not visited. The holder of
// one that knows the flow serves it; otherwise it comes back. It reports false when there are none.
func (s *Shard) askCandidates(o *owner, f *core.ForwardRequest, d *doubt) bool {
	var trail []core.TargetID
	for _, id := range d.ask {
		if s.view(id) != nil && !slices.Contains(f.AskedTargets, id) {
			trail = append(trail, id)
		}
	}
	if len(trail) == 0 || f.Hops >= maxHops {
		return false
	}
	// Another owner in doubt must not ask back.
	f.AskedTargets = append(slices.Clone(f.AskedTargets), o.id)
	f.Target = trail[0]
	f.RemainingCandidates = append(trail[1:], o.id)
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
	return len(s.snap.Silent) == 0 && !slices.ContainsFunc(s.snap.Peers, func(p core.VMName) bool { return !s.reachable(p) })
}
