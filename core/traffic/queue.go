package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const defaultQueueLimit = 64

// queue holds the requests that wait for a target, by class and then by deadline.
type queue struct {
	class [core.NumClasses][]*request
}

func (q *queue) len() int {
	n := 0
	for c := range q.class {
		n += len(q.class[c])
	}
	return n
}

// add inserts a request behind those of its class that have the same deadline.
func (q *queue) add(r *request) {
	list := q.class[r.req.Class]
	i := len(list)
	for i > 0 && list[i-1].deadline > r.deadline {
		i--
	}
	q.class[r.req.Class] = slices.Insert(list, i, r)
}

func (q *queue) remove(r *request) {
	list := q.class[r.req.Class]
	if i := slices.Index(list, r); i >= 0 {
		q.class[r.req.Class] = slices.Delete(list, i, i+1)
	}
}

// ahead counts the requests that would be sent before r.
func (q *queue) ahead(r *request) int {
	n := 0
	for c := core.ClassFeed; c < r.req.Class; c++ {
		n += len(q.class[c])
	}
	for _, x := range q.class[r.req.Class] {
		if x == r || x.deadline > r.deadline {
			break
		}
		n++
	}
	return n
}

// last returns the request that would be sent last, or nil.
func (q *queue) last() *request {
	for c := int(core.NumClasses) - 1; c >= 0; c-- {
		if n := len(q.class[c]); n > 0 {
			return q.class[c][n-1]
		}
	}
	return nil
}

// next returns the first request that may be sent now, or nil.
func (q *queue) next(may func(*request) bool) *request {
	for c := range q.class {
		for _, r := range q.class[c] {
			if may(r) {
				return r
			}
		}
	}
	return nil
}

// othersWait reports whether requests other than uploads wait.
func (q *queue) othersWait() bool { return q.len() > len(q.class[core.ClassUpload]) }

func (o *owner) queueLimit() int {
	if o.contract.QueueLimit > 0 {
		return o.contract.QueueLimit
	}
	return defaultQueueLimit
}

// estimate returns the time until a request would be sent that has n others ahead.
func (s *Shard) estimate(o *owner, n int) time.Duration {
	limit := max(o.ramp.limit, 1)
	free := limit - o.inFlight
	if n < free {
		return 0
	}
	rounds := float64(n-free+1) / float64(limit)
	return time.Duration(rounds * float64(o.ramp.serviceTime()))
}

// clearTime estimates when the queue will have been sent.
func (s *Shard) clearTime(o *owner) time.Duration {
	return s.estimate(o, o.queue.len()) + o.ramp.serviceTime()
}

// tooLate reports whether a wait exceeds the time left or the wait limit of the request's class.
func (s *Shard) tooLate(o *owner, r *request, wait time.Duration) bool {
	limit := o.contract.MaxWait[r.req.Class]
	waited := s.now - r.arrived
	return s.now+wait > r.deadline || limit > 0 && waited+wait > limit
}

