package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// flowQueries are the FlowQuery broadcasts in progress.
type flowQueries struct {
	waiting []pendingQuery
	// budget is the number of broadcasts that the rate limit allows now.
	budget   float64
	budgetAt time.Duration
	// seq is the number of the last broadcast that every shard has to answer.
	seq uint64
}

// pendingQuery is a request that waits for peers' answers about its flow.
type pendingQuery struct {
	request   *core.ForwardRequest
	startedAt time.Duration
	// unconfirmedTarget is the target that a peer's unconfirmed reply named; it is used when no
	// better reply arrives in time.
	unconfirmedTarget core.TargetID
	// seq is the number of the broadcast; 0 when only shards that have the flow answer.
	seq uint64
	// answered lists the shards that have answered.
	answered []peerShard
}

// peerShard is a shard of a peer, with the number of shards that the peer has.
type peerShard struct {
	vm            core.VMName
	index, shards uint32
}

// addAnswer records an answer to the broadcast.
func (q *pendingQuery) addAnswer(from core.VMName, m *core.FlowReply) {
	x := peerShard{from, m.Shard, m.Shards}
	if q.seq != 0 && m.Seq == q.seq && m.Shard < m.Shards && !slices.Contains(q.answered, x) {
		q.answered = append(q.answered, x)
	}
}

// allShardsAnswered reports whether every shard of a VM has answered.
func (q *pendingQuery) allShardsAnswered(vm core.VMName) bool {
	n, shards := uint32(0), uint32(1)
	for _, x := range q.answered {
		if x.vm == vm {
			n++
			shards = x.shards
		}
	}
	return n >= shards
}

func newFlowQueries() flowQueries { return flowQueries{budget: queriesPerSecond} }

// takeBroadcast takes one broadcast from the rate limit. It reports false when none is allowed now.
func (q *flowQueries) takeBroadcast(now time.Duration) bool {
	q.budget += (now - q.budgetAt).Seconds() * queriesPerSecond
	q.budget = min(q.budget, queriesPerSecond)
	q.budgetAt = now
	if q.budget < 1 {
		return false
	}
	q.budget--
	return true
}

// mustQueryPeers reports whether flows may exist that the target's lost previous owner had.
func (s *Shard) mustQueryPeers(o *ownedTarget) bool { return s.now < o.recoveryUntil }

// queryPeers asks all peers about a flow and keeps the request for queryWait. It reports false when
// the request has queried them before, too many requests wait, or the broadcast could not be sent.
func (s *Shard) queryPeers(f *core.ForwardRequest) bool {
	if f.PeersQueried {
		return false
	}
	for i := range s.queries.waiting {
		if requestKeyOf(&s.queries.waiting[i].request.Request) == requestKeyOf(&f.Request) {
			s.emitEvent(core.EventDuplicateAbsorbed, f.Target)
			return true
		}
	}
	if len(s.queries.waiting) >= maxQueries {
		return false
	}
	q := pendingQuery{request: f, startedAt: s.now}
	if !f.Request.Idempotent {
		// Every shard has to answer: a missing answer does not prove that a peer has no entry of the
		// flow, because the link to that peer may have just failed.
		q.seq = s.nextQuerySeq()
	}
	joinsEarlier := q.seq == 0 && s.queryPending(f.Request.Flow)
	if !joinsEarlier && !s.broadcast(&core.FlowQuery{Flow: f.Request.Flow, Seq: q.seq}) {
		return false
	}
	f.PeersQueried = true
	s.queries.waiting = append(s.queries.waiting, q)
	return true
}

// queryPending reports whether an earlier request of the flow waits for peers.
func (s *Shard) queryPending(flow core.FlowKey) bool {
	for i := range s.queries.waiting {
		if s.queries.waiting[i].request.Request.Flow == flow {
			return true
		}
	}
	return false
}

