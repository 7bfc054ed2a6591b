package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// reqKey identifies a request.
type reqKey struct {
	flow core.FlowKey
	id   core.RequestID
}

func keyOf(r *core.Request) reqKey { return reqKey{r.Flow, r.ID} }

type reqState uint8

const (
	// reqConfirming waits for the backup's confirmation of its record.
	reqConfirming reqState = iota
	reqQueued
	reqSent
	reqEnded
)

// request is a request that has not ended.
type request struct {
	key      reqKey
	req      core.Request
	state    reqState
	ingress  core.VMName
	arrived  time.Duration
	deadline time.Duration
	// cleared is true when no other VM can have a record of the request.
	cleared bool
	// renewal is true for the registration of a feed by this VM itself.
	renewal bool
	// once is true for a request of a flow on another target.
	once bool
	// cancelled is true when the caller withdrew the request.
	cancelled bool
	retries   int
	// ran is true when an attempt may have run: it was sent and neither shed nor withdrawn.
	ran bool
	// unresolved counts the attempts without a verdict.
	unresolved int
	// requeued is true when a former holder has to hand the request to the new one.
	requeued bool
	current  *attempt
	// backup is the VM that was asked to confirm the record under number seq.
	backup      core.VMName
	seq         uint64
	confirmed   bool
	confirmFrom time.Duration
}

// onOwned handles a request for a target that this shard holds.
func (s *Shard) onOwned(o *owner, f *core.ForwardRequest) {
	r := &f.Request
	if r.Method == core.MethodCancel && s.cancelRequest(o, keyOf(r)) {
		return
	}
	if s.absorb(o, f) {
		return
	}
	if o.crossed(f, s.now) {
		s.event(core.EventDuplicateAbsorbed, o.id)
		return
	}
	if s.heldBack(o, r) {
		s.holdBack(o, f)
		return
	}
	if f.KeepPlacement {
		s.admit(o, f)
		return
	}
	e := o.flows.get(&r.Flow)
	if e == nil {
		e = s.locate(o, f)
	}
	if e == nil {
		return
	}
	e.touch(s.now)
	if f.FlowKnown && e.target != o.id && slices.Contains(f.AskedTargets, e.target) && !o.moved.has(r.Flow, s.now) &&
		!o.evicted(s.now) && !slices.Contains(f.RemainingCandidates, e.target) {
		// The flow comes back from the target that it was once placed on. A flow that was moved away
		// does not: its new holder only asks for records, through other candidates. Neither does one whose
		// holder is still in the trail.
		o.origins.put(r.Flow, e.target, s.now+core.RequestLifetime)
		o.setFlow(r.Flow, o.id, s.now)
	}
	if e.target != o.id {
		s.redirect(o, e.target, f)
		return
	}
	if !f.FlowKnown && (len(f.RemainingCandidates) > 0 || f.Hops > 1) {
		s.send(f.Ingress, &core.FlowLearned{Flow: r.Flow, Target: o.id})
	}
	if f.FlowMoved && !o.unsure.has(r.Flow, s.now) {
		// Counted from the first request after the move: only repetitions from before it are in doubt.
		o.unsure.put(r.Flow, s.now+core.RequestLifetime)
		if n := len(f.AskedTargets); n > 0 {
			o.origins.put(r.Flow, f.AskedTargets[n-1], s.now+core.RequestLifetime)
		}
	}
	if !s.settle(o, f) {
		return
	}
	if o.evicted(s.now) && !f.Renewal {
		s.move(o, f)
		return
	}
	if r.Method == core.MethodCancel {
		return
	}
	s.admit(o, f)
}

// absorb handles a repetition of a request that is known here. It reports whether f is one.
func (s *Shard) absorb(o *owner, f *core.ForwardRequest) bool {
	r := &f.Request
	if r.Method == core.MethodCancel {
		return false
	}
	key := keyOf(r)
	if o.active[key] != nil || o.remote.has(key) {
		s.event(core.EventDuplicateAbsorbed, o.id)
		return true
	}
	rec := o.records.get(key)
	if rec == nil {
		return false
	}
	s.event(core.EventDuplicateAbsorbed, o.id)
	s.answerFromRecord(f, rec)
	return true
}

func (s *Shard) repeatRefusal(f *core.ForwardRequest, reason core.RefusalReason, run core.RunStatus, comeBackAt time.Duration) {
	s.emitRefusal(&request{req: f.Request}, reason, run, max(comeBackAt-s.now, minComeBack))
}

