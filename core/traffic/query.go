package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// queries are the FlowQuery broadcasts in progress.
type queries struct {
	waiting []query
	// budget is the number of broadcasts that the rate limit allows now.
	budget float64
	at     time.Duration
	// seq is that of the last broadcast that every shard has to answer.
	seq uint64
}

// query is a request that waits for what peers know about its flow.
type query struct {
	f     *core.ForwardRequest
	since time.Duration
	// guess is the target that a peer guessed; it counts when no peer knows better in time.
	guess core.TargetID
	// seq is that of the broadcast; 0 when only shards that know the flow answer.
	seq uint64
	// heard lists the shards that have answered.
	heard []peerShard
}

// peerShard is a shard of a peer with the number of shards that the peer has.
type peerShard struct {
	vm            core.VMName
	index, number uint32
}

// hear notes an answer to the broadcast.
func (q *query) hear(from core.VMName, m *core.FlowReply) {
	x := peerShard{from, m.Shard, m.Shards}
	if q.seq != 0 && m.Seq == q.seq && m.Shard < m.Shards && !slices.Contains(q.heard, x) {
		q.heard = append(q.heard, x)
	}
}

// heardAll reports whether every shard of a VM has answered.
func (q *query) heardAll(vm core.VMName) bool {
	n, number := uint32(0), uint32(1)
	for _, x := range q.heard {
		if x.vm == vm {
			n++
			number = x.number
		}
	}
	return n >= number
}

func newQueries() queries { return queries{budget: queriesPerSecond} }

// allow takes one broadcast from the rate limit.
func (q *queries) allow(now time.Duration) bool {
	q.budget += (now - q.at).Seconds() * queriesPerSecond
	q.budget = min(q.budget, queriesPerSecond)
	q.at = now
	if q.budget < 1 {
		return false
	}
	q.budget--
	return true
}

// mustAsk reports whether flows may exist that the target's lost former holder knew.
func (s *Shard) mustAsk(o *owner) bool { return s.now < o.rebuildUntil }

// askPeers asks all peers about a flow and keeps the request for queryWait. It reports false when
// the flow was asked for already or the rate limit is reached.
func (s *Shard) askPeers(f *core.ForwardRequest) bool {
	if f.PeersQueried {
		return false
	}
	for i := range s.queries.waiting {
		if keyOf(&s.queries.waiting[i].f.Request) == keyOf(&f.Request) {
			s.event(core.EventDuplicateAbsorbed, f.Target)
			return true
		}
	}
	if len(s.queries.waiting) >= maxQueries {
		return false
	}
	q := query{f: f, since: s.now}
	if !f.Request.Idempotent {
		// Silence proves nothing: the link to a peer may have failed a moment ago.
		q.seq = s.nextQuerySeq()
	}
	joins := q.seq == 0 && s.askedFor(f.Request.Flow)
	if !joins && !s.broadcast(&core.FlowQuery{Flow: f.Request.Flow, Seq: q.seq}) {
		return false
	}
	f.PeersQueried = true
	s.queries.waiting = append(s.queries.waiting, q)
	return true
}

