package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const defaultQueueLimit = 64

// requestQueue holds the requests that wait for a target, by class and then by deadline.
type requestQueue struct {
	byClass [core.NumClasses][]*request
}

func (q *requestQueue) len() int {
	n := 0
	for c := range q.byClass {
		n += len(q.byClass[c])
	}
	return n
}

// add inserts a request behind those of its class whose deadlines are not later.
func (q *requestQueue) add(r *request) {
	list := q.byClass[r.req.Class]
	i := len(list)
	for i > 0 && list[i-1].deadline > r.deadline {
		i--
	}
	q.byClass[r.req.Class] = slices.Insert(list, i, r)
}

func (q *requestQueue) remove(r *request) {
	list := q.byClass[r.req.Class]
	if i := slices.Index(list, r); i >= 0 {
		q.byClass[r.req.Class] = slices.Delete(list, i, i+1)
	}
}

// ahead counts the requests that would be sent before r.
func (q *requestQueue) ahead(r *request) int {
	n := 0
	for c := core.ClassFeed; c < r.req.Class; c++ {
		n += len(q.byClass[c])
	}
	for _, x := range q.byClass[r.req.Class] {
		if x == r || x.deadline > r.deadline {
			break
		}
		n++
	}
	return n
}

// last returns the request that would be sent last, or nil.
func (q *requestQueue) last() *request {
	for c := int(core.NumClasses) - 1; c >= 0; c-- {
		if n := len(q.byClass[c]); n > 0 {
			return q.byClass[c][n-1]
		}
	}
	return nil
}

// next returns the first request that may be sent now, or nil.
func (q *requestQueue) next(maySend func(*request) bool) *request {
	for c := range q.byClass {
		for _, r := range q.byClass[c] {
			if maySend(r) {
				return r
			}
		}
	}
	return nil
}

// othersWait reports whether requests other than uploads wait.
func (q *requestQueue) othersWait() bool { return q.len() > len(q.byClass[core.ClassUpload]) }

func (o *ownedTarget) queueLimit() int {
	if o.contract.QueueLimit > 0 {
		return o.contract.QueueLimit
	}
	return defaultQueueLimit
}

// estimateWait returns the estimated time until a request with n others ahead of it is sent.
func (s *Shard) estimateWait(o *ownedTarget, n int) time.Duration {
	limit := max(o.admission.limit, 1)
	free := limit - o.inFlight
	if n < free {
		return 0
	}
	rounds := float64(n-free+1) / float64(limit)
	return time.Duration(rounds * float64(o.admission.serviceTime()))
}

// queueClearTime estimates the time until the queue has been sent and served.
func (s *Shard) queueClearTime(o *ownedTarget) time.Duration {
	return s.estimateWait(o, o.queue.len()) + o.admission.serviceTime()
}

// waitTooLong reports whether a wait exceeds the time left or the wait limit of the request's
// class.
func (s *Shard) waitTooLong(o *ownedTarget, r *request, wait time.Duration) bool {
	limit := o.contract.MaxWait[r.req.Class]
	waited := s.now - r.arrived
	return s.now+wait > r.deadline || limit > 0 && waited+wait > limit
}

// checkQueue returns why a request cannot be queued, or ReasonNone. A request of a higher
// priority displaces the last one of a full queue.
func (s *Shard) checkQueue(o *ownedTarget, r *request) core.RefusalReason {
	if reason, until := s.blockReason(o); reason != core.ReasonNone && s.waitTooLong(o, r, max(until-s.now, 0)) {
		return reason
	}
	if s.waitTooLong(o, r, s.estimateWait(o, o.queue.ahead(r))) {
		return core.ReasonOverload
	}
	if o.queue.len() < o.queueLimit() {
		return core.ReasonNone
	}
	last := o.queue.last()
	if last.req.Class <= r.req.Class {
		return core.ReasonOverload
	}
	s.refuseRequest(o, last, core.ReasonOverload)
	return core.ReasonNone
}

func (s *Shard) enqueue(o *ownedTarget, r *request) { o.queue.add(r) }

// recheckQueued refuses a queued request at once when it can no longer be sent in time.
func (s *Shard) recheckQueued(o *ownedTarget, r *request) {
	reason, until := s.blockReason(o)
	if reason != core.ReasonNone {
		left := max(until-s.now, 0)
		if s.waitTooLong(o, r, left) || until == 0 && s.now-r.arrived >= blockedWait {
			s.refuseRequest(o, r, reason)
		}
		return
	}
	if s.waitTooLong(o, r, s.estimateWait(o, o.queue.ahead(r))) {
		s.refuseRequest(o, r, core.ReasonOverload)
	}
}

