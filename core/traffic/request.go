package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// requestKey identifies a request.
type requestKey struct {
	flow core.FlowKey
	id   core.RequestID
}

func requestKeyOf(r *core.Request) requestKey { return requestKey{r.Flow, r.ID} }

type requestState uint8

const (
	// requestConfirming: the request waits for the backup to confirm its record.
	requestConfirming requestState = iota
	requestQueued
	requestSent
	requestEnded
)

// request is a request that has not ended.
type request struct {
	key      requestKey
	req      core.Request
	state    requestState
	ingress  core.VMName
	arrived  time.Duration
	deadline time.Duration
	// noRecordElsewhere is true when no other VM can have a record of the request.
	noRecordElsewhere bool
	// renewal is true for the registration of a feed by this VM itself.
	renewal bool
	// keepPlacement is true for a request that another target has shed: its flow stays on that
	// target.
	keepPlacement bool
	// cancelled is true when the client cancelled the request.
	cancelled bool
	retries   int
	// mayHaveRun is true when an attempt may have run: it was sent and neither shed nor cancelled.
	mayHaveRun bool
	// openAttempts counts the attempts without a result.
	openAttempts int
	// requeued is true when a previous owner has to forward the request to the new one.
	requeued bool
	current  *attempt
	// backup is the VM that was asked to confirm the record under number backupSeq.
	backup       core.VMName
	backupSeq    uint64
	confirmed    bool
	confirmSince time.Duration
}

// onOwnedRequest handles a request for a target that this shard owns.
func (s *Shard) onOwnedRequest(o *ownedTarget, f *core.ForwardRequest) {
	r := &f.Request
	if r.Method == core.MethodCancel && s.cancelRequest(o, requestKeyOf(r)) {
		return
	}
	if s.handleDuplicate(o, f) {
		return
	}
	if o.copiesCrossed(f, s.now) {
		s.emitEvent(core.EventDuplicateAbsorbed, o.id)
		return
	}
	if s.waitsForHandover(o, r) {
		s.awaitAck(o, f)
		return
	}
	if f.KeepPlacement {
		s.admit(o, f)
		return
	}
	e := o.flows.get(&r.Flow)
	if e == nil {
		e = s.locateFlow(o, f)
	}
	if e == nil {
		return
	}
	e.touch(s.now)
	if f.FlowKnown && e.target != o.id && slices.Contains(f.AskedTargets, e.target) && !o.movedAway.has(r.Flow, s.now) &&
		!o.outOfService(s.now) && !slices.Contains(f.RemainingCandidates, e.target) {
		// The flow comes back from the target that it was once placed on. A flow that was moved
		// away does not: its new owner only asks for records, through other candidates. Neither
		// does one whose owner is still among the remaining candidates.
		o.returnedFrom.put(r.Flow, e.target, s.now+core.RequestLifetime)
		o.setFlow(r.Flow, o.id, s.now)
	}
	if e.target != o.id {
		s.redirect(o, e.target, f)
		return
	}
	if !f.FlowKnown && (len(f.RemainingCandidates) > 0 || f.Hops > 1) {
		s.send(f.Ingress, &core.FlowLearned{Flow: r.Flow, Target: o.id})
	}
	if f.FlowMoved && !o.recordsElsewhere.has(r.Flow, s.now) {
		// The time counts from the first request after the move: only retransmissions of requests
		// from before the move may have records elsewhere.
		o.recordsElsewhere.put(r.Flow, s.now+core.RequestLifetime)
		if n := len(f.AskedTargets); n > 0 {
			o.returnedFrom.put(r.Flow, f.AskedTargets[n-1], s.now+core.RequestLifetime)
		}
	}
	if !s.confirmPlacement(o, f) {
		return
	}
	if o.outOfService(s.now) && !f.Renewal {
		s.moveFlow(o, f)
		return
	}
	if r.Method == core.MethodCancel {
		return
	}
	s.admit(o, f)
}

// handleDuplicate handles a retransmission of a request that is known here. It reports whether f is
// one.
func (s *Shard) handleDuplicate(o *ownedTarget, f *core.ForwardRequest) bool {
	r := &f.Request
	if r.Method == core.MethodCancel {
		return false
	}
	key := requestKeyOf(r)
	if o.active[key] != nil || o.remote.has(key) {
		s.emitEvent(core.EventDuplicateAbsorbed, o.id)
		return true
	}
	rec := o.records.get(key)
	if rec == nil {
		return false
	}
	s.emitEvent(core.EventDuplicateAbsorbed, o.id)
	s.answerFromRecord(f, rec)
	return true
}

func (s *Shard) repeatRefusal(f *core.ForwardRequest, reason core.RefusalReason, run core.RunStatus, retryAt time.Duration) {
	s.emitRefusal(&request{req: f.Request}, reason, run, max(retryAt-s.now, minRetryAfter))
}

// newRequest returns the state of a request that has reached its owner.
func (s *Shard) newRequest(o *ownedTarget, f *core.ForwardRequest) *request {
	noRecordElsewhere := f.NoRecordElsewhere || f.FlowKnown
	if o.recordsElsewhere.has(f.Request.Flow, s.now) {
		// Records from before the flow came here may be at any of its candidates.
		noRecordElsewhere = f.NoRecordElsewhere && (f.FlowKnown || s.askedAllCandidates(o, f))
	}
	return &request{
		key:               requestKeyOf(&f.Request),
		req:               f.Request,
		ingress:           f.Ingress,
		arrived:           s.now,
		deadline:          s.now + s.remainingTime(f),
		noRecordElsewhere: noRecordElsewhere && !f.OwnerUnreachable && o.unconfirmed[f.Request.Flow] == nil,
		renewal:           f.Renewal,
		keepPlacement:     f.KeepPlacement,
	}
}