// askedFor reports whether an earlier request of the flow waits for peers.
func (s *Shard) askedFor(flow core.FlowKey) bool {
	for i := range s.queries.waiting {
		if s.queries.waiting[i].f.Request.Flow == flow {
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
	if len(s.snap.Peers) == 0 || !s.queries.allow(s.now) {
		return false
	}
	for _, p := range s.snap.Peers {
		if s.reachable(p) {
			s.send(p, m)
		}
	}
	// The notes of other shards of this VM count as well.
	s.send(s.opts.Self, m)
	return true
}

// answeredByAll reports whether all shards of all peers have answered a query.
func (s *Shard) answeredByAll(q *query) bool {
	return s.allReachable() && q.heardAll(s.opts.Self) && !slices.ContainsFunc(s.snap.Peers, func(p core.VMName) bool {
		return !q.heardAll(p)
	})
}

// onQuery tells a peer where a flow is. Shards that do not know the flow answer only a query with
// a number.
func (s *Shard) onQuery(from core.VMName, m *core.FlowQuery) {
	target, guess := s.whereIs(m.Flow)
	if target == 0 && m.Seq == 0 {
		return
	}
	s.send(from, &core.FlowReply{
		Flow:        m.Flow,
		Target:      target,
		Unconfirmed: guess,
		Seq:         m.Seq,
		Shard:       s.opts.ShardIndex,
		Shards:      s.opts.ShardCount,
	})
}

// whereIs returns the target of a flow by its placement, else by the ingress note, and whether the
// note is a guess. A guess that is the flow's primary says nothing that the asker does not know.
func (s *Shard) whereIs(flow core.FlowKey) (target core.TargetID, guess bool) {
	for _, o := range s.ordered {
		if e := o.flows.get(&flow); e != nil && !o.evicted(s.now) && o.doubts[flow] == nil {
			return e.target, false
		}
	}
	e := s.notes.get(&flow)
	if e == nil || e.idle(s.now) > core.FlowIdleTimeout {
		return 0, false
	}
	guess = e.seen&guessFlag != 0
	if c := s.candidates(flow); guess && len(c) > 0 && c[len(c)-1] == e.target {
		return 0, false
	}
	return e.target, guess
}

// onReply sends the waiting requests of a flow to its target and confirms redirects.
func (s *Shard) onReply(from core.VMName, m *core.FlowReply) {
	for i := range s.queries.waiting {
		s.queries.waiting[i].hear(from, m)
	}
	if m.Target == 0 {
		return
	}
	for _, o := range s.ordered {
		s.noteReply(o, m)
	}
	waiting := s.queries.waiting
	s.queries.waiting = nil
	for _, q := range waiting {
		// A peer that names the asking target may only repeat what this VM told it: others may know
		// better.
		open := m.Unconfirmed || q.seq != 0 && m.Target == q.f.Target
		if q.f.Request.Flow == m.Flow && open && q.guess != q.f.Target {
			q.guess = m.Target
		}
		if q.f.Request.Flow != m.Flow || open || s.contradicted(q, m.Target) {
			s.queries.waiting = append(s.queries.waiting, q)
			continue
		}
		s.resume(q, m.Target)
	}
}

// noteReply compares a reply with what an owner knows about the flow.
func (s *Shard) noteReply(o *owner, m *core.FlowReply) {
	if m.Target == o.id || m.Unconfirmed {
		return
	}
	e := o.flows.get(&m.Flow)
	switch {
	case e == nil:
		s.relayLate(o, m)
	case e.target == m.Target:
		e.touch(s.now)
	case e.target == o.id && o.guessed.has(m.Flow, s.now):
		// The answer comes late.
		o.doubts[m.Flow] = &doubt{ask: []core.TargetID{m.Target}}
	}
}

// relayLate tells the holders of a flow's other candidates about a reply that came after the flow
// was passed on to them.
func (s *Shard) relayLate(o *owner, m *core.FlowReply) {
	if !o.passed.has(m.Flow, s.now) || o.relayed.has(m.Flow, s.now) {
		return
	}
	o.relayed.put(m.Flow, s.now+core.RequestLifetime)
	var told []core.VMName
	for _, id := range s.candidates(m.Flow) {
		holder := s.holderOf(id)
		if id != o.id && holder != "" && !slices.Contains(told, holder) {
			told = append(told, holder)
			s.send(holder, &core.FlowReply{Flow: m.Flow, Target: m.Target})
		}
	}
}

// contradicted reports whether a reply names the target that the flow is known to have left.
func (s *Shard) contradicted(q query, target core.TargetID) bool {
	o := s.owners[q.f.Target]
	return o != nil && target == o.id && o.passed.has(q.f.Request.Flow, s.now)
}

// resume continues with a request whose flow was found on a target; 0 means that no peer knows it.
func (s *Shard) resume(q query, target core.TargetID) {
	f := q.f
	f.Age += s.now - q.since
	o := s.owners[f.Target]
	if o == nil {
		s.dispatch(f)
		return
	}
	if e := o.flows.get(&f.Request.Flow); e != nil && (target == 0 || target == o.id || o.doubts[f.Request.Flow] == nil) {
		s.onOwned(o, f)
		return
	}
	switch {
	case target != 0 && target == o.id:
		f.FlowKnown = true
		o.setFlow(f.Request.Flow, o.id, s.now)
		o.guessed.put(f.Request.Flow, s.now+core.RequestLifetime)
		s.doubtOthers(o, f)
		s.onOwned(o, f)
	case target != 0 && s.view(target) != nil:
		s.forwardFound(o, target, f)
	default:
		if e := s.placeOrPass(o, f); e != nil {
			s.onOwned(o, f)
		}
	}
}

// forwardFound sends a request to the target that a peer named. The peer's note may be stale, so the
// target's holder decides.
func (s *Shard) forwardFound(o *owner, target core.TargetID, f *core.ForwardRequest) {
	if s.now < o.quarantineUntil {
		f.OwnerUnreachable = true
	}
	if o.flows.get(&f.Request.Flow) == nil {
		o.passed.put(f.Request.Flow, o.rebuildUntil)
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
		o.away.put(keyOf(&f.Request), target, s.now+core.RequestLifetime)
	}
	s.dispatch(f)
}

// expireQueries continues with the requests that no peer has answered in time.
func (s *Shard) expireQueries() {
	waiting := s.queries.waiting
	s.queries.waiting = nil
	for _, q := range waiting {
		if s.now-q.since < queryWait {
			s.queries.waiting = append(s.queries.waiting, q)
			continue
		}
		if !q.f.Request.Idempotent && !s.answeredByAll(&q) {
			q.f.OwnerUnreachable = true
		}
		s.resume(q, q.guess)
	}
}