// nextQuerySeq returns a number that no other shard of this VM uses: replies reach all of them.
func (s *Shard) nextQuerySeq() uint64 {
	step := uint64(s.opts.ShardCount)
	if s.queries.seq == 0 {
		s.queries.seq = step + uint64(s.opts.ShardIndex)
		return s.queries.seq
	}
	s.queries.seq += step
	return s.queries.seq
}

func (s *Shard) broadcast(m *core.FlowQuery) bool {
	if len(s.snapshot.Peers) == 0 || !s.queries.takeBroadcast(s.now) {
		return false
	}
	for _, p := range s.snapshot.Peers {
		if s.reachable(p) {
			s.send(p, m)
		}
	}
	// The flow table entries of the other shards of this VM count as well.
	s.send(s.opts.Self, m)
	return true
}

// allPeersAnswered reports whether all shards of all peers have answered a query.
func (s *Shard) allPeersAnswered(q *pendingQuery) bool {
	return s.allReachable() && q.allShardsAnswered(s.opts.Self) && !slices.ContainsFunc(s.snapshot.Peers, func(p core.VMName) bool {
		return !q.allShardsAnswered(p)
	})
}

// onQuery answers a peer's query for the target of a flow. Shards that do not have the flow answer
// only a query with a number.
func (s *Shard) onQuery(from core.VMName, m *core.FlowQuery) {
	target, unconfirmed := s.flowTarget(m.Flow)
	if target == 0 && m.Seq == 0 {
		return
	}
	s.send(from, &core.FlowReply{
		Flow:        m.Flow,
		Target:      target,
		Unconfirmed: unconfirmed,
		Seq:         m.Seq,
		Shard:       s.opts.ShardIndex,
		Shards:      s.opts.ShardCount,
	})
}

// flowTarget returns the target of a flow from its placement, else from the flow table entry of
// this ingress VM, and whether that entry is unconfirmed. An unconfirmed entry that names the
// flow's primary is not returned: the asking VM has that information.
func (s *Shard) flowTarget(flow core.FlowKey) (target core.TargetID, unconfirmed bool) {
	for _, o := range s.ownedInOrder {
		if e := o.flows.get(&flow); e != nil && !o.outOfService(s.now) && o.unconfirmed[flow] == nil {
			return e.target, false
		}
	}
	e := s.ingressFlows.get(&flow)
	if e == nil || e.idleTime(s.now) > core.FlowIdleTimeout {
		return 0, false
	}
	unconfirmed = e.seenAt&unconfirmedFlag != 0
	if c := s.candidates(flow); unconfirmed && len(c) > 0 && c[len(c)-1] == e.target {
		return 0, false
	}
	return e.target, unconfirmed
}

// onReply sends the waiting requests of a flow to its target and confirms redirects.
func (s *Shard) onReply(from core.VMName, m *core.FlowReply) {
	for i := range s.queries.waiting {
		s.queries.waiting[i].addAnswer(from, m)
	}
	if m.Target == 0 {
		return
	}
	for _, o := range s.ownedInOrder {
		s.applyReply(o, m)
	}
	waiting := s.queries.waiting
	s.queries.waiting = nil
	for _, q := range waiting {
		// A peer that names the asking target may only repeat what this VM reported to it; others
		// may have newer information.
		inconclusive := m.Unconfirmed || q.seq != 0 && m.Target == q.request.Target
		if q.request.Request.Flow == m.Flow && inconclusive && q.unconfirmedTarget != q.request.Target {
			q.unconfirmedTarget = m.Target
		}
		if q.request.Request.Flow != m.Flow || inconclusive || s.namesPassedTarget(q, m.Target) {
			s.queries.waiting = append(s.queries.waiting, q)
			continue
		}
		s.resumeQueried(q, m.Target)
	}
}

// applyReply compares a reply with an owner's entry of the flow.
func (s *Shard) applyReply(o *ownedTarget, m *core.FlowReply) {
	if m.Target == o.id || m.Unconfirmed {
		return
	}
	e := o.flows.get(&m.Flow)
	switch {
	case e == nil:
		s.relayLateReply(o, m)
	case e.target == m.Target:
		e.touch(s.now)
	case e.target == o.id && o.placedAfterQuery.has(m.Flow, s.now):
		// The reply arrived after the flow was placed.
		o.unconfirmed[m.Flow] = &unconfirmedPlacement{candidates: []core.TargetID{m.Target}}
	}
}

