package forward

import "time"

const (
	// sampleSize is the number of targets that are compared for a new flow. All targets of a zone are
	// compared in today's deployments; choosing among 8 random ones is close to that in large ones.
	sampleSize = 8
	// remotePenalty is how many more flows must wait for the best local target than for the best one
	// in another zone before a flow leaves its zone. A zone that is cut off reaches its own targets
	// only, and bytes between zones are priced.
	remotePenalty = 3
	// coldWindow is the pause after which a cold target's budget is available again. The budget is given
	// per second; the quarter covers different delays on the way to the target.
	coldWindow = 1250 * time.Millisecond
	// coldShare is the part of a cold target's budget that all VMs together use. The rest covers VMs
	// that control has not counted yet and flows that were placed before the target turned cold.
	coldShare = 0.5
)

// place chooses the target of a new flow. first is the state of an earlier attempt of the same SYN, or
// nil. When no target is returned, the reason says why.
func (f *Forwarder) place(s *Service, first *flowState, now time.Duration) (*Target, Reason) {
	var avoid Token
	if first != nil && first.opening {
		avoid = first.token
	}
	local := f.best(s.Local, avoid, now)
	remote := f.best(s.Remote, avoid, now)
	switch {
	case local.target != nil && (remote.target == nil || !local.worseThan(remote)):
		return local.target, Placed
	case remote.target != nil:
		return remote.target, Placed
	}
	if t := f.placeCold(s, now); t != nil {
		return t, Placed
	}
	if c := f.best(s.Expired, avoid, now); c.target != nil {
		return c.target, Placed
	}
	if len(s.Cold) > 0 {
		return nil, ColdLimit
	}
	return nil, NoTarget
}

// choice is a candidate for a new flow.
type choice struct {
	target *Target
	busy   int
	// doubtful is true for a target that is suspected not to answer, or that the flow's first SYN went
	// to.
	doubtful bool
}

// worseThan reports whether a local choice is worse than a remote one.
func (c choice) worseThan(remote choice) bool {
	if c.doubtful != remote.doubtful {
		return c.doubtful
	}
	return c.busy > remote.busy+remotePenalty
}

// best returns the best of some targets: an answering one before a doubtful one, then the one that the
// fewest flows wait for, then a random one.
func (f *Forwarder) best(targets []*Target, avoid Token, now time.Duration) choice {
	var best choice
	n := len(targets)
	if n == 0 {
		return best
	}
	start := f.random.IntN(n)
	step := 1
	if n > sampleSize {
		// Samples are evenly spread from a random start; neighbours differ from one draw to the next.
		step = 1 + f.random.IntN(n-1)/sampleSize
	}
	for i := range min(n, sampleSize) {
		t := targets[(start+i*step)%n]
		c := choice{target: t, doubtful: t.Token == avoid}
		if l := f.loads[t.Token]; l != nil {
			c.busy = l.busy
			c.doubtful = c.doubtful || now < l.suspectUntil || l.ended(now) || l.silent(now)
		}
		if best.target == nil || c.betterThan(best) {
			best = c
		}
	}
	return best
}

func (c choice) betterThan(d choice) bool {
	if c.doubtful != d.doubtful {
		return d.doubtful
	}
	return c.busy < d.busy
}

// placeCold returns a cold target whose budget allows one more flow, or nil.
func (f *Forwarder) placeCold(s *Service, now time.Duration) *Target {
	if len(s.Cold) == 0 {
		return nil
	}
	share := int(coldShare * s.ColdLimit / float64(max(f.view.ZoneVMs, 1)))
	start := f.random.IntN(len(s.Cold))
	for i := range s.Cold {
		t := s.Cold[(start+i)%len(s.Cold)]
		l := f.load(t.Token)
		if now-l.lastCold >= coldWindow {
			l.coldCount = 0
		}
		if l.coldCount < share {
			l.lastCold, l.coldCount = now, l.coldCount+1
			return t
		}
	}
	return nil
}
