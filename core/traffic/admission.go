package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// admissionLimit is the admission limit of a target: the number of requests in flight that it may have.
type admissionLimit struct {
	limit int
	cold  bool
	// slots is the declared number of slots, reported the number that the target says it has.
	slots, reportedSlots int
	coldLimit            int
	rampTime             time.Duration
	// stepAt is the time of the last change of the limit.
	stepAt time.Duration
	// succeeded is true when the target answered well since stepAt; succeededAt is the first such time.
	succeeded   bool
	succeededAt time.Duration
	// failures counts sheds and time-outs in a row.
	failures int
	// reportedCold is the target's own statement in its newest answer.
	reportedCold bool
	// reportedDraining is the target's statement in its newest answer, probeDraining that of its probe.
	reportedDraining, probeDraining bool
	bootID                          uint64
	// failedProbes counts failed probes in a row.
	failedProbes int
	// meanTime is a moving average of the time that an attempt takes.
	meanTime time.Duration
}

const (
	defaultColdLimit   = 1
	defaultRamp        = 30 * time.Second
	defaultServiceTime = 20 * time.Millisecond
	// probesUntilRestart is the number of failed probes after which a target counts as restarted.
	probesUntilRestart = 2
)

// configure takes over the declared limits.
func (r *admissionLimit) configure(c core.Contract, slots int) {
	r.coldLimit = defaultColdLimit
	if c.ColdLimit > 0 {
		r.coldLimit = c.ColdLimit
	}
	r.rampTime = defaultRamp
	if c.Ramp > 0 {
		r.rampTime = c.Ramp
	}
	r.slots = max(slots, 1)
	r.limit = min(r.limit, r.capacity())
}

// capacity returns the limit of a warm target.
func (r *admissionLimit) capacity() int {
	if r.reportedSlots > 0 {
		return min(r.slots, r.reportedSlots)
	}
	return max(r.slots, 1)
}

func (r *admissionLimit) floor() int { return min(max(r.coldLimit, 1), r.capacity()) }

// setCold restarts the ramp. It reports whether the target was warm.
func (r *admissionLimit) setCold(now time.Duration) bool {
	wasWarm := !r.cold
	r.cold = true
	r.limit = r.floor()
	r.stepAt = now
	r.succeeded = false
	r.failures = 0
	return wasWarm
}

// step raises the limit by one when enough time has passed with good answers only. Time without
// answers does not count. It reports whether the target became warm, which takes the whole ramp.
func (r *admissionLimit) step(now time.Duration) bool {
	maxLimit := r.capacity()
	if r.limit >= maxLimit && !r.cold {
		return false
	}
	interval := r.rampTime / time.Duration(max(maxLimit-r.floor(), 1))
	if !r.succeeded || r.reportedCold || now-r.succeededAt < interval {
		return false
	}
	r.limit = min(r.limit+1, maxLimit)
	r.stepAt = now
	r.succeeded = false
	if r.limit < maxLimit || !r.cold {
		return false
	}
	r.cold = false
	return true
}

// onSuccess notes an attempt that the target answered.
func (r *admissionLimit) onSuccess(now, duration time.Duration) {
	if !r.succeeded {
		r.succeeded = true
		r.succeededAt = now
	}
	r.failures = 0
	r.failedProbes = 0
	if r.meanTime == 0 {
		r.meanTime = duration
	}
	r.meanTime += (duration - r.meanTime) / 8
}

// onFailure notes a shed or a time-out. It reports whether the target became cold by it.
func (r *admissionLimit) onFailure(now time.Duration) bool {
	r.limit = max(r.limit/2, r.floor())
	r.stepAt = now
	r.succeeded = false
	r.failures++
	if r.failures < coldAfterFailures {
		return false
	}
	return r.setCold(now)
}

// draining reports whether the target says in any way that it leaves.
func (r *admissionLimit) draining() bool { return r.reportedDraining || r.probeDraining }

// serviceTime estimates how long an attempt takes.
func (r *admissionLimit) serviceTime() time.Duration {
	if r.meanTime == 0 {
		return defaultServiceTime
	}
	return max(r.meanTime, time.Millisecond)
}

// onReport takes over a load report. It reports whether the target became cold by it.
func (r *admissionLimit) onReport(l *core.LoadReport, fromAnswer bool, now time.Duration) bool {
	if fromAnswer {
		r.reportedCold = l.Cold
		r.reportedDraining = l.Draining
	}
	if l.Slots > 0 && (fromAnswer || r.failures == 0) {
		r.reportedSlots = int(l.Slots)
		r.limit = min(r.limit, r.capacity())
	}
	restarted := l.BootID != 0 && r.bootID != 0 && l.BootID != r.bootID
	if l.BootID != 0 {
		r.bootID = l.BootID
	}
	if restarted || l.Cold && !r.cold {
		return r.setCold(now)
	}
	return false
}

// onProbe takes over the outcome of a probe. Probes can only make a target colder: while answers
// are recent, they say more than a probe.
func (s *Shard) onProbe(p core.TargetProbe) {
	o := s.owned[p.Target]
	if o == nil {
		return
	}
	r := &o.admission
	cold := false
	if !p.OK {
		r.failedProbes++
	} else {
		cold = r.failedProbes >= probesUntilRestart && r.setCold(s.now)
		r.failedProbes = 0
	}
	if p.OK && p.Load != nil {
		cold = r.onReport(p.Load, false, s.now) || cold
		r.probeDraining = p.Load.Draining
	}
	s.emitIfCold(o, cold)
}

func (s *Shard) emitIfCold(o *ownedTarget, cold bool) {
	if cold {
		s.emitEvent(core.EventTargetCold, o.id)
	}
}

// raiseLimit lets the limit of a target grow.
func (s *Shard) raiseLimit(o *ownedTarget) {
	if o.admission.step(s.now) {
		s.emitEvent(core.EventTargetWarm, o.id)
	}
}