// blockReason returns why nothing may be sent to the target now, or ReasonNone, and the time at
// which the block ends, or 0 when that time is not known.
func (s *Shard) blockReason(o *ownedTarget) (core.RefusalReason, time.Duration) {
	target := o.snapshot
	switch {
	case target == nil || o.outOfService(s.now):
		return core.ReasonTargetLost, 0
	case s.now < target.NotBefore:
		return core.ReasonNoTarget, target.NotBefore
	case s.now < o.previousOwnerUntil && o.previousOwnerCold:
		return core.ReasonNoAuthority, o.previousOwnerUntil
	case o.admission.cold && !s.authority():
		return core.ReasonNoAuthority, 0
	case s.newerGenerationKnown() && !s.newerGenerationOverdue():
		return core.ReasonNoAuthority, s.snapshot.NewestGenerationSince + newerGenerationWait
	}
	return core.ReasonNone, 0
}

func (s *Shard) newerGenerationKnown() bool {
	return s.snapshot.NewestGeneration > s.snapshot.Config.Generation
}

// newerGenerationOverdue reports whether a known newer generation has not arrived in time. Then
// only idempotent requests are served.
func (s *Shard) newerGenerationOverdue() bool {
	return s.newerGenerationKnown() && s.now-s.snapshot.NewestGenerationSince >= newerGenerationWait
}

// sendQueuedAll sends what may be sent now to all targets.
func (s *Shard) sendQueuedAll() {
	for _, o := range s.ownedInOrder {
		s.sendQueued(o)
	}
}

// sendQueued sends queued requests as long as the target's limit allows it.
func (s *Shard) sendQueued(o *ownedTarget) {
	if s.owned[o.id] != o || o.handover != nil && !s.receiverUnreachable(o) {
		return
	}
	s.raiseLimit(o)
	for o.inFlight < o.admission.limit {
		if reason, _ := s.blockReason(o); reason != core.ReasonNone {
			return
		}
		if !s.sendNext(o) {
			return
		}
	}
}

// sendNext sends one request. Renewals of feeds alternate with queued requests. It reports false
// when nothing may be sent.
func (s *Shard) sendNext(o *ownedTarget) bool {
	r := o.queue.next(func(r *request) bool { return s.mayStart(o, r) })
	if fd := o.feeds.nextRenewal(o, s.now); fd != nil && (r == nil || !o.feeds.lastWasRenewal) {
		o.feeds.lastWasRenewal = true
		s.sendRenewal(o, fd)
		return true
	}
	o.feeds.lastWasRenewal = false
	if r == nil {
		return false
	}
	o.queue.remove(r)
	s.startRequest(o, r)
	return true
}

// mayStart reports whether a queued request may take a free slot. Uploads wait for all other
// requests and leave one slot free for them.
func (s *Shard) mayStart(o *ownedTarget, r *request) bool {
	if s.waitsForHandover(o, &r.req) || o.remote.flowBusy(r.req.Flow) || !r.req.Idempotent && !s.backupAssigned(o) {
		return false
	}
	if r.req.Class != core.ClassUpload {
		return true
	}
	if o.queue.othersWait() {
		return false
	}
	return o.admission.limit <= 1 || o.uploads < o.admission.limit-1
}

// startRequest sends a request after the last checks, or refuses it.
func (s *Shard) startRequest(o *ownedTarget, r *request) {
	if s.now >= r.deadline {
		s.refuseRequest(o, r, core.ReasonDeadline)
		return
	}
	if o.snapshot.Target.Service != r.req.Flow.Service {
		s.refuseRequest(o, r, core.ReasonNoTarget)
		return
	}
	if r.req.Idempotent {
		s.sendAttempt(o, r)
		return
	}
	if reason := s.checkRecord(o, r); reason != core.ReasonNone && reason != core.ReasonOverload {
		s.refuseRequest(o, r, reason)
		return
	}
	if s.askBackup(o, r) {
		r.state = requestConfirming
		return
	}
	s.setRecord(o, r.key, record{state: core.RecordSent})
	s.sendAttempt(o, r)
}
