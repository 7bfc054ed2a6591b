package traffic

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// attempt is one sending of a request to a target. It takes a slot until the target returns a
// result, or until cancelGrace after it was cancelled.
type attempt struct {
	token   core.AttemptToken
	number  uint8
	target  *ownedTarget
	request *request
	addr    netip.AddrPort
	sentAt  time.Duration
	// slotFreeAt is the time at which a cancelled attempt frees its slot; 0 while it runs.
	slotFreeAt time.Duration
	feed       *feed
}

func (s *Shard) nextToken() core.AttemptToken {
	n := s.tokenCounter
	s.tokenCounter += s.opts.ShardCount
	if s.tokenCounter < n {
		// Tokens stay congruent to the shard's index when the counter wraps.
		s.tokenCounter = s.opts.ShardIndex
	}
	return core.NewAttemptToken(s.opts.Source, n)
}

// sendAttempt sends a request that has passed all checks.
func (s *Shard) sendAttempt(o *ownedTarget, r *request) {
	a := &attempt{token: s.nextToken(), number: uint8(r.retries), target: o, request: r, addr: o.snapshot.Target.Addr, sentAt: s.now}
	if r.renewal {
		a.number = core.RenewalAttempt
	}
	s.attempts[a.token] = a
	o.attempts = append(o.attempts, a)
	o.inFlight++
	if r.req.Class == core.ClassUpload {
		o.uploads++
	}
	r.state = requestSent
	r.current = a
	r.openAttempts++
	if r.retries == 0 {
		s.retryBudget = min(s.retryBudget+retriesPerRequest, maxRetryBudget)
	}
	if r.req.Method == core.MethodSubscribe {
		a.feed = s.openFeed(o, r, a)
	}
	s.emit(core.SendTarget{
		Target:    o.id,
		Service:   o.snapshot.Target.Service,
		Addr:      a.addr,
		Kind:      core.SendRequest,
		Token:     a.token,
		Attempt:   a.number,
		Request:   r.req,
		Remaining: r.deadline - s.now,
	})
}

// cancelAttempt cancels an attempt. Its slot is taken until the target confirms or cancelGrace
// passes.
func (s *Shard) cancelAttempt(a *attempt) {
	if a == nil || a.slotFreeAt != 0 {
		return
	}
	a.slotFreeAt = s.now + cancelGrace
	s.sendCancel(a.target, a.token, a.number, a.addr, &a.request.req)
}

// sendCancel cancels a token at the target, unless the target gets no packets any more.
func (s *Shard) sendCancel(o *ownedTarget, token core.AttemptToken, number uint8, addr netip.AddrPort, r *core.Request) {
	target := o.snapshot
	if target == nil || o.outOfService(s.now) || s.now < target.NotBefore || target.Target.Service != r.Flow.Service {
		return
	}
	s.emit(core.SendTarget{
		Target:  o.id,
		Service: target.Target.Service,
		Addr:    addr,
		Kind:    core.SendCancel,
		Token:   token,
		Attempt: number,
		Request: *r,
	})
}

// freeSlot ends an attempt and frees its slot.
func (s *Shard) freeSlot(a *attempt) {
	if s.attempts[a.token] != a {
		return
	}
	delete(s.attempts, a.token)
	o := a.target
	o.attempts = slices.DeleteFunc(o.attempts, func(x *attempt) bool { return x == a })
	o.inFlight--
	if a.request.req.Class == core.ClassUpload {
		o.uploads--
	}
	if a.request.current == a {
		a.request.current = nil
	}
}

// onAnswer handles a message from a target. Messages that do not match an attempt are dropped.
func (s *Shard) onAnswer(m core.TargetAnswer) {
	if a := s.attempts[m.Token]; a != nil {
		if m.From != a.addr || m.Flow != a.request.req.Flow {
			s.emitEvent(core.EventAnswerDropped, a.target.id)
			return
		}
		s.onAttemptAnswer(a, m)
		return
	}
	fd := s.feeds[m.Token]
	if fd == nil && m.Status == core.AnswerNotification {
		s.rejectNotification(m)
	}
	if fd == nil || m.From != fd.addr || m.Flow != fd.req.Flow {
		s.emitEvent(core.EventAnswerDropped, 0)
		return
	}
	s.onNotification(fd, m)
}

// onAttemptAnswer ends an attempt that the target answered.
func (s *Shard) onAttemptAnswer(a *attempt, m core.TargetAnswer) {
	o, r := a.target, a.request
	s.freeSlot(a)
	if m.Load != nil {
		s.emitIfCold(o, o.admission.onReport(m.Load, true, s.now))
	}
	switch m.Status {
	case core.AnswerShed:
		r.openAttempts--
		s.emitIfCold(o, o.admission.onFailure(s.now))
		s.onShed(o, r)
	case core.AnswerCancelled:
		r.openAttempts--
		s.onCancelled(o, r)
	default:
		o.admission.onSuccess(s.now, s.now-a.sentAt)
		s.onResult(a, m)
	}
	s.reportOutcome(o, a)
	s.forwardRequeued(o, r)
	if s.owned[o.id] == o {
		s.sendQueued(o)
	}
}

