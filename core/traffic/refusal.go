package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// jitter spreads a duration evenly over 75% to 125%, by request, so that refused callers do not
// come back together.
func (s *Shard) jitter(d time.Duration, k reqKey) time.Duration {
	h := rendezvous.Mix(k.flow.Hash()^k.id.Lo^s.opts.Seed, k.id.Hi)
	part := float64(h>>11) / (1 << 53)
	d = time.Duration(float64(d) * (0.75 + 0.5*part))
	return min(max(d, minComeBack), maxComeBack)
}

// refuseForward refuses a request that this VM does not own. Another VM may have run it, so its
// outcome is unknown.
func (s *Shard) refuseForward(f *core.ForwardRequest, reason core.RefusalReason) {
	if f.Request.Method == core.MethodCancel {
		return
	}
	if f.Renewal {
		s.event(core.EventFlowLost, f.Target)
		return
	}
	s.emit(core.RefuseClient{
		Flow:       f.Request.Flow,
		ID:         f.Request.ID,
		Request:    f.Request.Payload,
		Class:      f.Request.Class,
		Reason:     reason,
		Run:        core.RunUnknown,
		RetryAfter: s.jitter(unreachableComeBack, keyOf(&f.Request)),
		Trace:      f.Request.Trace,
	})
}

// refuseRequest ends a request with a refusal and remembers what the caller was told.
func (s *Shard) refuseRequest(o *owner, r *request, reason core.RefusalReason) {
	s.finish(o, r)
	if r.renewal {
		if fd := o.feeds.get(feedKeyOf(&r.req)); fd != nil {
			s.renewLater(fd, shedPause)
		}
		return
	}
	run := s.runStatus(o, r)
	comeBack := s.comeBack(o, r, reason)
	s.remember(o, r, reason, run, comeBack)
	s.emitRefusal(r, reason, run, comeBack)
}

func (s *Shard) emitRefusal(r *request, reason core.RefusalReason, run core.RunStatus, comeBack time.Duration) {
	s.emit(core.RefuseClient{
		Flow:       r.req.Flow,
		ID:         r.req.ID,
		Request:    r.req.Payload,
		Class:      r.req.Class,
		Reason:     reason,
		Run:        run,
		RetryAfter: comeBack,
		Trace:      r.req.Trace,
	})
}

// runStatus says whether any attempt of a request, sent by any VM, may have run.
func (s *Shard) runStatus(o *owner, r *request) core.RunStatus {
	// A VM that is cut off serves idempotent requests without authority, so that nobody can know
	// that none of the copies of one has run.
	if r.req.Idempotent || r.ran || r.unresolved > 0 || !r.cleared || !s.vouches(o) {
		return core.RunUnknown
	}
	if o.records.get(r.key) == nil && o.records.full() {
		return core.RunUnknown
	}
	return core.NotRun
}

// vouches reports whether this VM alone decides about the target's requests and knows all that were
// started: without authority, another VM may have taken the target over and run a repetition.
func (s *Shard) vouches(o *owner) bool {
	return s.authority() && s.now >= o.formerUntil && s.now >= o.quarantineUntil && !o.uncertain()
}

// remember keeps the refusal of a non-idempotent request, so that a late repetition is not run after
// the caller was told.
func (s *Shard) remember(o *owner, r *request, reason core.RefusalReason, run core.RunStatus, comeBack time.Duration) {
	if r.req.Idempotent {
		return
	}
	state := core.RecordNotRun
	if run == core.RunUnknown {
		state = core.RecordUnknown
	}
	s.setRecord(o, r.key, record{state: state, reason: reason, comeBackAt: s.now + comeBack})
}

// comeBack estimates when a request would be accepted.
func (s *Shard) comeBack(o *owner, r *request, reason core.RefusalReason) time.Duration {
	d := unreachableComeBack
	switch reason {
	case core.ReasonOverload, core.ReasonShed, core.ReasonDeadline:
		d = s.clearTime(o)
	case core.ReasonQuarantine:
		d = max(o.quarantineUntil-s.now, unreachableComeBack)
	case core.ReasonNoAuthority:
		d = max(o.formerUntil-s.now, unreachableComeBack)
	case core.ReasonBackup, core.ReasonCancelled:
		d = minComeBack
	}
	return s.jitter(d, r.key)
}
