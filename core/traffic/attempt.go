package traffic

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// attempt is one sending of a request to a target. It takes a slot until the target's verdict, or
// until cancelGrace after it was withdrawn.
type attempt struct {
	token  core.AttemptToken
	number uint8
	o      *owner
	r      *request
	addr   netip.AddrPort
	sentAt time.Duration
	// freeAt is the time at which a withdrawn attempt gives its slot back; 0 while it runs.
	freeAt time.Duration
	feed   *feed
}

func (s *Shard) nextToken() core.AttemptToken {
	n := s.token
	s.token += s.opts.ShardCount
	if s.token < n {
		// Tokens stay congruent to the shard's index when the counter wraps.
		s.token = s.opts.ShardIndex
	}
	return core.NewAttemptToken(s.opts.Source, n)
}

// sendAttempt sends a request that has passed all checks.
func (s *Shard) sendAttempt(o *owner, r *request) {
	a := &attempt{token: s.nextToken(), number: uint8(r.retries), o: o, r: r, addr: o.view.Target.Addr, sentAt: s.now}
	if r.renewal {
		a.number = core.RenewalAttempt
	}
	s.attempts[a.token] = a
	o.flights = append(o.flights, a)
	o.inFlight++
	if r.req.Class == core.ClassUpload {
		o.uploads++
	}
	r.state = reqSent
	r.current = a
	r.unresolved++
	if r.retries == 0 {
		s.retryFund = min(s.retryFund+retryShare, maxRetryFund)
	}
	if r.req.Method == core.MethodSubscribe {
		a.feed = s.openFeed(o, r, a)
	}
	s.emit(core.SendTarget{
		Target:    o.id,
		Service:   o.view.Target.Service,
		Addr:      a.addr,
		Kind:      core.SendRequest,
		Token:     a.token,
		Attempt:   a.number,
		Request:   r.req,
		Remaining: r.deadline - s.now,
	})
}

// withdraw cancels an attempt; its slot is taken until the target confirms or cancelGrace passes.
func (s *Shard) withdraw(a *attempt) {
	if a == nil || a.freeAt != 0 {
		return
	}
	a.freeAt = s.now + cancelGrace
	s.sendCancel(a.o, a.token, a.number, a.addr, &a.r.req)
}

// sendCancel withdraws a token at the target, unless the target gets no packets any more.
func (s *Shard) sendCancel(o *owner, token core.AttemptToken, number uint8, addr netip.AddrPort, r *core.Request) {
	v := o.view
	if v == nil || o.evicted(s.now) || s.now < v.NotBefore || v.Target.Service != r.Flow.Service {
		return
	}
	s.emit(core.SendTarget{
		Target:  o.id,
		Service: v.Target.Service,
		Addr:    addr,
		Kind:    core.SendCancel,
		Token:   token,
		Attempt: number,
		Request: *r,
	})
}

// release gives the slot of an attempt back.
func (s *Shard) release(a *attempt) {
	if s.attempts[a.token] != a {
		return
	}
	delete(s.attempts, a.token)
	o := a.o
	o.flights = slices.DeleteFunc(o.flights, func(x *attempt) bool { return x == a })
	o.inFlight--
	if a.r.req.Class == core.ClassUpload {
		o.uploads--
	}
	if a.r.current == a {
		a.r.current = nil
	}
}

// onAnswer handles a message from a target. Messages that do not match an attempt are dropped.
func (s *Shard) onAnswer(m core.TargetAnswer) {
	if a := s.attempts[m.Token]; a != nil {
		if m.From != a.addr || m.Flow != a.r.req.Flow {
			s.event(core.EventAnswerDropped, a.o.id)
			return
		}
		s.onVerdict(a, m)
		return
	}
	fd := s.feeds[m.Token]
	if fd == nil && m.Status == core.AnswerNotification {
		s.reject(m)
	}
	if fd == nil || m.From != fd.addr || m.Flow != fd.req.Flow {
		s.event(core.EventAnswerDropped, 0)
		return
	}
	s.onNotification(fd, m)
}

// onVerdict ends an attempt.
func (s *Shard) onVerdict(a *attempt, m core.TargetAnswer) {
	o, r := a.o, a.r
	s.release(a)
	if m.Load != nil {
		s.coldEvent(o, o.ramp.onReport(m.Load, true, s.now))
	}
	switch m.Status {
	case core.AnswerShed:
		r.unresolved--
		s.coldEvent(o, o.ramp.onBad(s.now))
		s.onShed(o, r)
	case core.AnswerCancelled:
		r.unresolved--
		s.onCancelled(o, r)
	default:
		o.ramp.onGood(s.now, s.now-a.sentAt)
		s.onResult(a, m)
	}
	s.reportOutcome(o, a)
	s.handOnRequeued(o, r)
	if s.owners[o.id] == o {
		s.pump(o)
	}
}

