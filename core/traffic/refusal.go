package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// jitter spreads a duration evenly over 75% to 125%, by request, so that refused clients do not
// retry at the same time.
func (s *Shard) jitter(d time.Duration, k requestKey) time.Duration {
	h := rendezvous.Mix(k.flow.Hash()^k.id.Lo^s.opts.Seed, k.id.Hi)
	fraction := float64(h>>11) / (1 << 53)
	d = time.Duration(float64(d) * (0.75 + 0.5*fraction))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// refuseForward refuses a request that is not admitted on this VM. Another VM may have run it, so
// its outcome is unknown.
func (s *Shard) refuseForward(f *core.ForwardRequest, reason core.RefusalReason) {
	if f.Request.Method == core.MethodCancel {
		return
	}
	if f.Renewal {
		s.emitEvent(core.EventFlowLost, f.Target)
		return
	}
	s.emit(core.RefuseClient{
		Flow:       f.Request.Flow,
		ID:         f.Request.ID,
		Request:    f.Request.Payload,
		Class:      f.Request.Class,
		Reason:     reason,
		Run:        core.RunUnknown,
		RetryAfter: s.jitter(unreachableRetryAfter, requestKeyOf(&f.Request)),
		Trace:      f.Request.Trace,
	})
}

// refuseRequest ends a request with a refusal and records what its client receives.
func (s *Shard) refuseRequest(o *ownedTarget, r *request, reason core.RefusalReason) {
	s.finish(o, r)
	if r.renewal {
		if fd := o.feeds.get(feedKeyOf(&r.req)); fd != nil {
			s.renewLater(fd, renewalPause)
		}
		return
	}
	run := s.runStatus(o, r)
	retryAfter := s.retryAfter(o, r, reason)
	s.recordRefusal(o, r, reason, run, retryAfter)
	s.emitRefusal(r, reason, run, retryAfter)
}

func (s *Shard) emitRefusal(r *request, reason core.RefusalReason, run core.RunStatus, retryAfter time.Duration) {
	s.emit(core.RefuseClient{
		Flow:       r.req.Flow,
		ID:         r.req.ID,
		Request:    r.req.Payload,
		Class:      r.req.Class,
		Reason:     reason,
		Run:        run,
		RetryAfter: retryAfter,
		Trace:      r.req.Trace,
	})
}

// runStatus says whether any attempt of a request, sent by any VM, may have run.
func (s *Shard) runStatus(o *ownedTarget, r *request) core.RunStatus {
	// A VM that is cut off serves idempotent requests without authority, so that no VM can exclude
	// that a copy of one has run.
	if r.req.Idempotent || r.mayHaveRun || r.openAttempts > 0 || !r.noRecordElsewhere || !s.decidesAlone(o) {
		return core.RunUnknown
	}
	if o.records.get(r.key) == nil && o.records.full() {
		return core.RunUnknown
	}
	return core.NotRun
}

// decidesAlone reports whether this VM alone decides about the target's requests and has records of
// all that were started: without authority, another VM may have taken the target over and run a
// retransmission.
func (s *Shard) decidesAlone(o *ownedTarget) bool {
	return s.authority() && s.now >= o.previousOwnerUntil && s.now >= o.quarantineUntil && !o.handoverUnconfirmed()
}

// recordRefusal keeps the refusal of a non-idempotent request, so that a late retransmission is not
// run after its client received the refusal.
func (s *Shard) recordRefusal(o *ownedTarget, r *request, reason core.RefusalReason, run core.RunStatus, retryAfter time.Duration) {
	if r.req.Idempotent {
		return
	}
	state := core.RecordNotRun
	if run == core.RunUnknown {
		state = core.RecordUnknown
	}
	s.setRecord(o, r.key, record{state: state, reason: reason, retryAt: s.now + retryAfter})
}

// retryAfter estimates the time after which a request would be accepted.
func (s *Shard) retryAfter(o *ownedTarget, r *request, reason core.RefusalReason) time.Duration {
	d := unreachableRetryAfter
	switch reason {
	case core.ReasonOverload, core.ReasonShed, core.ReasonDeadline:
		d = s.queueClearTime(o)
	case core.ReasonQuarantine:
		d = max(o.quarantineUntil-s.now, unreachableRetryAfter)
	case core.ReasonNoAuthority:
		d = max(o.previousOwnerUntil-s.now, unreachableRetryAfter)
	case core.ReasonBackup, core.ReasonCancelled:
		d = minRetryAfter
	}
	return s.jitter(d, r.key)
}
