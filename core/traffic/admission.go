package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// admissionLimit is the number of requests in flight that a target may have, with the state that
// determines it.
type admissionLimit struct {
	limit int
	cold  bool
	// slots is the declared number of slots, reportedSlots the number that the target reports.
	slots, reportedSlots int
	coldLimit            int
	rampTime             time.Duration
	// stepAt is the time of the last change of the limit.
	stepAt time.Duration
	// succeeded is true when the target has answered an attempt since stepAt; succeededAt is the time
	// of the first such answer.
	succeeded   bool
	succeededAt time.Duration
	// failures counts consecutive sheds and time-outs.
	failures int
	// reportedCold is true when the target's newest answer reports that the target is cold.
	reportedCold bool
	// reportedDraining is true when the target's newest answer reports that the target drains,
	// probeDraining when its newest probe does.
	reportedDraining, probeDraining bool
	bootID                          uint64
	// failedProbes counts consecutive failed probes.
	failedProbes int
	// meanTime is a moving average of the time that an attempt takes.
	meanTime time.Duration
}

const (
	defaultColdLimit   = 1
	defaultRamp        = 30 * time.Second
	defaultServiceTime = 20 * time.Millisecond
	// probesUntilRestart is the number of consecutive failed probes after which the next successful
	// one means that the target has restarted.
	probesUntilRestart = 2
)

// configure sets the declared limits.
func (a *admissionLimit) configure(c core.Contract, slots int) {
	a.coldLimit = defaultColdLimit
	if c.ColdLimit > 0 {
		a.coldLimit = c.ColdLimit
	}
	a.rampTime = defaultRamp
	if c.Ramp > 0 {
		a.rampTime = c.Ramp
	}
	a.slots = max(slots, 1)
	a.limit = min(a.limit, a.capacity())
}

// capacity returns the limit of a warm target.
func (a *admissionLimit) capacity() int {
	if a.reportedSlots > 0 {
		return min(a.slots, a.reportedSlots)
	}
	return max(a.slots, 1)
}

// floor returns the limit of a target that has just become cold.
func (a *admissionLimit) floor() int { return min(max(a.coldLimit, 1), a.capacity()) }

// setCold restarts the ramp. It reports whether the target was warm.
func (a *admissionLimit) setCold(now time.Duration) bool {
	wasWarm := !a.cold
	a.cold = true
	a.limit = a.floor()
	a.stepAt = now
	a.succeeded = false
	a.failures = 0
	return wasWarm
}

// step raises the limit by one when attempts have succeeded without a failure for one step of the
// ramp and the target does not report that it is cold. The time before the first success does not
// count. It reports whether the target became warm, which takes the whole ramp.
func (a *admissionLimit) step(now time.Duration) bool {
	maxLimit := a.capacity()
	if a.limit >= maxLimit && !a.cold {
		return false
	}
	interval := a.rampTime / time.Duration(max(maxLimit-a.floor(), 1))
	if !a.succeeded || a.reportedCold || now-a.succeededAt < interval {
		return false
	}
	a.limit = min(a.limit+1, maxLimit)
	a.stepAt = now
	a.succeeded = false
	if a.limit < maxLimit || !a.cold {
		return false
	}
	a.cold = false
	return true
}

// onSuccess records an attempt that the target answered.
func (a *admissionLimit) onSuccess(now, duration time.Duration) {
	if !a.succeeded {
		a.succeeded = true
		a.succeededAt = now
	}
	a.failures = 0
	a.failedProbes = 0
	if a.meanTime == 0 {
		a.meanTime = duration
	}
	a.meanTime += (duration - a.meanTime) / 8
}

// onFailure records a shed or a time-out. It reports whether this made the target cold.
func (a *admissionLimit) onFailure(now time.Duration) bool {
	a.limit = max(a.limit/2, a.floor())
	a.stepAt = now
	a.succeeded = false
	a.failures++
	if a.failures < coldAfterFailures {
		return false
	}
	return a.setCold(now)
}

// draining reports whether the target's newest answer or probe reports that the target drains.
func (a *admissionLimit) draining() bool { return a.reportedDraining || a.probeDraining }

// serviceTime estimates how long an attempt takes.
func (a *admissionLimit) serviceTime() time.Duration {
	if a.meanTime == 0 {
		return defaultServiceTime
	}
	return max(a.meanTime, time.Millisecond)
}

// onReport applies a load report. It reports whether this made the target cold.
func (a *admissionLimit) onReport(l *core.LoadReport, fromAnswer bool, now time.Duration) bool {
	if fromAnswer {
		a.reportedCold = l.Cold
		a.reportedDraining = l.Draining
	}
	if l.Slots > 0 && (fromAnswer || a.failures == 0) {
		a.reportedSlots = int(l.Slots)
		a.limit = min(a.limit, a.capacity())
	}
	restarted := l.BootID != 0 && a.bootID != 0 && l.BootID != a.bootID
	if l.BootID != 0 {
		a.bootID = l.BootID
	}
	if restarted || l.Cold && !a.cold {
		return a.setCold(now)
	}
	return false
}

// onProbe applies the outcome of a probe. Probes can only make a target colder: recent answers are
// better evidence than a probe.
func (s *Shard) onProbe(p core.TargetProbe) {
	o := s.owned[p.Target]
	if o == nil {
		return
	}
	a := &o.admission
	cold := false
	if !p.OK {
		a.failedProbes++
	} else {
		cold = a.failedProbes >= probesUntilRestart && a.setCold(s.now)
		a.failedProbes = 0
	}
	if p.OK && p.Load != nil {
		cold = a.onReport(p.Load, false, s.now) || cold
		a.probeDraining = p.Load.Draining
	}
	s.emitIfCold(o, cold)
}

func (s *Shard) emitIfCold(o *ownedTarget, cold bool) {
	if cold {
		s.emitEvent(core.EventTargetCold, o.id)
	}
}

// raiseLimit raises the limit of a target when it is time for the next step.
func (s *Shard) raiseLimit(o *ownedTarget) {
	if o.admission.step(s.now) {
		s.emitEvent(core.EventTargetWarm, o.id)
	}
}
