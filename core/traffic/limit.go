package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// ramp is the admission limit of a target: the number of requests in flight that it may have.
type ramp struct {
	limit int
	cold  bool
	// slots is the declared number of slots, reported the number that the target says it has.
	slots, reported int
	coldLimit       int
	rampTime        time.Duration
	// stepAt is the time of the last change of the limit.
	stepAt time.Duration
	// good is true when the target answered well since stepAt; goodFrom is the first such time.
	good     bool
	goodFrom time.Duration
	// errors counts sheds and time-outs in a row.
	errors int
	// saysCold is the target's own statement in its newest answer.
	saysCold bool
	// saysDraining is the target's statement in its newest answer, probeDraining that of its probe.
	saysDraining, probeDraining bool
	boot                        uint64
	// silent counts failed probes in a row.
	silent int
	// service is a moving average of the time that an attempt takes.
	service time.Duration
}

const (
	defaultColdLimit   = 1
	defaultRamp        = 30 * time.Second
	defaultServiceTime = 20 * time.Millisecond
	// silentProbes is the number of failed probes after which a target counts as restarted.
	silentProbes = 2
)

// configure takes over the declared limits.
func (r *ramp) configure(c core.Contract, slots int) {
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
func (r *ramp) capacity() int {
	if r.reported > 0 {
		return min(r.slots, r.reported)
	}
	return max(r.slots, 1)
}

func (r *ramp) floor() int { return min(max(r.coldLimit, 1), r.capacity()) }

// setCold restarts the ramp. It reports whether the target was warm.
func (r *ramp) setCold(now time.Duration) bool {
	was := !r.cold
	r.cold = true
	r.limit = r.floor()
	r.stepAt = now
	r.good = false
	r.errors = 0
	return was
}

// step raises the limit by one when enough time has passed with good answers only. Time without
// answers does not count. It reports whether the target became warm, which takes the whole ramp.
func (r *ramp) step(now time.Duration) bool {
	top := r.capacity()
	if r.limit >= top && !r.cold {
		return false
	}
	interval := r.rampTime / time.Duration(max(top-r.floor(), 1))
	if !r.good || r.saysCold || now-r.goodFrom < interval {
		return false
	}
	r.limit = min(r.limit+1, top)
	r.stepAt = now
	r.good = false
	if r.limit < top || !r.cold {
		return false
	}
	r.cold = false
	return true
}

// onGood notes an attempt that the target answered.
func (r *ramp) onGood(now, took time.Duration) {
	if !r.good {
		r.good = true
		r.goodFrom = now
	}
	r.errors = 0
	r.silent = 0
	if r.service == 0 {
		r.service = took
	}
	r.service += (took - r.service) / 8
}

// onBad notes a shed or a time-out. It reports whether the target became cold by it.
func (r *ramp) onBad(now time.Duration) bool {
	r.limit = max(r.limit/2, r.floor())
	r.stepAt = now
	r.good = false
	r.errors++
	if r.errors < coldAfterErrors {
		return false
	}
	return r.setCold(now)
}

// draining reports whether the target says in any way that it leaves.
func (r *ramp) draining() bool { return r.saysDraining || r.probeDraining }

// serviceTime estimates how long an attempt takes.
func (r *ramp) serviceTime() time.Duration {
	if r.service == 0 {
		return defaultServiceTime
	}
	return max(r.service, time.Millisecond)
}

// onReport takes over a load report. It reports whether the target became cold by it.
func (r *ramp) onReport(l *core.LoadReport, answer bool, now time.Duration) bool {
	if answer {
		r.saysCold = l.Cold
		r.saysDraining = l.Draining
	}
	if l.Slots > 0 && (answer || r.errors == 0) {
		r.reported = int(l.Slots)
		r.limit = min(r.limit, r.capacity())
	}
	restarted := l.BootID != 0 && r.boot != 0 && l.BootID != r.boot
	if l.BootID != 0 {
		r.boot = l.BootID
	}
	if restarted || l.Cold && !r.cold {
		return r.setCold(now)
	}
	return false
}

// onProbe takes over the outcome of a probe. Probes can only make a target colder: while answers
// are recent, they say more than a probe.
func (s *Shard) onProbe(p core.TargetProbe) {
	o := s.owners[p.Target]
	if o == nil {
		return
	}
	r := &o.ramp
	cold := false
	if !p.OK {
		r.silent++
	} else {
		cold = r.silent >= silentProbes && r.setCold(s.now)
		r.silent = 0
	}
	if p.OK && p.Load != nil {
		cold = r.onReport(p.Load, false, s.now) || cold
		r.probeDraining = p.Load.Draining
	}
	s.coldEvent(o, cold)
}

func (s *Shard) coldEvent(o *owner, cold bool) {
	if cold {
		s.event(core.EventTargetCold, o.id)
	}
}

// stepRamp lets the limit of a target grow.
func (s *Shard) stepRamp(o *owner) {
	if o.ramp.step(s.now) {
		s.event(core.EventTargetWarm, o.id)
	}
}