// onResult hands a target's answer to the caller, unless the caller was told something else before.
func (s *Shard) onResult(a *attempt, m core.TargetAnswer) {
	o, r := a.o, a.r
	r.ran = true
	if !r.req.Idempotent {
		s.setRecord(o, r.key, record{state: core.RecordDone, answer: m.Payload})
	}
	if r.state == reqEnded {
		s.event(core.EventAnswerDropped, o.id)
		return
	}
	s.finish(o, r)
	if r.current != nil {
		s.withdraw(r.current)
	}
	notification := r.renewal
	if a.feed != nil {
		s.registered(a, m)
	}
	s.answer(&r.req, m.Payload, notification)
}

// onShed sends a request again that the target did not run, or refuses it.
func (s *Shard) onShed(o *owner, r *request) {
	if r.state != reqSent || r.current != nil {
		return
	}
	if r.cancelled {
		s.refuseRequest(o, r, core.ReasonCancelled)
		return
	}
	if !s.mayRetry(o, r) {
		s.refuseRequest(o, r, core.ReasonShed)
		return
	}
	if !s.retryElsewhere(o, r) {
		s.retry(o, r)
	}
}

// retryElsewhere sends an idempotent request that was shed to another target. Requests that belong
// to a feed or an upload stay on their target. It reports false when the request has to stay.
func (s *Shard) retryElsewhere(o *owner, r *request) bool {
	stays := !r.req.Idempotent || r.req.Sticky || r.once || r.req.Class == core.ClassFeed
	if stays || r.req.Class == core.ClassUpload || r.req.Method != core.MethodOther {
		return false
	}
	if s.owners[o.id] != o || o.feeds.has(r.req.Flow) {
		return false
	}
	target := s.choose(o, r.req.Flow, []core.TargetID{o.id})
	if target == 0 || s.holderOf(target) == "" {
		return false
	}
	s.finish(o, r)
	f := r.forward(s)
	f.Target = target
	f.KeepPlacement = true
	s.dispatch(f)
	return true
}

// mayRetry reports whether the retry budget and the request's deadline allow another attempt, and
// takes it from the budget.
func (s *Shard) mayRetry(o *owner, r *request) bool {
	if r.renewal || r.retries >= maxRetries || s.retryFund < 1 {
		return false
	}
	if s.now+o.ramp.serviceTime() >= r.deadline {
		return false
	}
	s.retryFund--
	r.retries++
	return true
}

// retry queues a request again. After a handover, it goes to the new holder.
func (s *Shard) retry(o *owner, r *request) {
	if !r.req.Idempotent {
		s.setRecord(o, r.key, record{state: core.RecordQueued})
	}
	if s.owners[o.id] != o {
		r.requeued = true
		return
	}
	r.state = reqQueued
	o.queue.add(r)
}

// onCancelled ends a request that the target withdrew before it ran.
func (s *Shard) onCancelled(o *owner, r *request) {
	switch {
	case r.state != reqSent || r.current != nil:
	case r.cancelled:
		s.refuseRequest(o, r, core.ReasonCancelled)
	default:
		// The target withdrew it by itself.
		s.refuseRequest(o, r, core.ReasonTargetLost)
	}
}

// attemptTime returns the time after which an idempotent request is sent again.
func (o *owner) attemptTime() time.Duration { return max(minAttemptTime, 4*o.ramp.service) }

// expireAttempts handles attempts without a verdict.
func (s *Shard) expireAttempts() {
	for _, o := range s.ordered {
		s.expireFlights(o)
	}
	for _, o := range s.former {
		s.expireFlights(o)
	}
}

func (s *Shard) expireFlights(o *owner) {
	for _, a := range slices.Clone(o.flights) {
		r := a.r
		switch {
		case a.freeAt != 0 && s.now >= a.freeAt:
			s.abandon(a)
		case a.freeAt != 0:
		case s.now >= r.deadline:
			s.withdraw(a)
			s.coldEvent(o, o.ramp.onBad(s.now))
			s.giveUp(o, r)
		case r.req.Idempotent && s.now-a.sentAt >= o.attemptTime() && s.owners[o.id] == o && s.mayRetry(o, r):
			s.withdraw(a)
			s.coldEvent(o, o.ramp.onBad(s.now))
			s.retry(o, r)
		}
	}
}

// giveUp tells the caller that its deadline has passed.
func (s *Shard) giveUp(o *owner, r *request) {
	if r.state == reqEnded {
		return
	}
	reason := core.ReasonDeadline
	if o.evicted(s.now) {
		reason = core.ReasonTargetLost
	}
	s.refuseRequest(o, r, reason)
}

// abandon gives up an attempt whose withdrawal was not confirmed. It may have run.
func (s *Shard) abandon(a *attempt) {
	o, r := a.o, a.r
	s.release(a)
	r.unresolved--
	r.ran = true
	if r.state == reqSent && r.current == nil && r.cancelled {
		s.refuseRequest(o, r, core.ReasonCancelled)
	}
	s.reportOutcome(o, a)
}