// askedAllCandidates reports whether a request has visited all other candidates of its flow.
func (s *Shard) askedAllCandidates(o *ownedTarget, f *core.ForwardRequest) bool {
	for _, id := range s.candidates(f.Request.Flow) {
		if id != o.id && !slices.Contains(f.AskedTargets, id) {
			return false
		}
	}
	return true
}

// admit decides whether a request is queued for this target or refused.
func (s *Shard) admit(o *ownedTarget, f *core.ForwardRequest) {
	if f.Renewal {
		s.takeOverFeed(o, &f.Request)
		return
	}
	r := s.newRequest(o, f)
	if reason := s.checkAdmission(o, r); reason != core.ReasonNone {
		s.refuseRequest(o, r, reason)
		return
	}
	if r.req.Method == core.MethodUnsubscribe {
		s.unsubscribe(o, &r.req)
	}
	o.active[r.key] = r
	o.activeInOrder = append(o.activeInOrder, r)
	if !r.req.Idempotent {
		s.setRecord(o, r.key, record{state: core.RecordQueued})
	}
	s.confirmOrEnqueue(o, r)
	s.sendQueued(o)
}

// checkAdmission returns why a new request cannot wait for this target, or ReasonNone.
func (s *Shard) checkAdmission(o *ownedTarget, r *request) core.RefusalReason {
	if !r.req.Idempotent {
		if reason := s.checkRecord(o, r); reason != core.ReasonNone {
			return reason
		}
	}
	if r.deadline <= s.now {
		return core.ReasonDeadline
	}
	return s.checkQueue(o, r)
}

// checkRecord returns why a non-idempotent request must not start, or ReasonNone.
func (s *Shard) checkRecord(o *ownedTarget, r *request) core.RefusalReason {
	switch {
	case !r.noRecordElsewhere, s.now < o.quarantineUntil:
		return core.ReasonQuarantine
	case !s.authority(), s.now < o.previousOwnerUntil:
		return core.ReasonNoAuthority
	case s.newerGenerationOverdue():
		return core.ReasonNoAuthority
	case o.records.full():
		return core.ReasonOverload
	}
	return core.ReasonNone
}

// confirmOrEnqueue asks the backup to confirm the record of a non-idempotent request, or queues the
// request if there is nothing to confirm.
func (s *Shard) confirmOrEnqueue(o *ownedTarget, r *request) {
	if !r.req.Idempotent && s.backupAssigned(o) && s.askBackup(o, r) {
		r.state = requestConfirming
		return
	}
	r.state = requestQueued
	s.enqueue(o, r)
}

// finish removes a request from the queue and from the requests that have not ended.
func (s *Shard) finish(o *ownedTarget, r *request) {
	if r.state == requestQueued {
		o.queue.remove(r)
	}
	r.state = requestEnded
	if o.active[r.key] != r {
		return
	}
	delete(o.active, r.key)
	o.activeInOrder = slices.DeleteFunc(o.activeInOrder, func(x *request) bool { return x == r })
}

// cancelRequest cancels the request or the feed with the given id. It reports whether there is one.
func (s *Shard) cancelRequest(o *ownedTarget, key requestKey) bool {
	feedEnded := s.cancelFeed(o, key)
	r := o.requestToCancel(key)
	if r == nil {
		return feedEnded
	}
	if r.state != requestSent {
		s.refuseRequest(o, r, core.ReasonCancelled)
		return true
	}
	if !r.cancelled {
		r.cancelled = true
		s.cancelAttempt(r.current)
	}
	return true
}

// requestToCancel returns the request that a cancellation is for, or nil. A CoAP reset names no
// token, so its request is not found by the key; the search is short because few requests have not
// ended.
func (o *ownedTarget) requestToCancel(cancel requestKey) *request {
	if r := o.active[cancel]; r != nil {
		return r
	}
	for _, r := range o.activeInOrder {
		if r.key.flow == cancel.flow && r.state != requestEnded && cancelMatches(cancel.id, r.key.id) {
			return r
		}
	}
	return nil
}

// tickRequests expires requests that wait. Attempts in flight are expired by expireAttempts.
func (s *Shard) tickRequests(o *ownedTarget) {
	if len(o.activeInOrder) == 0 {
		return
	}
	outOfService := o.handover == nil && s.owned[o.id] == o && o.outOfService(s.now)
	for _, r := range slices.Clone(o.activeInOrder) {
		switch {
		case r.state == requestSent || r.state == requestEnded:
		case s.now >= r.deadline:
			s.refuseRequest(o, r, core.ReasonDeadline)
		case outOfService:
			s.moveRequest(o, r)
		case r.state == requestConfirming && s.now-r.confirmSince >= backupWait:
			s.refuseRequest(o, r, core.ReasonBackup)
		case r.state == requestQueued && o.handover == nil:
			s.recheckQueued(o, r)
		}
	}
}
