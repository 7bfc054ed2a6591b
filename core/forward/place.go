package forward

import "time"

const (
	// sampleSize is the number of targets that are compared for a new flow. Today's deployments have no more
	// than that in a zone. In larger deployments, the choice among 8 random targets is nearly as good as the
	// choice among all.
	sampleSize = 8
	// remotePenalty is how many more flows may wait for the best local target than for the best remote one
	// before a new flow goes to another zone. A zone that is cut off reaches only its own targets, and
	// traffic between zones is charged for.
	remotePenalty = 3
	// coldShortage is the part of a service's slots that must be cold before cold targets get flows although
	// a warm target is idle. A VM of a large zone sees too few flows of a target to notice that warm targets
	// fill; the slots show that they will.
	coldShortage = 0.25
)

// place chooses the target of a new flow. If there is no target, place returns nil and the reason.
func (f *Forwarder) place(service *Service, flow newFlow, now time.Duration) (*Target, Reason) {
	local := f.best(service.Local, flow, now)
	remote := f.best(service.Remote, flow, now)
	if f.prefersCold(service, local, remote) {
		if t := f.placeCold(service, now); t != nil {
			return t, Placed
		}
	}
	switch {
	case local.target != nil && (remote.target == nil || !local.worseThan(remote) && !f.leavesZone(local, remote, flow)):
		return local.target, Placed
	case remote.target != nil:
		return remote.target, Placed
	}
	if t := f.placeCold(service, now); t != nil {
		return t, Placed
	}
	if ejected := f.best(service.Ejected, flow, now); ejected.target != nil {
		return ejected.target, Placed
	}
	if expired := f.best(service.Expired, flow, now); expired.target != nil {
		return expired.target, Placed
	}
	if len(service.Cold) > 0 {
		return nil, ColdLimit
	}
	return nil, NoTarget
}

// candidate is a target that a new flow may go to.
type candidate struct {
	target  *Target
	waiting int
	// suspected is true for a target that may not answer, or that the flow's first SYN went to.
	suspected bool
	// weight is the probability with which the target is considered for the flow, passed over is true if it was not.
	weight     float64
	passedOver bool
	// reserved is true for a target that is reserved for flows that are more urgent.
	reserved bool
	// slowness is the response time of the target as a multiple of the work of its requests.
	slowness float64
}

// worseThan reports whether a local candidate is worse than a remote one.
func (c candidate) worseThan(remote candidate) bool {
	if c.suspected != remote.suspected {
		return c.suspected
	}
	return c.waiting > remote.waiting+remotePenalty
}

// best returns the best target of a sample: it prefers targets that are not suspected, then those that are not passed over because of
// their load, then the target that the fewest flows wait for, then a random one. A target with the token flow.avoid counts as
// suspected.
func (f *Forwarder) best(targets []*Target, flow newFlow, now time.Duration) candidate {
	var best candidate
	n := len(targets)
	if n == 0 {
		return best
	}
	start := f.random.IntN(n)
	step := 1
	if n > sampleSize {
		// The samples are spread evenly from a random start, with a random step, so that the same targets
		// are not always compared with each other.
		step = 1 + f.random.IntN(n-1)/sampleSize
	}
	for i := range min(n, sampleSize) {
		t := targets[(start+i*step)%n]
		c := f.candidate(t, flow, now)
		if l := f.loads[t.Token]; l != nil {
			c.waiting = l.waiting
			c.suspected = c.suspected || now < l.suspectUntil || l.ended(now) || l.silent(now)
		}
		if best.target == nil || c.betterThan(best) {
			best = c
		}
	}
	return best
}

func (c candidate) betterThan(other candidate) bool {
	switch {
	case c.suspected != other.suspected:
		return other.suspected
	case c.passedOver != other.passedOver:
		return other.passedOver
	case c.passedOver && c.reserved != other.reserved:
		return other.reserved
	case c.passedOver && c.weight != other.weight:
		return c.weight > other.weight
	}
	return c.waiting < other.waiting
}

// prefersCold reports whether a new flow is offered to cold targets before warm ones. Cold targets that wait
// until no warm target is left would stand idle while a few warm ones are overloaded.
func (f *Forwarder) prefersCold(service *Service, local, remote candidate) bool {
	if len(service.Cold) == 0 {
		return false
	}
	if f.busy(local) && f.busy(remote) {
		return true
	}
	slots := service.Slots
	cold := float64(slots.Cold + slots.RemoteCold)
	if cold < coldShortage*(cold+float64(slots.Local+slots.Remote)) {
		return false
	}
	return f.random.Float64()*float64(slots.Cold+slots.Local) < float64(slots.Cold)
}

// busy reports whether the best target of a pool has a queue, as far as the VMs of the zone know, or no free slot, if each VM of the
// zone has as many flows waiting for it as this one.
func (f *Forwarder) busy(best candidate) bool {
	return best.target == nil || best.suspected || best.slowness > loadedSlowness ||
		best.waiting > 0 && best.waiting*f.snapshot.ZoneVMs >= best.target.Slots
}

// placeCold returns a cold target whose budget allows one more flow, or nil.
func (f *Forwarder) placeCold(service *Service, now time.Duration) *Target {
	if len(service.Cold) == 0 {
		return nil
	}
	start := f.random.IntN(len(service.Cold))
	for i := range service.Cold {
		t := service.Cold[(start+i)%len(service.Cold)]
		if t.ColdShare > 0 && f.load(t.Token).coldFlows.admit(t.ColdShare, now) {
			return t
		}
	}
	return nil
}

// coldBudgetDue returns when the budget of a cold target allows another flow; ok is false if this VM has no
// share of any budget.
func (f *Forwarder) coldBudgetDue(service *Service, now time.Duration) (due time.Duration, ok bool) {
	for _, t := range service.Cold {
		if at, has := f.load(t.Token).coldFlows.nextAt(t.ColdShare, now); has && (!ok || at < due) {
			due, ok = at, true
		}
	}
	return due, ok
}
