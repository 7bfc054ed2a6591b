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
	// coldWindow is the pause without new flows after which a cold target's budget is available again. The
	// budget applies to one second; the other 250 ms cover different delays on the way to the target.
	coldWindow = 1250 * time.Millisecond
	// coldShare is the part of a cold target's budget that the VMs of its zone use together. The rest covers
	// VMs that control has not counted yet and flows that were placed before the target became cold.
	coldShare = 0.5
)

// place chooses the target of a new flow. first is the flow's state from an earlier transmission of its SYN, or
// nil. If there is no target, place returns nil and the reason.
func (f *Forwarder) place(service *Service, first *flowState, now time.Duration) (*Target, Reason) {
	var avoid Token
	if first != nil && first.synPending {
		avoid = first.token
	}
	local := f.best(service.Local, avoid, now)
	remote := f.best(service.Remote, avoid, now)
	switch {
	case local.target != nil && (remote.target == nil || !local.worseThan(remote)):
		return local.target, Placed
	case remote.target != nil:
		return remote.target, Placed
	}
	if t := f.placeCold(service, now); t != nil {
		return t, Placed
	}
	if expired := f.best(service.Expired, avoid, now); expired.target != nil {
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
}

// worseThan reports whether a local candidate is worse than a remote one.
func (c candidate) worseThan(remote candidate) bool {
	if c.suspected != remote.suspected {
		return c.suspected
	}
	return c.waiting > remote.waiting+remotePenalty
}

// best returns the best target of a sample: it prefers targets that are not suspected, then the target that the
// fewest flows wait for, then a random one. A target with the token avoid counts as suspected.
func (f *Forwarder) best(targets []*Target, avoid Token, now time.Duration) candidate {
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
		c := candidate{target: t, suspected: t.Token == avoid}
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
	if c.suspected != other.suspected {
		return other.suspected
	}
	return c.waiting < other.waiting
}

// placeCold returns a cold target whose budget allows one more flow, or nil.
func (f *Forwarder) placeCold(service *Service, now time.Duration) *Target {
	if len(service.Cold) == 0 {
		return nil
	}
	share := int(coldShare * service.ColdLimit / float64(max(f.snapshot.ZoneVMs, 1)))
	start := f.random.IntN(len(service.Cold))
	for i := range service.Cold {
		t := service.Cold[(start+i)%len(service.Cold)]
		l := f.load(t.Token)
		if now-l.lastColdFlow >= coldWindow {
			l.coldFlows = 0
		}
		if l.coldFlows < share {
			l.lastColdFlow, l.coldFlows = now, l.coldFlows+1
			return t
		}
	}
	return nil
}