// relayLateReply sends a late reply, which arrived after the flow was passed on, to the owners of the
// flow's other candidates.
func (s *Shard) relayLateReply(o *ownedTarget, m *core.FlowReply) {
	if !o.passedOn.has(m.Flow, s.now) || o.lateReplyRelayed.has(m.Flow, s.now) {
		return
	}
	o.lateReplyRelayed.put(m.Flow, s.now+core.RequestLifetime)
	var notified []core.VMName
	for _, id := range s.candidates(m.Flow) {
		owner := s.reachableOwner(id)
		if id != o.id && owner != "" && !slices.Contains(notified, owner) {
			notified = append(notified, owner)
			s.send(owner, &core.FlowReply{Flow: m.Flow, Target: m.Target})
		}
	}
}

// namesPassedTarget reports whether a reply names the asking target after that target has passed
// the flow on.
func (s *Shard) namesPassedTarget(q pendingQuery, target core.TargetID) bool {
	o := s.owned[q.request.Target]
	return o != nil && target == o.id && o.passedOn.has(q.request.Request.Flow, s.now)
}

// resumeQueried continues with a request whose flow was found on a target; 0 means that no peer has
// the flow.
func (s *Shard) resumeQueried(q pendingQuery, target core.TargetID) {
	f := q.request
	f.Age += s.now - q.startedAt
	o := s.owned[f.Target]
	if o == nil {
		s.dispatch(f)
		return
	}
	if e := o.flows.get(&f.Request.Flow); e != nil && (target == 0 || target == o.id || o.unconfirmed[f.Request.Flow] == nil) {
		s.onOwnedRequest(o, f)
		return
	}
	switch {
	case target != 0 && target == o.id:
		f.FlowKnown = true
		o.setFlow(f.Request.Flow, o.id, s.now)
		o.placedAfterQuery.put(f.Request.Flow, s.now+core.RequestLifetime)
		s.markClaim(o, f)
		s.onOwnedRequest(o, f)
	case target != 0 && s.targetSnapshot(target) != nil:
		s.forwardToNamed(o, target, f)
	default:
		if e := s.placeOrTryNext(o, f); e != nil {
			s.onOwnedRequest(o, f)
		}
	}
}

// forwardToNamed sends a request to the target that a peer named. The peer's entry may be stale, so
// the target's owner decides.
func (s *Shard) forwardToNamed(o *ownedTarget, target core.TargetID, f *core.ForwardRequest) {
	if s.now < o.quarantineUntil {
		f.OwnerUnreachable = true
	}
	if o.flows.get(&f.Request.Flow) == nil {
		o.passedOn.put(f.Request.Flow, o.recoveryUntil)
	}
	s.send(f.Ingress, &core.FlowLearned{Flow: f.Request.Flow, Target: target})
	f.AskedTargets = append(slices.Clone(f.AskedTargets), o.id)
	f.Target = target
	f.RemainingCandidates = nil
	f.FlowKnown = true
	f.NoRecordElsewhere = false
	f.FlowMoved = false
	f.Hops++
	if !f.Request.Idempotent {
		o.forwardedTo.put(requestKeyOf(&f.Request), target, s.now+core.RequestLifetime)
	}
	s.dispatch(f)
}

// expireQueries continues with the requests whose wait for peers is over.
func (s *Shard) expireQueries() {
	waiting := s.queries.waiting
	s.queries.waiting = nil
	for _, q := range waiting {
		if s.now-q.startedAt < queryWait {
			s.queries.waiting = append(s.queries.waiting, q)
			continue
		}
		if !q.request.Request.Idempotent && !s.allPeersAnswered(&q) {
			q.request.OwnerUnreachable = true
		}
		s.resumeQueried(q, q.unconfirmedTarget)
	}
}