// onResult passes a target's answer to the client, unless the request has already ended.
func (s *Shard) onResult(a *attempt, m core.TargetAnswer) {
	o, r := a.target, a.request
	r.mayHaveRun = true
	if !r.req.Idempotent {
		s.setRecord(o, r.key, record{state: core.RecordDone, answer: m.Payload})
	}
	if r.state == requestEnded {
		s.emitEvent(core.EventAnswerDropped, o.id)
		return
	}
	s.finish(o, r)
	if r.current != nil {
		s.cancelAttempt(r.current)
	}
	notification := r.renewal
	if a.feed != nil {
		s.onRegistered(a, m)
	}
	s.answer(&r.req, m.Payload, notification)
}

// onShed retries a request that the target shed, or refuses it.
func (s *Shard) onShed(o *ownedTarget, r *request) {
	if r.state != requestSent || r.current != nil {
		return
	}
	if r.cancelled {
		s.refuseRequest(o, r, core.ReasonCancelled)
		return
	}
	if !s.takeRetry(o, r) {
		s.refuseRequest(o, r, core.ReasonShed)
		return
	}
	if !s.retryElsewhere(o, r) {
		s.retry(o, r)
	}
}

// retryElsewhere sends an idempotent request that was shed to another target. Requests that belong
// to a feed or an upload stay on their target. It reports false when the request is not forwarded.
func (s *Shard) retryElsewhere(o *ownedTarget, r *request) bool {
	stays := !r.req.Idempotent || r.req.Sticky || r.keepPlacement || r.req.Class == core.ClassFeed
	if stays || r.req.Class == core.ClassUpload || r.req.Method != core.MethodOther {
		return false
	}
	if s.owned[o.id] != o || o.feeds.has(r.req.Flow) {
		return false
	}
	target := s.chooseTarget(o, r.req.Flow, []core.TargetID{o.id})
	if target == 0 || s.reachableOwner(target) == "" {
		return false
	}
	s.finish(o, r)
	f := r.forwardMessage(s)
	f.Target = target
	f.KeepPlacement = true
	s.dispatch(f)
	return true
}

// takeRetry reports whether the retry budget and the request's deadline allow another attempt, and
// takes it from the budget.
func (s *Shard) takeRetry(o *ownedTarget, r *request) bool {
	if r.renewal || r.retries >= maxRetries || s.retryBudget < 1 {
		return false
	}
	if s.now+o.admission.serviceTime() >= r.deadline {
		return false
	}
	s.retryBudget--
	r.retries++
	return true
}

// retry queues a request again. After a handover, it goes to the new owner.
func (s *Shard) retry(o *ownedTarget, r *request) {
	if !r.req.Idempotent {
		s.setRecord(o, r.key, record{state: core.RecordQueued})
	}
	if s.owned[o.id] != o {
		r.requeued = true
		return
	}
	r.state = requestQueued
	o.queue.add(r)
}

// onCancelled ends a request that the target cancelled before it ran.
func (s *Shard) onCancelled(o *ownedTarget, r *request) {
	switch {
	case r.state != requestSent || r.current != nil:
	case r.cancelled:
		s.refuseRequest(o, r, core.ReasonCancelled)
	default:
		// The target cancelled the request without being asked to.
		s.refuseRequest(o, r, core.ReasonTargetLost)
	}
}

// retryTime returns the time after which an idempotent request is sent again.
func (o *ownedTarget) retryTime() time.Duration { return max(minAttemptTime, 4*o.admission.meanTime) }

// expireAttempts handles attempts without a result.
func (s *Shard) expireAttempts() {
	for _, o := range s.ownedInOrder {
		s.expireTargetAttempts(o)
	}
	for _, o := range s.released {
		s.expireTargetAttempts(o)
	}
}

func (s *Shard) expireTargetAttempts(o *ownedTarget) {
	for _, a := range slices.Clone(o.attempts) {
		r := a.request
		switch {
		case a.slotFreeAt != 0 && s.now >= a.slotFreeAt:
			s.endUnconfirmedCancel(a)
		case a.slotFreeAt != 0:
		case s.now >= r.deadline:
			s.cancelAttempt(a)
			s.emitIfCold(o, o.admission.onFailure(s.now))
			s.refuseExpired(o, r)
		case r.req.Idempotent && s.now-a.sentAt >= o.retryTime() && s.owned[o.id] == o && s.takeRetry(o, r):
			s.cancelAttempt(a)
			s.emitIfCold(o, o.admission.onFailure(s.now))
			s.retry(o, r)
		}
	}
}

// refuseExpired refuses a request whose deadline has passed.
func (s *Shard) refuseExpired(o *ownedTarget, r *request) {
	if r.state == requestEnded {
		return
	}
	reason := core.ReasonDeadline
	if o.outOfService(s.now) {
		reason = core.ReasonTargetLost
	}
	s.refuseRequest(o, r, reason)
}

// endUnconfirmedCancel ends an attempt whose cancellation was not confirmed. The request may have
// run.
func (s *Shard) endUnconfirmedCancel(a *attempt) {
	o, r := a.target, a.request
	s.freeSlot(a)
	r.openAttempts--
	r.mayHaveRun = true
	if r.state == requestSent && r.current == nil && r.cancelled {
		s.refuseRequest(o, r, core.ReasonCancelled)
	}
	s.reportOutcome(o, a)
}