// queueObjection returns why a request cannot be queued, or ReasonNone. A request of a higher
// priority displaces the last one of a full queue.
func (s *Shard) queueObjection(o *owner, r *request) core.RefusalReason {
	if reason, until := s.gate(o); reason != core.ReasonNone && s.tooLate(o, r, max(until-s.now, 0)) {
		return reason
	}
	if s.tooLate(o, r, s.estimate(o, o.queue.ahead(r))) {
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

func (s *Shard) enqueue(o *owner, r *request) { o.queue.add(r) }

// reconsider refuses a queued request at once when it can no longer be sent in time.
func (s *Shard) reconsider(o *owner, r *request) {
	reason, until := s.gate(o)
	if reason != core.ReasonNone {
		left := max(until-s.now, 0)
		if s.tooLate(o, r, left) || until == 0 && s.now-r.arrived >= gateWait {
			s.refuseRequest(o, r, reason)
		}
		return
	}
	if s.tooLate(o, r, s.estimate(o, o.queue.ahead(r))) {
		s.refuseRequest(o, r, core.ReasonOverload)
	}
}

// gate returns why nothing may be sent to the target now, or ReasonNone, and the time at which it
// may be; 0 when that is not known.
func (s *Shard) gate(o *owner) (core.RefusalReason, time.Duration) {
	v := o.view
	switch {
	case v == nil || o.evicted(s.now):
		return core.ReasonTargetLost, 0
	case s.now < v.NotBefore:
		return core.ReasonNoTarget, v.NotBefore
	case s.now < o.formerUntil && o.formerCold:
		return core.ReasonNoAuthority, o.formerUntil
	case o.ramp.cold && !s.authority():
		return core.ReasonNoAuthority, 0
	case s.newerGenerationKnown() && !s.newerGenerationOverdue():
		return core.ReasonNoAuthority, s.snap.NewestGenerationSince + newerGenerationWait
	}
	return core.ReasonNone, 0
}

func (s *Shard) newerGenerationKnown() bool {
	return s.snap.NewestGeneration > s.snap.Config.Generation
}

// newerGenerationOverdue reports whether a known newer generation has not arrived in time. Then
// only idempotent requests are served.
func (s *Shard) newerGenerationOverdue() bool {
	return s.newerGenerationKnown() && s.now-s.snap.NewestGenerationSince >= newerGenerationWait
}

// pumpAll sends what may be sent to all targets.
func (s *Shard) pumpAll() {
	for _, o := range s.ordered {
		s.pump(o)
	}
}

// pump sends waiting requests while the target's limit allows it.
func (s *Shard) pump(o *owner) {
	if s.owners[o.id] != o || o.handover != nil && !s.receiverSuspect(o) {
		return
	}
	s.stepRamp(o)
	for o.inFlight < o.ramp.limit {
		if reason, _ := s.gate(o); reason != core.ReasonNone {
			return
		}
		if !s.sendNext(o) {
			return
		}
	}
}

// sendNext starts one request. Registrations of feeds that are renewed alternate with the queue. It
// reports false when nothing may be sent.
func (s *Shard) sendNext(o *owner) bool {
	r := o.queue.next(func(r *request) bool { return s.mayStart(o, r) })
	if fd := o.feeds.nextRenewal(o, s.now); fd != nil && (r == nil || !o.feeds.lastWasRenewal) {
		o.feeds.lastWasRenewal = true
		s.renew(o, fd)
		return true
	}
	o.feeds.lastWasRenewal = false
	if r == nil {
		return false
	}
	o.queue.remove(r)
	s.start(o, r)
	return true
}

// mayStart reports whether a queued request may take a free slot.
func (s *Shard) mayStart(o *owner, r *request) bool {
	if s.heldBack(o, &r.req) || o.remote.flowBusy(r.req.Flow) || !r.req.Idempotent && !s.knowsBackup(o) {
		return false
	}
	if r.req.Class != core.ClassUpload {
		return true
	}
	if o.queue.othersWait() {
		return false
	}
	return o.ramp.limit <= 1 || o.uploads < o.ramp.limit-1
}

// start sends a request after the last checks, or refuses it.
func (s *Shard) start(o *owner, r *request) {
	if s.now >= r.deadline {
		s.refuseRequest(o, r, core.ReasonDeadline)
		return
	}
	if o.view.Target.Service != r.req.Flow.Service {
		s.refuseRequest(o, r, core.ReasonNoTarget)
		return
	}
	if r.req.Idempotent {
		s.sendAttempt(o, r)
		return
	}
	if reason := s.recordObjection(o, r); reason != core.ReasonNone && reason != core.ReasonOverload {
		s.refuseRequest(o, r, reason)
		return
	}
	if s.askBackup(o, r) {
		r.state = reqConfirming
		return
	}
	s.setRecord(o, r.key, record{state: core.RecordSent})
	s.sendAttempt(o, r)
}