// newRequest returns the state of a request that has reached its owner.
func (s *Shard) newRequest(o *owner, f *core.ForwardRequest) *request {
	sure := f.NoRecordElsewhere || f.FlowKnown
	if o.unsure.has(f.Request.Flow, s.now) {
		// Records from before the flow came here may be at any of its candidates.
		sure = f.NoRecordElsewhere && (f.FlowKnown || s.askedAll(o, f))
	}
	return &request{
		key:      keyOf(&f.Request),
		req:      f.Request,
		ingress:  f.Ingress,
		arrived:  s.now,
		deadline: s.now + s.remaining(f),
		cleared:  sure && !f.OwnerUnreachable && o.doubts[f.Request.Flow] == nil,
		renewal:  f.Renewal,
		once:     f.KeepPlacement,
	}
}

// askedAll reports whether a request has visited all other candidates of its flow.
func (s *Shard) askedAll(o *owner, f *core.ForwardRequest) bool {
	for _, id := range s.candidates(f.Request.Flow) {
		if id != o.id && !slices.Contains(f.AskedTargets, id) {
			return false
		}
	}
	return true
}

// admit decides whether a request of a flow on this target is queued or refused.
func (s *Shard) admit(o *owner, f *core.ForwardRequest) {
	if f.Renewal {
		s.adoptFeed(o, &f.Request)
		return
	}
	r := s.newRequest(o, f)
	if reason := s.objection(o, r); reason != core.ReasonNone {
		s.refuseRequest(o, r, reason)
		return
	}
	if r.req.Method == core.MethodUnsubscribe {
		s.unsubscribe(o, &r.req)
	}
	o.active[r.key] = r
	o.live = append(o.live, r)
	if !r.req.Idempotent {
		s.setRecord(o, r.key, record{state: core.RecordQueued})
	}
	s.prepare(o, r)
	s.pump(o)
}

// objection returns why a new request cannot wait for this target, or ReasonNone.
func (s *Shard) objection(o *owner, r *request) core.RefusalReason {
	if !r.req.Idempotent {
		if reason := s.recordObjection(o, r); reason != core.ReasonNone {
			return reason
		}
	}
	if r.deadline <= s.now {
		return core.ReasonDeadline
	}
	return s.queueObjection(o, r)
}

// recordObjection returns why a non-idempotent request must not start, or ReasonNone.
func (s *Shard) recordObjection(o *owner, r *request) core.RefusalReason {
	switch {
	case !r.cleared, s.now < o.quarantineUntil:
		return core.ReasonQuarantine
	case !s.authority(), s.now < o.formerUntil:
		return core.ReasonNoAuthority
	case s.newerGenerationOverdue():
		return core.ReasonNoAuthority
	case o.records.full():
		return core.ReasonOverload
	}
	return core.ReasonNone
}

// prepare gets the backup's confirmation for a non-idempotent request and queues the request.
func (s *Shard) prepare(o *owner, r *request) {
	if !r.req.Idempotent && s.knowsBackup(o) && s.askBackup(o, r) {
		r.state = reqConfirming
		return
	}
	r.state = reqQueued
	s.enqueue(o, r)
}

// finish removes a request from everything that waits.
func (s *Shard) finish(o *owner, r *request) {
	if r.state == reqQueued {
		o.queue.remove(r)
	}
	r.state = reqEnded
	if o.active[r.key] != r {
		return
	}
	delete(o.active, r.key)
	o.live = slices.DeleteFunc(o.live, func(x *request) bool { return x == r })
}

// cancelRequest withdraws the request or the feed with the given id. It reports whether it is here.
func (s *Shard) cancelRequest(o *owner, key reqKey) bool {
	ended := s.cancelFeed(o, key)
	r := o.withdrawn(key)
	if r == nil {
		return ended
	}
	if r.state != reqSent {
		s.refuseRequest(o, r, core.ReasonCancelled)
		return true
	}
	if !r.cancelled {
		r.cancelled = true
		s.withdraw(r.current)
	}
	return true
}

// withdrawn returns the request that a cancellation is for, or nil. A CoAP reset names no token, so
// that it cannot be looked up; the requests that have not ended are few.
func (o *owner) withdrawn(cancel reqKey) *request {
	if r := o.active[cancel]; r != nil {
		return r
	}
	for _, r := range o.live {
		if r.key.flow == cancel.flow && r.state != reqEnded && withdraws(cancel.id, r.key.id) {
			return r
		}
	}
	return nil
}

// tickRequests expires requests that wait. Attempts in flight are expired by expireAttempts.
func (s *Shard) tickRequests(o *owner) {
	if len(o.live) == 0 {
		return
	}
	evicted := o.handover == nil && s.owners[o.id] == o && o.evicted(s.now)
	for _, r := range slices.Clone(o.live) {
		switch {
		case r.state == reqSent || r.state == reqEnded:
		case s.now >= r.deadline:
			s.refuseRequest(o, r, core.ReasonDeadline)
		case evicted:
			s.moveRequest(o, r)
		case r.state == reqConfirming && s.now-r.confirmFrom >= backupWait:
			s.refuseRequest(o, r, core.ReasonBackup)
		case r.state == reqQueued && o.handover == nil:
			s.reconsider(o, r)
		}
	}
}
